#include "Booking/SegmentManager.h"

#include <utility>

namespace bulrushfold {

namespace {
constexpr Duration kReadRetryDelay = std::chrono::milliseconds(200);
} // namespace

SegmentManager::SegmentManager(std::uint64_t aShard,
                               const Clock& aClock,
                               StoreOperation& aLastOperation,
                               BookingTable& aTable)
  : mShard(aShard)
  , mClock(aClock)
  , mLastOperation(aLastOperation)
  , mTable(aTable)
  , mWriter(aClock, aLastOperation)
{
}

void
SegmentManager::Reset()
{
  mWriter.Abandon();
  mPlan.reset();
  mIsStored = false;
  mReadInProgress.reset();
  mPendingDeletes.clear();
}

void
SegmentManager::StartSealIfNeeded(std::int64_t aEpoch,
                                  std::int64_t aCommitted,
                                  BookingActions& aActions)
{
  if (mPlan) {
    return;
  }
  mPlan = mTable.PlanSeal(aEpoch, aCommitted);
  if (!mPlan) {
    return;
  }
  const std::string body = EncodeSegment(mPlan->mContent);
  PendingWrite write;
  write.mKey = SegmentObjectKey(mShard, mPlan->mRef);
  write.mBody = body;
  write.mIsSameBody = [body](std::string_view aStored) {
    return aStored == body;
  };
  mWriter.Start(std::move(write), aActions);
}

void
SegmentManager::ApplyStoredSegment()
{
  if (mIsStored) {
    mTable.ApplySeal(*mPlan);
    mPlan.reset();
    mIsStored = false;
  }
}

void
SegmentManager::OnWriteResult(WriteResult aResult)
{
  if (aResult == WriteResult::Committed) {
    mIsStored = true;
  } else if (aResult == WriteResult::Superseded) {
    mPlan.reset();
  }
}

void
SegmentManager::DeleteGarbage(BookingActions& aActions)
{
  if (!mPendingDeletes.empty()) {
    return;
  }
  for (const auto& ref : mTable.Garbage()) {
    mPendingDeletes[++mLastOperation] = ref;
    aActions.push_back(
      DeleteObject{ mLastOperation, SegmentObjectKey(mShard, ref) });
  }
}

void
SegmentManager::Read(const wire::BookingSegmentRef& aRef,
                     BookingActions& aActions)
{
  if (mReadInProgress) {
    return;
  }
  mReadInProgress = ReadInProgress{ aRef, 0, mClock.Now() };
  SendRead(aActions);
}

void
SegmentManager::SendRead(BookingActions& aActions)
{
  ++mReadCount;
  mReadInProgress->mOperation = ++mLastOperation;
  aActions.push_back(
    ReadObject{ mReadInProgress->mOperation,
                SegmentObjectKey(mShard, mReadInProgress->mRef) });
}

bool
SegmentManager::IsReading(StoreOperation aOperation) const
{
  return mReadInProgress && mReadInProgress->mOperation == aOperation;
}

bool
SegmentManager::OnSegmentRead(const absl::StatusOr<StoredObject>& aReply,
                              const std::vector<std::string>& aKeys)
{
  if (absl::IsNotFound(aReply.status())) {
    // A later batch removed the segment while it was being read.
    mReadInProgress.reset();
    return true;
  }
  const auto content =
    aReply.ok() ? DecodeSegment(aReply->mBody)
                : absl::StatusOr<wire::BookingSegment>(aReply.status());
  if (!content.ok()) {
    mReadInProgress->mOperation = 0;
    mReadInProgress->mRetryAt = mClock.Now() + kReadRetryDelay;
    return false;
  }
  const auto ref = mReadInProgress->mRef;
  mReadInProgress.reset();
  mTable.RestoreRecords(ref, *content, aKeys);
  return true;
}

void
SegmentManager::OnReadBack(StoreOperation aOperation,
                           const absl::StatusOr<StoredObject>& aReply)
{
  OnWriteResult(mWriter.OnRead(aOperation, aReply));
}

void
SegmentManager::OnWritten(StoreOperation aOperation,
                          const absl::StatusOr<std::uint64_t>& aReply,
                          BookingActions& aActions)
{
  OnWriteResult(mWriter.OnWritten(aOperation, aReply, aActions));
}

void
SegmentManager::OnDeleted(StoreOperation aOperation, const absl::Status& aReply)
{
  const auto it = mPendingDeletes.find(aOperation);
  if (it == mPendingDeletes.end()) {
    return;
  }
  if (aReply.ok() || absl::IsNotFound(aReply)) {
    mTable.RemoveGarbage(it->second);
  }
  mPendingDeletes.erase(it);
}

void
SegmentManager::OnTimer(BookingActions& aActions)
{
  mWriter.OnTimer(aActions);
  if (mReadInProgress && mReadInProgress->mOperation == 0 &&
      mClock.Now() >= mReadInProgress->mRetryAt) {
    SendRead(aActions);
  }
}

} // namespace bulrushfold
