#include "Booking/BookingShard.h"

#include <algorithm>
#include <utility>

#include "Base/Log.h"

namespace bulrushfold {

namespace {
// Head reads while the store does not answer.
constexpr Duration kLoadRetry = std::chrono::milliseconds(500);
// A holder that got no reply sends its result again, so a short wait suffices.
constexpr Duration kResultWait = std::chrono::seconds(5);
// The trim mark moves in steps of a thousandth of the retention, so that most
// commits leave the segments alone.
constexpr std::int64_t kTrimSteps = 1000;
// Results are accepted beyond the bound for begins, because they end work.
constexpr std::size_t kResultsPerBegin = 4;
// Longest wait for a permit, in milliseconds; guards the clock arithmetic
// against a peer's number.
constexpr std::int64_t kMaxRemainingMs = 3'600'000;
// Bytes of records in one head; base64 makes it a third longer and the object
// limit is 1 MB.
constexpr std::size_t kMaxHeadContent = 700'000;

std::int64_t
MillisOf(WallTime aTime)
{
  return aTime.time_since_epoch().count();
}

/** Whether a stored head is the one that was written. */
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
  , mLastTurn(aClock.Now())
  , mHeadWriter(aClock, mLastOperation)
  , mTable(mOptions.mTable)
  , mLedger(aClock, mTable)
  , mSegments(mOptions.mShard, aClock, mLastOperation, mTable)
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
BookingShard::TakeActions()
{
  mCounters.mHeadWrites = mHeadWriter.Writes();
  mCounters.mSegmentWrites = mSegments.Writes();
  mCounters.mSegmentReads = mSegments.Reads();
  mCounters.mPermits = mLedger.Permits();
  mCounters.mIntents = mLedger.Intents();
  mCounters.mResults = mLedger.Recorded();
  return std::exchange(mActions, {});
}

void
BookingShard::NoteTurn()
{
  const Instant now = mClock.Now();
  if (mPhase != ShardPhase::NotOwner &&
      now - mLastTurn > mOptions.mClockGapLimit) {
    LogEvent(LogLevel::Warning,
             "booking_clock_gap",
             { { "shard", mOptions.mShard },
               { "gap_ms", ToMilliseconds(now - mLastTurn) } });
    StepDown();
  }
  mLastTurn = now;
}

void
BookingShard::StepDown()
{
  if (mPhase == ShardPhase::NotOwner) {
    return;
  }
  mPhase = ShardPhase::NotOwner;
  ++mCounters.mStepDowns;
  mHeadRead = 0;
  mHeadWriter.Abandon();
  mSegments.Reset();
  mLedger.Close(mActions);
}

BookingActions
BookingShard::Acquire()
{
  NoteTurn();
  if (mPhase == ShardPhase::NotOwner) {
    mPhase = ShardPhase::Loading;
    SendHeadRead();
  }
  return TakeActions();
}

BookingActions
BookingShard::Resign()
{
  NoteTurn();
  StepDown();
  return TakeActions();
}

void
BookingShard::SendHeadRead()
{
  mHeadRead = ++mLastOperation;
  mActions.push_back(ReadObject{ mHeadRead, HeadObjectKey(mOptions.mShard) });
}

void
BookingShard::OnHeadRead(const absl::StatusOr<StoredObject>& aAnswer)
{
  mHeadRead = 0;
  mHeadReadAt = mClock.Now() + kLoadRetry;
  if (absl::IsNotFound(aAnswer.status())) {
    wire::BookingHead head;
    head.nextSegment = 1;
    Claim(head);
    WriteHead(std::nullopt);
    return;
  }
  if (!aAnswer.ok()) {
    return;
  }
  auto head = DecodeHead(aAnswer->mBody);
  if (!head.ok()) {
    LogEvent(LogLevel::Error,
             "booking_head_malformed",
             { { "key", aAnswer->mKey },
               { "detail", std::string(head.status().message()) } });
    return;
  }
  Claim(*head);
  WriteHead(aAnswer->mVersion);
}

void
BookingShard::Claim(const wire::BookingHead& aHead)
{
  mPhase = ShardPhase::Claiming;
  mTable.Load(aHead);
  if (aHead.epoch > 0) {
    // The former owner may have stored its next segment without referring to
    // it.
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
  write.mIsOwn = [writer = mOptions.mWriter, epoch = mEpoch, batch = mBatch](
                   std::string_view aBody) {
    return IsHeadOf(aBody, writer, epoch, batch);
  };
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
  mSegments.DeleteGarbage(mActions);
  if (mPhase == ShardPhase::Claiming) {
    mPhase = ShardPhase::Owner;
    mLedger.Open(mActions);
  } else {
    mLedger.OnCommitted(mCommittedBatch, mActions);
  }
  mSegments.MaybeSeal(mEpoch, mCommittedBatch, mActions);
}

bool
BookingShard::WantsCommit() const
{
  // A change that does not fit waits until a segment has taken records over.
  const bool fits = mLedger.HasChanges() &&
                    mTable.HeadBytes() + mLedger.NextBytes() <= kMaxHeadContent;
  return mPhase == ShardPhase::Owner && !mHeadWriter.IsBusy() &&
         (fits || mSegments.HasStored()) && mClock.Now() >= mNextCommitAt;
}

void
BookingShard::StartCommit()
{
  if (!WantsCommit()) {
    return;
  }
  ++mBatch;
  AdvanceTrim();
  mSegments.ApplyStored();
  mLedger.Apply(mBatch, kMaxHeadContent);
  WriteHead(mVersion);
}

void
BookingShard::ReadWantedSegment()
{
  if (const auto ref = mLedger.TakeWantedSegment()) {
    mSegments.Read(*ref, mActions);
  }
}

void
BookingShard::AdvanceTrim()
{
  const std::int64_t retention =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      mOptions.mBookings.mRetention)
      .count();
  const KeyTime before = MillisOf(mClock.Wall()) - retention;
  if (before - mTable.TrimmedBefore() >= retention / kTrimSteps) {
    mTable.Trim(before);
  }
}

BookingActions
BookingShard::Begin(ReplyToken aToken, const wire::BookingBegin& aBegin)
{
  NoteTurn();
  if (mPhase == ShardPhase::NotOwner) {
    Reply(aToken, wire::BookingVerdict::NOT_OWNER, "not_owner");
    return TakeActions();
  }
  if (!RecordKeyTime(aBegin.key)) {
    Reply(aToken, wire::BookingVerdict::NOT_RUN, "key_malformed");
    return TakeActions();
  }
  if (mLedger.Begins() >= mOptions.mBookings.mMaxPending) {
    RefuseFull(aToken, aBegin.key);
    return TakeActions();
  }
  const Duration wait = std::chrono::milliseconds(
    std::clamp<std::int64_t>(aBegin.remainingMs, 0, kMaxRemainingMs));
  mLedger.Add(WaitingBegin{ aToken, mClock.Now() + wait, aBegin }, mActions);
  ReadWantedSegment();
  StartCommit();
  return TakeActions();
}

wire::BookingResult
BookingShard::Bounded(const wire::BookingResult& aResult) const
{
  wire::BookingResult result = aResult;
  if (result.answer.body.size() > mOptions.mBookings.mMaxAnswerBytes) {
    result.answer.body.clear();
    result.answer.truncated = true;
  }
  return result;
}

void
BookingShard::RefuseFull(ReplyToken aToken, const std::string& aKey)
{
  Reply(aToken,
        mLedger.IsUnused(aKey) ? wire::BookingVerdict::NOT_RUN
                               : wire::BookingVerdict::OUTCOME_UNKNOWN,
        "booking_queue_full");
}

BookingActions
BookingShard::Result(ReplyToken aToken, const wire::BookingResult& aResult)
{
  NoteTurn();
  if (mPhase == ShardPhase::NotOwner) {
    ReplyResult(aToken, wire::BookingResultVerdict::NOT_OWNER);
  } else if (mLedger.Results() >=
             kResultsPerBegin * mOptions.mBookings.mMaxPending) {
    ReplyResult(aToken, wire::BookingResultVerdict::BUSY);
  } else {
    mLedger.Add(
      WaitingResult{ aToken, mClock.Now() + kResultWait, Bounded(aResult) },
      mActions);
    ReadWantedSegment();
    StartCommit();
  }
  return TakeActions();
}

BookingActions
BookingShard::OnRead(StoreOperation aOperation,
                     const absl::StatusOr<StoredObject>& aAnswer)
{
  NoteTurn();
  if (mHeadRead != 0 && aOperation == mHeadRead) {
    OnHeadRead(aAnswer);
  } else if (mSegments.IsReading(aOperation)) {
    if (mSegments.OnSegmentRead(aAnswer, mLedger.WaitingKeys())) {
      mLedger.Reconsider(mActions);
    }
  } else {
    mSegments.OnReadBack(aOperation, aAnswer);
    OnHeadResult(mHeadWriter.OnRead(aOperation, aAnswer));
  }
  ReadWantedSegment();
  StartCommit();
  return TakeActions();
}

BookingActions
BookingShard::OnWritten(StoreOperation aOperation,
                        const absl::StatusOr<std::uint64_t>& aAnswer)
{
  NoteTurn();
  mSegments.OnWritten(aOperation, aAnswer, mActions);
  OnHeadResult(mHeadWriter.OnWritten(aOperation, aAnswer, mActions));
  ReadWantedSegment();
  StartCommit();
  return TakeActions();
}

BookingActions
BookingShard::OnDeleted(StoreOperation aOperation, const absl::Status& aAnswer)
{
  NoteTurn();
  mSegments.OnDeleted(aOperation, aAnswer);
  return TakeActions();
}

BookingActions
BookingShard::OnTimer()
{
  NoteTurn();
  if (mPhase == ShardPhase::Loading && mHeadRead == 0 &&
      mClock.Now() >= mHeadReadAt) {
    SendHeadRead();
  }
  mHeadWriter.OnTimer(mActions);
  mSegments.OnTimer(mActions);
  mLedger.Expire(mActions);
  ReadWantedSegment();
  StartCommit();
  return TakeActions();
}

} // namespace bulrushfold
