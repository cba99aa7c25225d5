#include "Cluster/MemberUpdateQueue.h"

#include <algorithm>

namespace bulrushfold {

namespace {
/** Approximate size of a record without and with the details of the daemon. */
constexpr double kBriefRecordBytes = 30;
constexpr double kFullRecordBytes = 110;
} // namespace

void
MemberUpdateQueue::Add(const std::string& aName, bool aIsUrgent)
{
  if (!mNames.insert(aName).second) {
    return;
  }
  if (aIsUrgent) {
    mQueue.push_front(aName);
  } else {
    mQueue.push_back(aName);
  }
}

std::vector<wire::MemberRecord>
MemberUpdateQueue::CollectRecords(const MemberTable& aTable,
                                  std::size_t aReceiverCount,
                                  Duration aInterval)
{
  const double share = kBytesPerSecond * ToSeconds(aInterval);
  mByteBudget = std::min(mByteBudget + share, 2 * share);
  std::vector<wire::MemberRecord> records;
  while (!mQueue.empty() && mByteBudget > 0) {
    const std::string name = mQueue.front();
    mQueue.pop_front();
    mNames.erase(name);
    const Member* member = aTable.Find(name);
    if (member == nullptr) {
      continue;
    }
    records.push_back(MemberTable::RecordOf(*member, false));
    const bool hasDetails = records.back().__isset.address;
    mByteBudget -= static_cast<double>(aReceiverCount) *
                   (hasDetails ? kFullRecordBytes : kBriefRecordBytes);
  }
  return records;
}

} // namespace bulrushfold
