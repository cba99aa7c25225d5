#ifndef BULRUSHFOLD_CLUSTER_MEMBERUPDATEQUEUE_H
#define BULRUSHFOLD_CLUSTER_MEMBERUPDATEQUEUE_H

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Cluster/MemberTable.h"

namespace bulrushfold {

/**
 * Queue of daemons whose records wait to be sent with heartbeats. Each daemon
 * is in it at most once, and its record is made when it is sent, so that the
 * queue is bounded by the number of daemons. The bytes sent are bounded too.
 */
class MemberUpdateQueue
{
public:
  /** Bytes a second that one daemon spends on news. */
  static constexpr double kBytesPerSecond = 1000;

  /** Adds a daemon; an urgent one is sent before the others. */
  void Add(const std::string& aName, bool aIsUrgent);
  /** The records to send to each of aReceiverCount daemons, once in aInterval.
   */
  std::vector<wire::MemberRecord> CollectRecords(const MemberTable& aTable,
                                                 std::size_t aReceiverCount,
                                                 Duration aInterval);

private:
  std::deque<std::string> mQueue;
  std::set<std::string> mNames;
  double mByteBudget = 0;
};

} // namespace bulrushfold

#endif
