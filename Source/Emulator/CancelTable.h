#ifndef BULRUSHFOLD_EMULATOR_CANCELTABLE_H
#define BULRUSHFOLD_EMULATOR_CANCELTABLE_H

#include <deque>
#include <set>

#include "Emulator/EngineMessages.h"

namespace bulrushfold {

/** Cancelled work, so that work which arrives after its cancel is refused. */
class CancelTable
{
public:
  /** Remembers a cancel; attempt 0 means all attempts. */
  void Add(const WorkId& aWork);
  bool Contains(const WorkId& aWork) const;

private:
  std::set<WorkId> mWorks;
  /** Oldest first; bounds the set. */
  std::deque<WorkId> mOrder;
};

} // namespace bulrushfold

#endif
