#ifndef BULRUSHFOLD_SOAK_MEMBERSHIPVIEWS_H
#define BULRUSHFOLD_SOAK_MEMBERSHIPVIEWS_H

#include <cstdint>
#include <vector>

#include "Soak/FakeProcess.h"
#include "Soak/Scenario.h"

namespace bulrushfold {

/** Membership view of each simulated daemon. A view may be wrong. */
class MembershipViews
{
public:
  explicit MembershipViews(SoakContext& aContext);

  /** Adds a process; indexes follow the order of the calls. */
  void Add(FakeProcess& aProcess);
  /** Updates every view that is not partitioned to the actual state. */
  void Update();
  /** Replaces the view of aIndex by a random one for aSpan. */
  void Partition(std::size_t aIndex, Duration aSpan);
  /** Ends the partition of aIndex. */
  void EndPartition(std::size_t aIndex);
  /** The owner of aItem by rendezvous hashing, in the view of aObserver. */
  std::size_t Owner(std::size_t aObserver, std::uint64_t aItem) const;

private:
  struct View
  {
    std::vector<bool> mLive;
    Instant mPartitionEnd;
  };

  SoakContext& mContext;
  std::vector<FakeProcess*> mProcesses;
  std::vector<View> mViews;
};

} // namespace bulrushfold

#endif
