#include "Booking/ConditionalWriter.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
// While the store is unavailable, the longest backoff limits each shard to two
// calls a second, so that 4096 shards stay near the store's limit of 2,000
// reads a second.
constexpr Duration kFirstBackoff = std::chrono::milliseconds(20);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(500);
} // namespace

ConditionalWriter::ConditionalWriter(const Clock& aClock,
                                     StoreOperation& aLastOperation)
  : mClock(aClock)
  , mLastOperation(aLastOperation)
  , mBackoff(kFirstBackoff)
{
}

void
ConditionalWriter::Start(PendingWrite aWrite, BookingActions& aActions)
{
  mWrite = std::move(aWrite);
  mPhase = Phase::Writing;
  mBackoff = kFirstBackoff;
  SendCall(aActions);
}

void
ConditionalWriter::Abandon()
{
  mWrite.reset();
  mOperation = 0;
}

void
ConditionalWriter::SendCall(BookingActions& aActions)
{
  mOperation = ++mLastOperation;
  if (mPhase == Phase::ReadingBack) {
    aActions.push_back(ReadObject{ mOperation, mWrite->mKey });
    return;
  }
  ++mWriteCount;
  aActions.push_back(
    WriteObject{ mOperation, mWrite->mKey, mWrite->mBody, mWrite->mExpected });
}

void
ConditionalWriter::ScheduleRetry(Phase aPhase)
{
  mPhase = aPhase;
  mOperation = 0;
  mRetryAt = mClock.Now() + mBackoff;
  mBackoff = std::min(2 * mBackoff, kMaxBackoff);
}

WriteResult
ConditionalWriter::Finish(WriteResult aResult, std::uint64_t aVersion)
{
  mVersion = aVersion;
  Abandon();
  return aResult;
}

WriteResult
ConditionalWriter::OnWritten(StoreOperation aOperation,
                             const absl::StatusOr<std::uint64_t>& aReply,
                             BookingActions& aActions)
{
  if (!mWrite || aOperation != mOperation || mPhase != Phase::Writing) {
    return WriteResult::Pending;
  }
  if (aReply.ok()) {
    return Finish(WriteResult::Committed, *aReply);
  }
  if (absl::IsResourceExhausted(aReply.status()) ||
      absl::IsUnavailable(aReply.status())) {
    ScheduleRetry(Phase::Writing);
    return WriteResult::Pending;
  }
  // A conflict may be caused by an earlier attempt of the same write.
  mPhase = Phase::ReadingBack;
  SendCall(aActions);
  return WriteResult::Pending;
}

WriteResult
ConditionalWriter::OnRead(StoreOperation aOperation,
                          const absl::StatusOr<StoredObject>& aReply)
{
  if (!mWrite || aOperation != mOperation || mPhase != Phase::ReadingBack) {
    return WriteResult::Pending;
  }
  const bool absent = absl::IsNotFound(aReply.status());
  if (!aReply.ok() && !absent) {
    ScheduleRetry(Phase::ReadingBack);
    return WriteResult::Pending;
  }
  if (!absent && mWrite->mIsSameBody(aReply->mBody)) {
    return Finish(WriteResult::Committed, aReply->mVersion);
  }
  const bool unchanged =
    absent ? !mWrite->mExpected : mWrite->mExpected == aReply->mVersion;
  if (!unchanged) {
    return Finish(WriteResult::Superseded, 0);
  }
  ScheduleRetry(Phase::Writing);
  return WriteResult::Pending;
}

void
ConditionalWriter::OnTimer(BookingActions& aActions)
{
  if (mWrite && mOperation == 0 && mClock.Now() >= mRetryAt) {
    SendCall(aActions);
  }
}

} // namespace bulrushfold
