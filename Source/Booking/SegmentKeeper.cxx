#include "Booking/SegmentKeeper.h"

#include <utility>

namespace bulrushfold {

namespace {
constexpr Duration kReadRetry = std::chrono::milliseconds(200);
} // namespace

SegmentKeeper::SegmentKeeper(std::uint64_t aShard,
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
SegmentKeeper::Reset()
{
  mWriter.Abandon();
  mPlan.reset();
  mStored = false;
  mRead.reset();
  mDeletes.clear();
}

void
SegmentKeeper::MaybeSeal(std::int64_t aEpoch,
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
  write.mIsOwn = [body](std::string_view aStored) { return aStored == body; };
  mWriter.Start(std::move(write), aActions);
}

void
SegmentKeeper::ApplyStored()
{
  if (mStored) {
    mTable.ApplySeal(*mPlan);
    mPlan.reset();
    mStored = false;
  }
}

void
SegmentKeeper::TakeResult(WriteResult aResult)
{
  if (aResult == WriteResult::Committed) {
    mStored = true;
  } else if (aResult == WriteResult::Superseded) {
    mPlan.reset();
  }
}

void
SegmentKeeper::DeleteGarbage(BookingActions& aActions)
{
  if (!mDeletes.empty()) {
    return;
  }
  for (const auto& ref : mTable.Garbage()) {
    mDeletes[++mLastOperation] = ref;
    aActions.push_back(
      DeleteObject{ mLastOperation, SegmentObjectKey(mShard, ref) });
  }
}

void
SegmentKeeper::Read(const wire::BookingSegmentRef& aRef,
                    BookingActions& aActions)
{
  if (mRead) {
    return;
  }
  mRead = ReadInProgress{ aRef, 0, mClock.Now() };
  SendRead(aActions);
}

void
SegmentKeeper::SendRead(BookingActions& aActions)
{
  ++mReads;
  mRead->mOperation = ++mLastOperation;
  aActions.push_back(
    ReadObject{ mRead->mOperation, SegmentObjectKey(mShard, mRead->mRef) });
}

bool
SegmentKeeper::IsReading(StoreOperation aOperation) const
{
  return mRead && mRead->mOperation == aOperation;
}

bool
SegmentKeeper::OnSegmentRead(const absl::StatusOr<StoredObject>& aAnswer,
                             const std::vector<std::string>& aKeys)
{
  if (absl::IsNotFound(aAnswer.status())) {
    // A later batch dropped the segment while it was being read.
    mRead.reset();
    return true;
  }
  const auto content =
    aAnswer.ok() ? DecodeSegment(aAnswer->mBody)
                 : absl::StatusOr<wire::BookingSegment>(aAnswer.status());
  if (!content.ok()) {
    mRead->mOperation = 0;
    mRead->mRetryAt = mClock.Now() + kReadRetry;
    return false;
  }
  const auto ref = mRead->mRef;
  mRead.reset();
  mTable.Recall(ref, *content, aKeys);
  return true;
}

void
SegmentKeeper::OnReadBack(StoreOperation aOperation,
                          const absl::StatusOr<StoredObject>& aAnswer)
{
  TakeResult(mWriter.OnRead(aOperation, aAnswer));
}

void
SegmentKeeper::OnWritten(StoreOperation aOperation,
                         const absl::StatusOr<std::uint64_t>& aAnswer,
                         BookingActions& aActions)
{
  TakeResult(mWriter.OnWritten(aOperation, aAnswer, aActions));
}

void
SegmentKeeper::OnDeleted(StoreOperation aOperation, const absl::Status& aAnswer)
{
  const auto it = mDeletes.find(aOperation);
  if (it == mDeletes.end()) {
    return;
  }
  if (aAnswer.ok() || absl::IsNotFound(aAnswer)) {
    mTable.RemoveGarbage(it->second);
  }
  mDeletes.erase(it);
}

void
SegmentKeeper::OnTimer(BookingActions& aActions)
{
  mWriter.OnTimer(aActions);
  if (mRead && mRead->mOperation == 0 && mClock.Now() >= mRead->mRetryAt) {
    SendRead(aActions);
  }
}

} // namespace bulrushfold
