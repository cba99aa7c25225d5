#include "Booking/ConditionalWriter.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
// While the store is down each shard calls it at most twice a second, so that
// 4096 shards stay near the store's read rate of 2,000 a second.
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
  SendCurrent(aActions);
}

void
ConditionalWriter::Abandon()
{
  mWrite.reset();
  mOperation = 0;
}

void
ConditionalWriter::SendCurrent(BookingActions& aActions)
{
  mOperation = ++mLastOperation;
  if (mPhase == Phase::ReadingBack) {
    aActions.push_back(ReadObject{ mOperation, mWrite->mKey });
    return;
  }
  ++mWrites;
  aActions.push_back(
    WriteObject{ mOperation, mWrite->mKey, mWrite->mBody, mWrite->mExpected });
}

void
ConditionalWriter::RetryLater(Phase aPhase)
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
                             const absl::StatusOr<std::uint64_t>& aAnswer,
                             BookingActions& aActions)
{
  if (!mWrite || aOperation != mOperation || mPhase != Phase::Writing) {
    return WriteResult::Pending;
  }
  if (aAnswer.ok()) {
    return Finish(WriteResult::Committed, *aAnswer);
  }
  if (absl::IsResourceExhausted(aAnswer.status()) ||
      absl::IsUnavailable(aAnswer.status())) {
    RetryLater(Phase::Writing);
    return WriteResult::Pending;
  }
  // A conflict may come from an earlier copy of this very write.
  mPhase = Phase::ReadingBack;
  SendCurrent(aActions);
  return WriteResult::Pending;
}

WriteResult
ConditionalWriter::OnRead(StoreOperation aOperation,
                          const absl::StatusOr<StoredObject>& aAnswer)
{
  if (!mWrite || aOperation != mOperation || mPhase != Phase::ReadingBack) {
    return WriteResult::Pending;
  }
  const bool absent = absl::IsNotFound(aAnswer.status());
  if (!aAnswer.ok() && !absent) {
    RetryLater(Phase::ReadingBack);
    return WriteResult::Pending;
  }
  if (!absent && mWrite->mIsOwn(aAnswer->mBody)) {
    return Finish(WriteResult::Committed, aAnswer->mVersion);
  }
  const bool unchanged =
    absent ? !mWrite->mExpected : mWrite->mExpected == aAnswer->mVersion;
  if (!unchanged) {
    return Finish(WriteResult::Superseded, 0);
  }
  RetryLater(Phase::Writing);
  return WriteResult::Pending;
}

void
ConditionalWriter::OnTimer(BookingActions& aActions)
{
  if (mWrite && mOperation == 0 && mClock.Now() >= mRetryAt) {
    SendCurrent(aActions);
  }
}

} // namespace bulrushfold
