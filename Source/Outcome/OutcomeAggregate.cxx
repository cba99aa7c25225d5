#include "Outcome/OutcomeAggregate.h"

namespace bulrushfold {

namespace {
constexpr Minute kKeptMinutes = 120;
constexpr std::size_t kMaxKeysPerMinute = 2000;

/** Adds aCount to the count of aKey, or to its shortened form. */
void
AddTo(OutcomeCounts& aCounts, OutcomeKey aKey, std::uint64_t aCount)
{
  if (aCounts.size() >= kMaxKeysPerMinute && aCounts.count(aKey) == 0) {
    aKey.mWorkspace.clear();
    aKey.mTarget.clear();
  }
  aCounts[std::move(aKey)] += aCount;
}
} // namespace

Minute
MinuteOf(WallTime aTime)
{
  return std::chrono::floor<std::chrono::minutes>(aTime)
    .time_since_epoch()
    .count();
}

OutcomeKey
OutcomeKeyOf(const OutcomeRecord& aRecord)
{
  OutcomeKey key;
  key.mCause = aRecord.mCause;
  key.mStatus = aRecord.mStatus;
  key.mHop = aRecord.mHop;
  key.mWorkspace = aRecord.mWorkspace;
  // Reports name targets only of requests that were not served in time.
  if (aRecord.mStatus != OutcomeStatus::Served) {
    key.mTarget = aRecord.mTarget;
  }
  if (const auto* it = aRecord.Blamed(); it != nullptr) {
    key.mEndpoint = it->mName;
    key.mFailureDomain = it->mFailureDomain;
  }
  return key;
}

Minute
EndMinuteOf(const OutcomeRecord& aRecord)
{
  return MinuteOf(
    aRecord.mStart +
    std::chrono::duration_cast<std::chrono::milliseconds>(aRecord.mTotal));
}

void
OutcomeAggregate::Add(const OutcomeRecord& aRecord)
{
  AddTo(mMinutes[EndMinuteOf(aRecord)], OutcomeKeyOf(aRecord), 1);
}

void
OutcomeAggregate::Remove(const OutcomeRecord& aRecord)
{
  const auto minute = mMinutes.find(EndMinuteOf(aRecord));
  if (minute == mMinutes.end()) {
    return;
  }
  OutcomeKey key = OutcomeKeyOf(aRecord);
  auto it = minute->second.find(key);
  if (it == minute->second.end()) {
    key.mWorkspace.clear();
    key.mTarget.clear();
    it = minute->second.find(key);
  }
  if (it != minute->second.end() && --it->second == 0) {
    minute->second.erase(it);
  }
}

void
OutcomeAggregate::Trim(Minute aNow)
{
  mMinutes.erase(mMinutes.begin(), mMinutes.lower_bound(aNow - kKeptMinutes));
}

OutcomeCounts
OutcomeAggregate::Counts(const MinuteRange& aRange) const
{
  OutcomeCounts sum;
  for (const auto& [minute, counts] : mMinutes) {
    if (aRange.Contains(minute)) {
      for (const auto& [key, count] : counts) {
        sum[key] += count;
      }
    }
  }
  return sum;
}

std::vector<MinuteCount>
OutcomeAggregate::Minutes(const MinuteRange& aRange) const
{
  std::vector<MinuteCount> result;
  for (const auto& [minute, counts] : mMinutes) {
    if (!aRange.Contains(minute)) {
      continue;
    }
    std::map<Cause, std::uint64_t> causes;
    for (const auto& [key, count] : counts) {
      causes[key.mCause] += count;
    }
    for (const auto& [cause, count] : causes) {
      result.push_back({ minute, cause, count });
    }
  }
  return result;
}

} // namespace bulrushfold
