#include "Booking/BookingLedger.h"

#include <algorithm>
#include <utility>

#include "Base/Log.h"

namespace bulrushfold {

namespace {

using wire::BookingResultVerdict;
using wire::BookingState;
using wire::BookingVerdict;

// Largest difference in milliseconds by which a caller's clock may be ahead of
// the owner's.
constexpr KeyTime kMaxKeyTimeAhead = 300'000;

void
ReplyBegin(BookingActions& aActions,
           ReplyToken aToken,
           BookingVerdict::type aVerdict,
           const std::string& aReason)
{
  aActions.push_back(ReplyToBegin{ aToken, MakeBeginReply(aVerdict, aReason) });
}

void
ReplyResult(BookingActions& aActions,
            ReplyToken aToken,
            BookingResultVerdict::type aVerdict)
{
  wire::BookingResultReply reply;
  reply.verdict = aVerdict;
  aActions.push_back(ReplyToResult{ aToken, reply });
}

void
ReplyDone(BookingActions& aActions,
          ReplyToken aToken,
          const wire::BookingRecord& aRecord)
{
  auto reply = MakeBeginReply(BookingVerdict::DONE, "recorded");
  reply.attempt = aRecord.attempt;
  reply.__set_answer(aRecord.answer);
  aActions.push_back(ReplyToBegin{ aToken, reply });
}

} // namespace

wire::BookingBeginReply
MakeBeginReply(BookingVerdict::type aVerdict, const std::string& aReason)
{
  wire::BookingBeginReply reply;
  reply.verdict = aVerdict;
  reply.attempt = 0;
  reply.reason = aReason;
  return reply;
}

BookingLedger::BookingLedger(const Clock& aClock, BookingTable& aTable)
  : mClock(aClock)
  , mTable(aTable)
{
}

void
BookingLedger::StartOwnership(BookingActions& aActions)
{
  mIsOwner = true;
  EvaluateAll(aActions);
}

void
BookingLedger::EndOwnership(BookingActions& aActions)
{
  mIsOwner = false;
  mCommittedBatch = 0;
  mQueue.clear();
  mQueuedKeys.clear();
  mBatchKeys.clear();
  mWithdrawn.clear();
  mNeededSegment.reset();
  const KeyWaiters waiters = mWaiters.ExtractAll();
  for (const auto& it : waiters.mBegins) {
    ReplyBegin(aActions, it.mToken, BookingVerdict::NOT_OWNER, "not_owner");
  }
  for (const auto& it : waiters.mResults) {
    ReplyResult(aActions, it.mToken, BookingResultVerdict::NOT_OWNER);
  }
}

void
BookingLedger::Add(WaitingBegin aBegin, BookingActions& aActions)
{
  const std::string key = aBegin.mBegin.key;
  mWaiters.Add(std::move(aBegin));
  Evaluate(key, aActions);
}

void
BookingLedger::Add(WaitingResult aResult, BookingActions& aActions)
{
  const std::string key = aResult.mResult.key;
  mWaiters.Add(std::move(aResult));
  Evaluate(key, aActions);
}

void
BookingLedger::EvaluateAll(BookingActions& aActions)
{
  for (const auto& key : mWaiters.Keys()) {
    Evaluate(key, aActions);
  }
}

std::optional<wire::BookingSegmentRef>
BookingLedger::CollectNeededSegment()
{
  return std::exchange(mNeededSegment, std::nullopt);
}

bool
BookingLedger::IsTrimmed(const std::string& aKey) const
{
  return RecordKeyTime(aKey).value_or(0) < mTable.TrimmedBefore();
}

bool
BookingLedger::IsUnused(const std::string& aKey)
{
  return mIsOwner && !IsTrimmed(aKey) && mQueuedKeys.count(aKey) == 0 &&
         mTable.Find(aKey).mLocation == BookingLookup::Location::Absent;
}

void
BookingLedger::Evaluate(const std::string& aKey, BookingActions& aActions)
{
  if (!mIsOwner || mQueuedKeys.count(aKey) != 0) {
    return;
  }
  const auto lookup = mTable.Find(aKey);
  if (lookup.mLocation == BookingLookup::Location::Segment &&
      !IsTrimmed(aKey)) {
    mNeededSegment = lookup.mSegment;
    return;
  }
  const HeadRecord* headRecord = lookup.mHeadRecord;
  if (headRecord != nullptr && headRecord->mBatch > mCommittedBatch) {
    return;
  }
  KeyWaiters waiters = mWaiters.Extract(aKey);
  KeyWaiters remaining;
  for (auto& it : waiters.mResults) {
    if (Decide(it, headRecord, aActions)) {
      remaining.mResults.push_back(std::move(it));
    }
  }
  for (auto& it : waiters.mBegins) {
    if (Decide(it, headRecord, aActions)) {
      remaining.mBegins.push_back(std::move(it));
    }
  }
  mWaiters.Reinsert(aKey, std::move(remaining));
}

bool
BookingLedger::Decide(const WaitingBegin& aWaiting,
                      const HeadRecord* aHeadRecord,
                      BookingActions& aActions)
{
  const auto& begin = aWaiting.mBegin;
  if (IsTrimmed(begin.key)) {
    ReplyBegin(aActions,
               aWaiting.mToken,
               BookingVerdict::OUTCOME_UNKNOWN,
               "key_older_than_records");
    return false;
  }
  if (mQueuedKeys.count(begin.key) != 0) {
    return true;
  }
  if (aHeadRecord == nullptr) {
    const KeyTime now = mClock.Wall().time_since_epoch().count();
    if (RecordKeyTime(begin.key).value_or(0) > now + kMaxKeyTimeAhead) {
      ReplyBegin(aActions,
                 aWaiting.mToken,
                 BookingVerdict::NOT_RUN,
                 "key_time_in_future");
      return false;
    }
    return QueueOrRefuse(aWaiting, 1, aActions);
  }
  const auto& record = aHeadRecord->mRecord;
  if (record.digest != begin.digest) {
    ReplyBegin(aActions,
               aWaiting.mToken,
               BookingVerdict::BODY_DIFFERS,
               "key_used_with_other_body");
    return false;
  }
  return DecideFromRecord(aWaiting, record, aActions);
}

bool
BookingLedger::DecideFromRecord(const WaitingBegin& aWaiting,
                                const wire::BookingRecord& aRecord,
                                BookingActions& aActions)
{
  const auto& begin = aWaiting.mBegin;
  if (aRecord.state == BookingState::DONE) {
    ReplyDone(aActions, aWaiting.mToken, aRecord);
    return false;
  }
  if (aRecord.state == BookingState::NOT_RUN) {
    return QueueOrRefuse(aWaiting, aRecord.attempt + 1, aActions);
  }
  if (aRecord.request != begin.request || aRecord.holder != begin.holder) {
    return true;
  }
  // The holder repeats its BookingBegin when the reply with the permit was
  // lost. Granting the permit again is safe, because the holder's
  // BookingRegistry dispatches a request at most once.
  auto reply = MakeBeginReply(BookingVerdict::PERMIT, "committed");
  reply.attempt = aRecord.attempt;
  aActions.push_back(ReplyToBegin{ aWaiting.mToken, reply });
  ++mPermitCount;
  return false;
}

bool
BookingLedger::Decide(const WaitingResult& aWaiting,
                      const HeadRecord* aHeadRecord,
                      BookingActions& aActions)
{
  const auto& result = aWaiting.mResult;
  if (IsTrimmed(result.key) || aHeadRecord == nullptr) {
    ReplyResult(aActions, aWaiting.mToken, BookingResultVerdict::GONE);
    return false;
  }
  const auto& record = aHeadRecord->mRecord;
  const auto finalState =
    result.ran ? BookingState::DONE : BookingState::NOT_RUN;
  if (record.request != result.request ||
      (record.state != BookingState::INTENT && record.state != finalState)) {
    LogEvent(LogLevel::Warning,
             "booking_result_rejected",
             { { "key", result.key }, { "request", result.request } });
    ReplyResult(aActions, aWaiting.mToken, BookingResultVerdict::REJECTED);
    return false;
  }
  if (record.state == finalState) {
    ReplyResult(aActions, aWaiting.mToken, BookingResultVerdict::RECORDED);
    return false;
  }
  if (mQueuedKeys.count(result.key) == 0) {
    QueueFinalState(record, &result);
  }
  return true;
}

void
BookingLedger::Queue(const wire::BookingRecord& aRecord)
{
  mQueuedKeys.insert(aRecord.key);
  mQueue.push_back(aRecord);
}

bool
BookingLedger::QueueOrRefuse(const WaitingBegin& aWaiting,
                             std::int32_t aAttempt,
                             BookingActions& aActions)
{
  if (aWaiting.mDeadline > mClock.Now()) {
    QueueIntent(aWaiting.mBegin, aAttempt);
    return true;
  }
  ReplyBegin(aActions,
             aWaiting.mToken,
             BookingVerdict::NOT_RUN,
             "not_committed_in_time");
  return false;
}

void
BookingLedger::QueueIntent(const wire::BookingBegin& aBegin,
                           std::int32_t aAttempt)
{
  wire::BookingRecord record;
  record.key = aBegin.key;
  record.digest = aBegin.digest;
  record.state = BookingState::INTENT;
  record.attempt = aAttempt;
  record.holder = aBegin.holder;
  record.request = aBegin.request;
  Queue(record);
  ++mIntentCount;
}

void
BookingLedger::QueueFinalState(wire::BookingRecord aRecord,
                               const wire::BookingResult* aResult)
{
  const bool ran = aResult != nullptr && aResult->ran;
  aRecord.state = ran ? BookingState::DONE : BookingState::NOT_RUN;
  if (ran) {
    aRecord.__set_answer(aResult->answer);
    ++mRecordedCount;
  }
  Queue(aRecord);
}

std::size_t
BookingLedger::NextChangeBytes() const
{
  return mQueue.empty() ? 0 : RecordBytes(mQueue.front());
}

void
BookingLedger::Apply(std::int64_t aBatch, std::size_t aMaxBytes)
{
  mBatchKeys.clear();
  while (!mQueue.empty() &&
         mTable.HeadBytes() + NextChangeBytes() <= aMaxBytes) {
    const wire::BookingRecord record = mQueue.front();
    mQueue.pop_front();
    mQueuedKeys.erase(record.key);
    mBatchKeys.push_back(record.key);
    if (!IsTrimmed(record.key)) {
      mTable.Put(record, aBatch);
    }
  }
}

void
BookingLedger::OnCommitted(std::int64_t aBatch, BookingActions& aActions)
{
  mCommittedBatch = aBatch;
  for (const auto& key : std::exchange(mBatchKeys, {})) {
    const auto withdrawn = mWithdrawn.extract(key);
    const HeadRecord* headRecord = mTable.Find(key).mHeadRecord;
    if (!withdrawn.empty() && headRecord != nullptr &&
        headRecord->mRecord.request == withdrawn.mapped() &&
        headRecord->mRecord.state == BookingState::INTENT) {
      QueueFinalState(headRecord->mRecord, nullptr);
    }
    Evaluate(key, aActions);
  }
}

void
BookingLedger::Expire(BookingActions& aActions)
{
  const KeyWaiters expired = mWaiters.ExtractExpired(mClock.Now());
  for (const auto& it : expired.mResults) {
    ReplyResult(aActions, it.mToken, BookingResultVerdict::BUSY);
  }
  for (const auto& it : expired.mBegins) {
    ExpireBegin(it, aActions);
  }
  for (const auto& it : expired.mBegins) {
    Evaluate(it.mBegin.key, aActions);
  }
}

void
BookingLedger::ExpireBegin(const WaitingBegin& aWaiting,
                           BookingActions& aActions)
{
  if (mIsOwner && Withdraw(aWaiting.mBegin)) {
    ReplyBegin(aActions,
               aWaiting.mToken,
               BookingVerdict::NOT_RUN,
               "not_committed_in_time");
    return;
  }
  ReplyBegin(aActions,
             aWaiting.mToken,
             BookingVerdict::OUTCOME_UNKNOWN,
             mIsOwner ? "earlier_request_has_no_result"
                      : "records_not_readable");
}

bool
BookingLedger::Withdraw(const wire::BookingBegin& aBegin)
{
  if (WithdrawQueued(aBegin)) {
    return true;
  }
  const HeadRecord* headRecord = mTable.Find(aBegin.key).mHeadRecord;
  if (headRecord == nullptr || headRecord->mBatch <= mCommittedBatch ||
      headRecord->mRecord.state != BookingState::INTENT ||
      headRecord->mRecord.request != aBegin.request) {
    return false;
  }
  mWithdrawn[aBegin.key] = aBegin.request;
  return true;
}

bool
BookingLedger::WithdrawQueued(const wire::BookingBegin& aBegin)
{
  if (mQueuedKeys.count(aBegin.key) == 0) {
    return false;
  }
  const auto it = std::find_if(mQueue.begin(),
                               mQueue.end(),
                               [&aBegin](const wire::BookingRecord& aQueued) {
                                 return aQueued.key == aBegin.key &&
                                        aQueued.request == aBegin.request &&
                                        aQueued.state == BookingState::INTENT;
                               });
  if (it == mQueue.end()) {
    return false;
  }
  mQueue.erase(it);
  mQueuedKeys.erase(aBegin.key);
  return true;
}

} // namespace bulrushfold
