#ifndef BULRUSHFOLD_ROUTER_RECENTGRANTS_H
#define BULRUSHFOLD_ROUTER_RECENTGRANTS_H

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>

namespace bulrushfold {

/** Remembers the cache handles and reservations that engines granted last, so
 * that an answer that an engine sends once more is recognized. */
class RecentGrants
{
public:
  /** Adds a grant. aStep: the call that it answered.
   * @return false when the engine has granted it before. */
  bool Add(std::string_view aStep,
           const std::string& aEndpoint,
           const std::string& aHandle);

private:
  /** Hashes of the grants. */
  std::unordered_set<std::uint64_t> mGrants;
  /** Elements of mGrants; the oldest one is first. */
  std::deque<std::uint64_t> mOrder;
};

} // namespace bulrushfold

#endif
