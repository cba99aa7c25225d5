#include "Booking/BookingShard.h"

#include <algorithm>
#include <utility>

#include "Base/Log.h"

namespace bulrushfold {

namespace {
// Interval of head reads while the store is unavailable.
constexpr Duration kHeadReadRetryDelay = std::chrono::milliseconds(500);
// A holder that received BUSY or no reply sends its result again, so a short
// timeout suffices.
constexpr Duration kResultTimeout = std::chrono::seconds(5);
// Number of steps in which the trim mark advances over one retention time, so
// that most commits do not check the segments for expired records.
constexpr std::int64_t kTrimSteps = 1000;
// The limit for results is this multiple of the limit for begins, because a
// result ends work that is in progress.
constexpr std::size_t kMaxResultsPerBegin = 4;
// Longest wait for a permit, in milliseconds. Keeps the time arithmetic from
// overflowing when a peer sends a wrong number.
constexpr std::int64_t kMaxRemainingMs = 3'600'000;
// Maximum size of the records in one head. Base64 makes the body a third
// longer, and the store's limit for an object is 1 MB.
constexpr std::size_t kMaxHeadContentBytes = 700'000;

std::int64_t
ToUnixMilliseconds(WallTime aTime)
{
  return aTime.time_since_epoch().count();
}

/** Whether aBody is the head that aWriter wrote for aEpoch and aBatch. */
bool
IsHeadOf(std::string_view aBody,
         const std::string& aWriter,
         std::int64_t aEpoch,
         std::int64_t aBatch)
{
  const auto head = DecodeHead(aBody);
  return head.ok() && head->writer == aWriter && head->epoch == aEpoch &&
         head->batch == aBatch;
}
} // namespace

BookingShard::BookingShard(BookingShardOptions aOptions, const Clock& aClock)
  : mOptions(std::move(aOptions))
  , mClock(aClock)
  , mLastEventAt(aClock.Now())
  , mHeadWriter(aClock, mLastOperation)
  , mTable(mOptions.mTableLimits)
  , mLedger(aClock, mTable)
  , mSegmentManager(mOptions.mShard, aClock, mLastOperation, mTable)
{
}

void
BookingShard::Reply(ReplyToken aToken,
                    wire::BookingVerdict::type aVerdict,
                    const std::string& aReason)
{
  mActions.push_back(ReplyToBegin{ aToken, MakeBeginReply(aVerdict, aReason) });
}

void
BookingShard::ReplyResult(ReplyToken aToken,
                          wire::BookingResultVerdict::type aVerdict)
{
  wire::BookingResultReply reply;
  reply.verdict = aVerdict;
  mActions.push_back(ReplyToResult{ aToken, reply });
}

BookingActions
BookingShard::CollectActions()
{
  mCounters.mHeadWrites = mHeadWriter.WriteCount();
  mCounters.mSegmentWrites = mSegmentManager.WriteCount();
  mCounters.mSegmentReads = mSegmentManager.ReadCount();
  mCounters.mPermits = mLedger.PermitCount();
  mCounters.mIntents = mLedger.IntentCount();
  mCounters.mResults = mLedger.RecordedCount();
  return std::exchange(mActions, {});
}

void
BookingShard::CheckClockGap()
{
  const Instant now = mClock.Now();
  if (mPhase != ShardPhase::NotOwner &&
      now - mLastEventAt > mOptions.mClockGapLimit) {
    LogEvent(LogLevel::Warning,
             "booking_clock_gap",
             { { "shard", mOptions.mShard },
               { "gap_ms", ToMilliseconds(now - mLastEventAt) } });
    StepDown();
  }
  mLastEventAt = now;
}

void
BookingShard::StepDown()
{
  if (mPhase == ShardPhase::NotOwner) {
    return;
  }
  mPhase = ShardPhase::NotOwner;
  ++mCounters.mStepDowns;
  mHeadReadOperation = 0;
  mHeadWriter.Abandon();
  mSegmentManager.Reset();
  mLedger.EndOwnership(mActions);
}

BookingActions
BookingShard::Acquire()
{
  CheckClockGap();
  if (mPhase == ShardPhase::NotOwner) {
    mPhase = ShardPhase::Loading;
    SendHeadRead();
  }
  return CollectActions();
}

BookingActions
BookingShard::Resign()
{
  CheckClockGap();
  StepDown();
  return CollectActions();
}

void
BookingShard::SendHeadRead()
{
  mHeadReadOperation = ++mLastOperation;
  mActions.push_back(
    ReadObject{ mHeadReadOperation, HeadObjectKey(mOptions.mShard) });
}

void
BookingShard::OnHeadRead(const absl::StatusOr<StoredObject>& aReply)
{
  mHeadReadOperation = 0;
  mHeadReadRetryAt = mClock.Now() + kHeadReadRetryDelay;
  if (absl::IsNotFound(aReply.status())) {
    wire::BookingHead head;
    head.nextSegment = 1;
    Claim(head);
    WriteHead(std::nullopt);
    return;
  }
  if (!aReply.ok()) {
    return;
  }
  auto head = DecodeHead(aReply->mBody);
  if (!head.ok()) {
    LogEvent(LogLevel::Error,
             "booking_head_malformed",
             { { "key", aReply->mKey },
               { "detail", std::string(head.status().message()) } });
    return;
  }
  Claim(*head);
  WriteHead(aReply->mVersion);
}

void
BookingShard::Claim(const wire::BookingHead& aHead)
{
  mPhase = ShardPhase::Claiming;
  mTable.Load(aHead);
  if (aHead.epoch > 0) {
    // The previous owner may have stored its next segment without committing a
    // head that refers to it. Nothing else would delete this object.
    wire::BookingSegmentRef orphan;
    orphan.epoch = aHead.epoch;
    orphan.number = aHead.nextSegment;
    mTable.AddGarbage(orphan);
  }
  mEpoch = aHead.epoch + 1;
  mBatch = 1;
  mCommittedBatch = 0;
}

void
BookingShard::WriteHead(std::optional<std::uint64_t> aExpected)
{
  PendingWrite write;
  write.mKey = HeadObjectKey(mOptions.mShard);
  write.mBody = EncodeHead(mTable.MakeHead(mOptions.mWriter, mEpoch, mBatch));
  write.mExpected = aExpected;
  write.mIsSameBody =
    [writer = mOptions.mWriter, epoch = mEpoch, batch = mBatch](
      std::string_view aBody) { return IsHeadOf(aBody, writer, epoch, batch); };
  mCounters.mHeadBytes += write.mBody.size();
  mNextCommitAt = mClock.Now() + mOptions.mBookings.mCommitInterval;
  mHeadWriter.Start(std::move(write), mActions);
}

void
BookingShard::OnHeadResult(WriteResult aResult)
{
  if (aResult == WriteResult::Superseded) {
    StepDown();
  } else if (aResult == WriteResult::Committed) {
    OnCommitted();
  }
}

void
BookingShard::OnCommitted()
{
  mVersion = mHeadWriter.Version();
  mCommittedBatch = mBatch;
  ++mCounters.mCommits;
  mSegmentManager.DeleteGarbage(mActions);
  if (mPhase == ShardPhase::Claiming) {
    mPhase = ShardPhase::Owner;
    mLedger.StartOwnership(mActions);
  } else {
    mLedger.OnCommitted(mCommittedBatch, mActions);
  }
  mSegmentManager.StartSealIfNeeded(mEpoch, mCommittedBatch, mActions);
}

bool
BookingShard::IsCommitDue() const
{
  // A change that does not fit into the head waits until older records were
  // moved to a segment.
  const bool fits =
    mLedger.HasQueuedChanges() &&
    mTable.HeadBytes() + mLedger.NextChangeBytes() <= kMaxHeadContentBytes;
  return mPhase == ShardPhase::Owner && !mHeadWriter.IsBusy() &&
         (fits || mSegmentManager.HasStoredSegment()) &&
         mClock.Now() >= mNextCommitAt;
}

void
BookingShard::StartCommit()
{
  if (!IsCommitDue()) {
    return;
  }
  ++mBatch;
  AdvanceTrimMark();
  mSegmentManager.ApplyStoredSegment();
  mLedger.Apply(mBatch, kMaxHeadContentBytes);
  WriteHead(mVersion);
}

void
BookingShard::ReadNeededSegment()
{
  if (const auto ref = mLedger.CollectNeededSegment()) {
    mSegmentManager.Read(*ref, mActions);
  }
}

void
BookingShard::AdvanceTrimMark()
{
  const std::int64_t retention =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      mOptions.mBookings.mRetention)
      .count();
  const KeyTime before = ToUnixMilliseconds(mClock.Wall()) - retention;
  if (before - mTable.TrimmedBefore() >= retention / kTrimSteps) {
    mTable.Trim(before);
  }
}

BookingActions
BookingShard::Begin(ReplyToken aToken, const wire::BookingBegin& aBegin)
{
  CheckClockGap();
  if (mPhase == ShardPhase::NotOwner) {
    Reply(aToken, wire::BookingVerdict::NOT_OWNER, "not_owner");
    return CollectActions();
  }
  if (!RecordKeyTime(aBegin.key)) {
    Reply(aToken, wire::BookingVerdict::NOT_RUN, "key_malformed");
    return CollectActions();
  }
  if (mLedger.BeginCount() >= mOptions.mBookings.mMaxPending) {
    RefuseQueueFull(aToken, aBegin.key);
    return CollectActions();
  }
  const Duration wait = std::chrono::milliseconds(
    std::clamp<std::int64_t>(aBegin.remainingMs, 0, kMaxRemainingMs));
  mLedger.Add(WaitingBegin{ aToken, mClock.Now() + wait, aBegin }, mActions);
  ReadNeededSegment();
  StartCommit();
  return CollectActions();
}

wire::BookingResult
BookingShard::WithoutOversizedAnswer(const wire::BookingResult& aResult) const
{
  wire::BookingResult result = aResult;
  if (result.answer.body.size() > mOptions.mBookings.mMaxAnswerBytes) {
    result.answer.body.clear();
    result.answer.truncated = true;
  }
  return result;
}

void
BookingShard::RefuseQueueFull(ReplyToken aToken, const std::string& aKey)
{
  Reply(aToken,
        mLedger.IsUnused(aKey) ? wire::BookingVerdict::NOT_RUN
                               : wire::BookingVerdict::OUTCOME_UNKNOWN,
        "booking_queue_full");
}

BookingActions
BookingShard::Result(ReplyToken aToken, const wire::BookingResult& aResult)
{
  CheckClockGap();
  if (mPhase == ShardPhase::NotOwner) {
    ReplyResult(aToken, wire::BookingResultVerdict::NOT_OWNER);
  } else if (mLedger.ResultCount() >=
             kMaxResultsPerBegin * mOptions.mBookings.mMaxPending) {
    ReplyResult(aToken, wire::BookingResultVerdict::BUSY);
  } else {
    mLedger.Add(WaitingResult{ aToken,
                               mClock.Now() + kResultTimeout,
                               WithoutOversizedAnswer(aResult) },
                mActions);
    ReadNeededSegment();
    StartCommit();
  }
  return CollectActions();
}

BookingActions
BookingShard::OnRead(StoreOperation aOperation,
                     const absl::StatusOr<StoredObject>& aReply)
{
  CheckClockGap();
  if (mHeadReadOperation != 0 && aOperation == mHeadReadOperation) {
    OnHeadRead(aReply);
  } else if (mSegmentManager.IsReading(aOperation)) {
    if (mSegmentManager.OnSegmentRead(aReply, mLedger.WaitingKeys())) {
      mLedger.EvaluateAll(mActions);
    }
  } else {
    mSegmentManager.OnReadBack(aOperation, aReply);
    OnHeadResult(mHeadWriter.OnRead(aOperation, aReply));
  }
  ReadNeededSegment();
  StartCommit();
  return CollectActions();
}

BookingActions
BookingShard::OnWritten(StoreOperation aOperation,
                        const absl::StatusOr<std::uint64_t>& aReply)
{
  CheckClockGap();
  mSegmentManager.OnWritten(aOperation, aReply, mActions);
  OnHeadResult(mHeadWriter.OnWritten(aOperation, aReply, mActions));
  ReadNeededSegment();
  StartCommit();
  return CollectActions();
}

BookingActions
BookingShard::OnDeleted(StoreOperation aOperation, const absl::Status& aReply)
{
  CheckClockGap();
  mSegmentManager.OnDeleted(aOperation, aReply);
  return CollectActions();
}

BookingActions
BookingShard::OnTimer()
{
  CheckClockGap();
  if (mPhase == ShardPhase::Loading && mHeadReadOperation == 0 &&
      mClock.Now() >= mHeadReadRetryAt) {
    SendHeadRead();
  }
  mHeadWriter.OnTimer(mActions);
  mSegmentManager.OnTimer(mActions);
  mLedger.Expire(mActions);
  ReadNeededSegment();
  StartCommit();
  return CollectActions();
}

} // namespace bulrushfold
