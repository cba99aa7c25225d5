#ifndef BULRUSHFOLD_ROUTING_CRASHKEYS_H
#define BULRUSHFOLD_ROUTING_CRASHKEYS_H

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "Routing/CrashGuard.h"

namespace bulrushfold {

/** Calls aVisit with each key and its position. */
template<typename Visitor>
void
VisitKeys(const RequestKeys& aKeys, Visitor aVisit)
{
  for (std::size_t i = 0; i < aKeys.mParts.size(); ++i) {
    aVisit(aKeys.mParts[i], i, CrashKeyKind::PromptPart);
  }
  const std::size_t depth = aKeys.mParts.size();
  if (aKeys.mContent != 0) {
    aVisit(aKeys.mContent, depth, CrashKeyKind::Content);
  }
  if (aKeys.mRequest != 0) {
    aVisit(aKeys.mRequest, depth + 1, CrashKeyKind::Request);
  }
}

inline bool
Contains(const RequestKeys& aKeys, std::uint64_t aPart)
{
  return aKeys.mRequest == aPart || aKeys.mContent == aPart ||
         std::find(aKeys.mParts.begin(), aKeys.mParts.end(), aPart) !=
           aKeys.mParts.end();
}

} // namespace bulrushfold

#endif
