#ifndef BULRUSHFOLD_TESTS_BOOKING_SHARDFIXTURE_H
#define BULRUSHFOLD_TESTS_BOOKING_SHARDFIXTURE_H

#include <deque>
#include <map>
#include <string>

#include "Base/Clock.h"
#include "Base/Identifiers.h"
#include "Booking/BookingShard.h"
#include "Soak/InMemoryStore.h"

namespace bulrushfold {

/** How the store treats the calls of one owner. */
enum class StoreMode
{
  Answers,
  /** Nothing is applied and the call ends with Unknown. */
  Down,
  /** Writes are applied, but their answers are lost. */
  LosesWriteAnswers,
  /** Calls stay in mHeld until Release. */
  Holds,
};

/** One shard owner with a store that a test controls. */
class ShardDriver
{
public:
  ShardDriver(const std::string& aName,
              ManualClock& aClock,
              InMemoryStore& aStore,
              BookingShardOptions aOptions = {})
    : mClock(aClock)
    , mStore(aStore)
    , mShard(WithName(std::move(aOptions), aName), aClock)
  {
  }

  void Become() { Run(mShard.Acquire()); }
  void Resign() { Run(mShard.Resign()); }
  /** Lets aSpan pass in steps of 10 ms. */
  void Pass(Duration aSpan)
  {
    for (Duration t{}; t < aSpan; t += kStep) {
      mClock.Advance(kStep);
      Turn();
    }
  }
  void Turn() { Run(mShard.OnTimer()); }

  ReplyToken Begin(const std::string& aKey,
                   const std::string& aRequest,
                   const std::string& aDigest = "body",
                   std::int64_t aRemainingMs = 1000)
  {
    wire::BookingBegin begin;
    begin.key = aKey;
    begin.digest = aDigest;
    begin.holder = "holder";
    begin.request = aRequest;
    begin.remainingMs = aRemainingMs;
    Run(mShard.Begin(++mLastToken, begin));
    return mLastToken;
  }

  ReplyToken Result(const std::string& aKey,
                    const std::string& aRequest,
                    bool aRan,
                    const std::string& aBody = "answer")
  {
    wire::BookingResult result;
    result.key = aKey;
    result.request = aRequest;
    result.ran = aRan;
    if (aRan) {
      wire::BookingAnswer answer;
      answer.status = 200;
      answer.body = aBody;
      answer.truncated = false;
      result.__set_answer(answer);
    }
    Run(mShard.Result(++mLastToken, result));
    return mLastToken;
  }

  /** Verdict of a begin; 0 while there is no reply. */
  int Verdict(ReplyToken aToken) const
  {
    const auto it = mReplies.find(aToken);
    return it == mReplies.end() ? 0 : static_cast<int>(it->second.verdict);
  }
  /** Verdict of a result; 0 while there is no reply. */
  int ResultVerdict(ReplyToken aToken) const
  {
    const auto it = mResultReplies.find(aToken);
    return it == mResultReplies.end() ? 0
                                      : static_cast<int>(it->second.verdict);
  }

  /** Applies the oldest held call and, if aAnswered, passes its answer on. */
  void Release(bool aAnswered = true)
  {
    const BookingAction action = mHeld.front();
    mHeld.pop_front();
    const StoreMode mode = mMode;
    mMode = aAnswered ? StoreMode::Answers : StoreMode::LosesWriteAnswers;
    BookingActions next = Carry(action);
    mMode = mode;
    Run(std::move(next));
  }

  void Run(BookingActions aActions)
  {
    std::deque<BookingAction> queue(aActions.begin(), aActions.end());
    while (!queue.empty()) {
      const BookingAction action = queue.front();
      queue.pop_front();
      for (auto& it : Carry(action)) {
        queue.push_back(std::move(it));
      }
    }
  }

  static constexpr Duration kStep = std::chrono::milliseconds(10);

  ManualClock& mClock;
  InMemoryStore& mStore;
  BookingShard mShard;
  StoreMode mMode = StoreMode::Answers;
  std::deque<BookingAction> mHeld;
  std::map<ReplyToken, wire::BookingBeginReply> mReplies;
  std::map<ReplyToken, wire::BookingResultReply> mResultReplies;

private:
  static BookingShardOptions WithName(BookingShardOptions aOptions,
                                      const std::string& aName)
  {
    aOptions.mWriter = aName;
    auto& bookings = aOptions.mBookings;
    bookings.mShards = 1;
    bookings.mCommitInterval = kStep;
    if (bookings.mMaxPending == 0) {
      bookings.mMaxPending = 100;
    }
    if (bookings.mRetention == Duration{}) {
      bookings.mRetention = std::chrono::hours(24);
    }
    if (bookings.mMaxAnswerBytes == 0) {
      bookings.mMaxAnswerBytes = 1000;
    }
    return aOptions;
  }

  BookingActions Carry(const BookingAction& aAction)
  {
    if (const auto* reply = std::get_if<ReplyToBegin>(&aAction)) {
      mReplies[reply->mToken] = reply->mReply;
      return {};
    }
    if (const auto* reply = std::get_if<ReplyToResult>(&aAction)) {
      mResultReplies[reply->mToken] = reply->mReply;
      return {};
    }
    if (mMode == StoreMode::Holds) {
      mHeld.push_back(aAction);
      return {};
    }
    return CarryStoreCall(aAction);
  }

  BookingActions CarryStoreCall(const BookingAction& aAction)
  {
    const bool down = mMode == StoreMode::Down;
    const bool loses = mMode == StoreMode::LosesWriteAnswers;
    const auto lost = absl::UnknownError("no answer");
    if (const auto* read = std::get_if<ReadObject>(&aAction)) {
      return mShard.OnRead(read->mOperation,
                           down ? absl::StatusOr<StoredObject>(lost)
                                : mStore.Get(read->mKey));
    }
    if (const auto* write = std::get_if<WriteObject>(&aAction)) {
      absl::StatusOr<std::uint64_t> answer = lost;
      if (!down) {
        answer = mStore.Put(write->mKey, write->mBody, write->mExpected);
      }
      return mShard.OnWritten(write->mOperation,
                              loses ? absl::StatusOr<std::uint64_t>(lost)
                                    : answer);
    }
    const auto& erase = std::get<DeleteObject>(aAction);
    return mShard.OnDeleted(erase.mOperation,
                            down ? lost : mStore.Delete(erase.mKey));
  }

  ReplyToken mLastToken = 0;
};

/** A record key with the clock's present time. */
inline std::string
MakeKey(const Clock& aClock, Random& aRandom)
{
  return MakeRecordKey("w", MakeUuidV7(aClock.Wall(), aRandom));
}

} // namespace bulrushfold

#endif
