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
 * Queue of daemons whose records must be sent with the next heartbeats. Each
 * daemon is queued at most once, and its record is created when it is sent, so
 * that the number of daemons limits the length of the queue. The bytes sent per
 * second are limited too.
 */
class MemberUpdateQueue
{
public:
  /** Maximum bytes per second that one daemon sends for member updates. */
  static constexpr double kBytesPerSecond = 1000;

  /** Adds a daemon. Urgent ones are sent before the others. */
  void Add(const std::string& aName, bool aIsUrgent);
  /** Removes and returns the records to send to each of aReceiverCount
   * daemons; must be called once per aInterval. */
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
