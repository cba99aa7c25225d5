#include "Router/StreamCall.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Records the actions that a call requests. */
class FakePort : public StreamCallPort
{
public:
  bool Admits(const StreamDemand&) override { return mAdmits; }
  void RequestPlacement(StreamDemand aDemand) override
  {
    mDemands.push_back(std::move(aDemand));
  }
  void WithdrawPlacement() override { mLog.push_back("withdraw"); }
  void ReleasePrefill(Duration) override {}
  void NoteStarted() override { mLog.push_back("started"); }
  void ReleaseDecode() override { ++mReleases; }
  void NoteAnswer(std::uint64_t aEvents, Duration) override
  {
    mAnswerEvents = aEvents;
  }
  void NoteDecodeFull(const std::string& aEndpoint, std::uint64_t) override
  {
    mLog.push_back("full " + aEndpoint);
  }
  void NoteBroken(const std::string& aEndpoint) override
  {
    mBroken.push_back(aEndpoint);
  }
  void NoteMoved(const std::string& aEndpoint) override { mAt = aEndpoint; }
  bool IsUsable(const std::string& aEndpoint) const override
  {
    return mUnusable.count(aEndpoint) == 0;
  }
  void Reserve(const std::string& aEndpoint, std::uint64_t aTokens) override
  {
    mLog.push_back("reserve " + aEndpoint);
    mReserved = aTokens;
  }
  void Prefill(const std::string& aEndpoint, Instant) override
  {
    mLog.push_back("prefill " + aEndpoint);
  }
  void Decode(const DecodeOrder& aOrder, Instant) override
  {
    mLog.push_back("decode " + aOrder.mEndpoint);
    mDecodes.push_back(aOrder);
  }
  void CancelSend(SendResult) override { mLog.push_back("cancel"); }
  void Move(const std::string& aEndpoint, const std::string& aTarget) override
  {
    mLog.push_back("move " + aEndpoint + " " + aTarget);
  }
  void DropCache(const KvCache& aCache) override
  {
    mLog.push_back("drop " + aCache.mHandle);
  }
  void DropReservation(const std::string&,
                       const std::string& aReservation) override
  {
    mLog.push_back("unreserve " + aReservation);
  }
  void StartAnswer(int, const HttpHeaders&) override
  {
    mLog.push_back("answer");
  }
  void SendAnswer(std::string_view aData) override { mSent.append(aData); }
  void EndAnswer() override { mLog.push_back("end"); }
  void BreakAnswer(RefusalReason) override { mLog.push_back("break"); }
  void Deliver(const EndpointAnswer& aAnswer) override
  {
    mLog.push_back("deliver " + std::to_string(aAnswer.mStatus) + " " +
                   aAnswer.mBody);
  }
  void Refuse(const Refusal& aRefusal) override
  {
    mRefusal = aRefusal;
    mLog.push_back("refuse " + std::to_string(aRefusal.mStatus));
  }
  void WakeAt(Instant aTime) override { mWake = aTime; }

  /** The last recorded action; "" when there was none. */
  std::string Last() const { return mLog.empty() ? "" : mLog.back(); }
  bool Did(const std::string& aOrder) const
  {
    return std::find(mLog.begin(), mLog.end(), aOrder) != mLog.end();
  }

  bool mAdmits = true;
  std::vector<StreamDemand> mDemands;
  std::vector<std::string> mLog;
  std::vector<DecodeOrder> mDecodes;
  std::vector<std::string> mBroken;
  std::set<std::string> mUnusable;
  std::string mSent;
  std::string mAt;
  std::uint64_t mReserved = 0;
  std::uint64_t mAnswerEvents = 0;
  int mReleases = 0;
  Refusal mRefusal;
  Instant mWake;
};

const HttpHeaders kEvents{ { "Content-Type", "text/event-stream" } };

std::string
Event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: x\n\n";
}

KvCache
MakeCache(const std::string& aHandle)
{
  KvCache cache;
  cache.mEndpoint = "d1";
  cache.mEngine = { "10.0.0.1", 80 };
  cache.mHandle = aHandle;
  return cache;
}

/** A stream with 5,000 prompt tokens. */
struct Story
{
  explicit Story(bool aIsResumable, std::uint32_t aAttempts = 2)
  {
    mRoute.mKind = RequestKind::Stream;
    mRoute.mIsResumable = aIsResumable;
    mRoute.mMaxAttempts = aAttempts;
    mRoute.mLatencyGoal = milliseconds(900);
    mTerms.mCall.mRoute = &mRoute;
    mTerms.mCall.mService = "s";
    mTerms.mCall.mArrival = mNow;
    mTerms.mCall.mDeadline = mNow + seconds(14);
    mTerms.mProfile.mMaxReservation = seconds(2);
    mTerms.mTokens = { 5000, 9000, 4000 };
    mTerms.mAnswerTokens = 4000;
  }

  void Start()
  {
    mCall.emplace(mPort, mRetries, mTerms);
    mCall->Start(mNow);
  }
  void Place(const std::string& aPrefill, const std::string& aDecode)
  {
    StreamPlacement placement;
    placement.mPrefill = aPrefill;
    placement.mDecode = aDecode;
    mCall->OnPlaced(placement, mNow);
  }
  /** Advances the stream to the start of the answer. */
  void Run(const std::string& aPrefill, const std::string& aDecode)
  {
    Place(aPrefill, aDecode);
    mCall->OnReserved("hold", mNow);
    Prefilled();
    Begin();
  }
  void Prefilled()
  {
    mCall->OnPrefilled(SendEnd::Answered,
                       { "p1", { "10.0.0.1", 80 }, "kv" },
                       milliseconds(90),
                       mNow);
  }
  void Begin()
  {
    mCall->OnAnswerStarted(SendEnd::Answered, 200, kEvents, mNow);
  }
  void Data(const std::string& aData) { mCall->OnAnswerData(aData, mNow); }
  void End(SendEnd aEnd) { mCall->OnAnswerEnded(aEnd, mNow); }

  Instant mNow{ seconds(1000) };
  Route mRoute;
  StreamTerms mTerms;
  RetryAllowance mRetries{ { 0.2, 20, seconds(10) }, Instant(seconds(0)) };
  FakePort mPort;
  std::optional<StreamCall> mCall;
};

} // namespace

TEST_CASE("A stream is reserved, prefilled, decoded and passed on")
{
  Story story(false, 1);
  story.Start();
  REQUIRE(story.mPort.mDemands.size() == 1);
  story.Place("p1", "d1");
  CHECK(story.mPort.Last() == "reserve d1");
  CHECK(story.mPort.mReserved > 5000);
  CHECK(story.mPort.mReserved < 9000);
  story.mCall->OnReserved("hold", story.mNow);
  CHECK(story.mPort.Last() == "prefill p1");
  story.Prefilled();
  REQUIRE(story.mPort.Last() == "decode d1");
  CHECK(story.mPort.mDecodes[0].mReservation == "hold");
  CHECK(story.mPort.mDecodes[0].mCache->mHandle == "kv");

  SUBCASE("a complete answer is passed on and ended")
  {
    story.Begin();
    story.Data(Event(1));
    story.Data(Event(2));
    story.End(SendEnd::Answered);
    CHECK(story.mPort.mSent == Event(1) + Event(2));
    CHECK(story.mPort.Last() == "end");
    CHECK(story.mPort.mAnswerEvents == 2);
    CHECK(story.mPort.mReleases == 1);
  }
  // Guards against an interrupted answer that the caller takes for complete.
  SUBCASE("the answer to the caller is aborted when the run is interrupted")
  {
    story.Begin();
    story.Data(Event(1));
    story.End(SendEnd::Unknown);
    CHECK(story.mPort.Last() == "break");
    CHECK_FALSE(story.mPort.Did("end"));
  }
  SUBCASE("and when the engine ends it in the middle of an event")
  {
    story.Begin();
    story.Data(Event(1) + "id: 2\n");
    story.End(SendEnd::Answered);
    CHECK(story.mPort.Last() == "break");
  }
  SUBCASE("an error answer of the engine is passed on completely")
  {
    story.mCall->OnAnswerStarted(SendEnd::Answered, 500, {}, story.mNow);
    story.Data("why");
    story.End(SendEnd::Answered);
    CHECK(story.mPort.Last() == "deliver 500 why");
  }
  SUBCASE("the outcome is unknown when the run ends before its answer starts")
  {
    story.End(SendEnd::Unknown);
    CHECK(story.mPort.Last() == "refuse 502");
    CHECK(story.mPort.mRefusal.mRetryAfter == Duration::zero());
  }
  SUBCASE("a stream that the engine refused is placed again")
  {
    story.mCall->OnAnswerStarted(SendEnd::NotRun, 503, {}, story.mNow);
    REQUIRE(story.mPort.mDemands.size() == 2);
    CHECK(story.mPort.mDemands[1].mTried.count("d1") == 1);
    CHECK(story.mPort.Did("drop kv"));
    CHECK(story.mPort.Did("unreserve hold"));
  }
  SUBCASE("a stream without an answer at its deadline is refused")
  {
    story.mNow = story.mTerms.mCall.mDeadline;
    story.mCall->OnWake(story.mNow);
    CHECK(story.mPort.Last() == "refuse 504");
  }
  // Guards against engine memory that stays occupied after the caller has
  // disconnected.
  SUBCASE("everything is released when the caller disconnects")
  {
    story.mCall->OnCallerGone(story.mNow);
    CHECK(story.mPort.Did("cancel"));
    CHECK(story.mPort.Did("drop kv"));
    CHECK(story.mPort.Did("unreserve hold"));
    CHECK(story.mPort.mReleases == 1);
  }
}

TEST_CASE("A stream that fails before the decode has not run")
{
  Story story(false, 1);
  story.Start();

  SUBCASE("while it is in the queue")
  {
    SUBCASE("it is refused with a retry time when it expires")
    {
      story.mCall->OnNoPlacement(story.mNow);
      CHECK(story.mPort.Last() == "refuse 503");
      CHECK(story.mPort.mRefusal.mRetryAfter > Duration::zero());
    }
    SUBCASE("it is removed when the caller disconnects")
    {
      story.mCall->OnCallerGone(story.mNow);
      CHECK(story.mPort.Did("withdraw"));
    }
  }
  SUBCASE("a refused reservation uses no retry allowance")
  {
    while (story.mRetries.Take("s", 1, story.mNow)) {
    }
    story.Place("p1", "d1");
    story.mCall->OnReserved("", story.mNow);
    CHECK(story.mPort.Did("full d1"));
    CHECK(story.mPort.mDemands.size() == 2);
  }
  // Guards against a crash of the router when the prefill engine is removed
  // between reservation and prefill.
  SUBCASE("a prefill engine that was removed is not used")
  {
    story.Place("p1", "d1");
    story.mPort.mUnusable = { "p1" };
    story.mCall->OnReserved("hold", story.mNow);
    CHECK_FALSE(story.mPort.Did("prefill p1"));
    CHECK(story.mPort.mDemands.size() == 2);
  }
  SUBCASE("a decode engine that was removed is not used")
  {
    story.Place("p1", "d1");
    story.mCall->OnReserved("hold", story.mNow);
    story.mPort.mUnusable = { "d1" };
    story.Prefilled();
    CHECK(story.mPort.mDecodes.empty());
    CHECK(story.mPort.Did("drop kv"));
    CHECK(story.mPort.mDemands.size() == 2);
  }
  SUBCASE("a failed prefill")
  {
    story.Place("p1", "d1");
    story.mCall->OnReserved("hold", story.mNow);
    SUBCASE("is repeated within the retry allowance")
    {
      story.mCall->OnPrefilled(
        SendEnd::Unknown, {}, Duration::zero(), story.mNow);
      CHECK(story.mPort.mDemands.size() == 2);
    }
    SUBCASE("is not repeated when the retry allowance is used up")
    {
      while (story.mRetries.Take("s", 1, story.mNow)) {
      }
      story.mCall->OnPrefilled(
        SendEnd::Unknown, {}, Duration::zero(), story.mNow);
      CHECK(story.mPort.Last() == "refuse 503");
    }
  }
  SUBCASE("a reservation without an answer is cancelled at its timeout")
  {
    story.Place("p1", "d1");
    story.mNow = story.mPort.mWake;
    story.mCall->OnWake(story.mNow);
    CHECK(story.mPort.Did("cancel"));
    CHECK(story.mPort.mDemands.size() == 2);
  }
}

TEST_CASE("A stream that could not start in time is refused with a retry time")
{
  Story story(false, 1);
  story.mPort.mAdmits = false;
  SUBCASE("on the first attempt")
  {
    story.Start();
    CHECK(story.mPort.Last() == "refuse 503");
    CHECK(story.mPort.mRefusal.mReason == RefusalReason::Overload);
    CHECK(story.mPort.mRefusal.mRetryAfter > seconds(1));
  }
  // Guards against a request that is never served: a caller retries only once.
  SUBCASE("but not when the caller retries")
  {
    story.mTerms.mFirstArrival = story.mNow - seconds(3);
    story.Start();
    REQUIRE(story.mPort.mDemands.size() == 1);
    CHECK(story.mPort.mDemands[0].mDue < story.mNow);
  }
}

TEST_CASE("A resumed stream is late from its arrival on")
{
  Story story(true);
  story.mTerms.mProfile.mTokensPerEvent = 72;
  story.mTerms.mLastEventId = "50";
  // Guards against the refusal of a resumed stream: its caller does not retry
  // again.
  story.mPort.mAdmits = false;
  story.Start();
  REQUIRE(story.mPort.mDemands.size() == 1);
  const StreamDemand& demand = story.mPort.mDemands[0];
  CHECK(demand.mDue <= story.mNow);
  CHECK(demand.mGeneratedTokens == 3600);
  CHECK(demand.mMostTokens == 5400);
  // 4,000 tokens were expected; an answer with 3,600 so far is likely to be a
  // long one.
  CHECK(demand.mAnswerTokens >= 400);
  CHECK(demand.mAnswerTokens <= 2000);
  story.Place("p1", "d1");
  CHECK(story.mPort.mReserved >= 8600);
  CHECK(story.mPort.mReserved <= 9200);
}

TEST_CASE("Another engine continues a resumable stream")
{
  Story story(true);
  story.Start();
  story.Run("p1", "d1");
  story.Data(Event(1) + Event(2) + "id: 3\nda");

  SUBCASE("after the last complete event")
  {
    story.End(SendEnd::Unknown);
    REQUIRE(story.mPort.mDemands.size() == 2);
    CHECK(story.mPort.mDemands[1].mTried.count("d1") == 1);
    CHECK(story.mPort.mBroken == std::vector<std::string>{ "d1" });
    CHECK(story.mPort.mDemands[1].mHasRun);
    CHECK(story.mPort.mBroken == std::vector<std::string>{ "d1" });
    CHECK(story.mPort.mDemands[1].mHasRun);
    story.Place("p2", "d2");
    story.mCall->OnReserved("hold2", story.mNow);
    story.Prefilled();
    CHECK(story.mPort.mDecodes.back().mLastEventId == "2");
    story.Begin();
    story.Data(Event(3));
    story.End(SendEnd::Answered);
    CHECK(story.mPort.mSent == Event(1) + Event(2) + Event(3));
    CHECK(story.mPort.Last() == "end");
    // The answer of two runs gives no measurement of the engines.
    CHECK(story.mPort.mAnswerEvents == 0);
  }
  SUBCASE("and cancels the first run when that sends no data")
  {
    story.mNow = story.mPort.mWake;
    story.mCall->OnWake(story.mNow);
    CHECK(story.mPort.Did("cancel"));
    CHECK(story.mPort.mDemands.size() == 2);
  }
  SUBCASE("but on no more engines than the route allows")
  {
    story.End(SendEnd::Unknown);
    story.Run("p2", "d2");
    story.End(SendEnd::Unknown);
    CHECK(story.mPort.Last() == "break");
  }
}

TEST_CASE("The cached prompt of an interrupted run is used again")
{
  Story story(true, 3);
  story.mTerms.mPromptKey = 42;
  story.Start();
  CHECK_FALSE(story.mPort.mDemands[0].mHasRun);
  CHECK(story.mPort.mDemands[0].mPromptKey == 42);
  story.Run("p1", "d1");
  story.Data(Event(1));

  SUBCASE("but not at an engine that stopped responding")
  {
    story.mNow += seconds(2);
    story.mCall->OnWake(story.mNow);
    REQUIRE(story.mPort.mDemands.size() == 2);
    CHECK_FALSE(story.mPort.mDemands[1].mHasRun);
  }
  SUBCASE("without another prefill, but only once")
  {
    story.End(SendEnd::Unknown);
    REQUIRE(story.mPort.mDemands.size() == 2);
    CHECK(story.mPort.mDemands[1].mHasRun);
    StreamPlacement placement;
    placement.mDecode = "d1";
    placement.mKeptTokens = 5000;
    story.mCall->OnPlaced(placement, story.mNow);
    story.mCall->OnReserved("hold2", story.mNow);
    CHECK(story.mPort.Last() == "decode d1");
    CHECK_FALSE(story.mPort.mDecodes.back().mCache);
    CHECK(story.mPort.mDecodes.back().mLastEventId == "1");
    story.mCall->OnAnswerStarted(SendEnd::NotRun, 503, {}, story.mNow);
    REQUIRE(story.mPort.mDemands.size() == 3);
    CHECK_FALSE(story.mPort.mDemands[2].mHasRun);
  }
  SUBCASE("and is recorded when the caller disconnects")
  {
    story.mCall->OnCallerGone(story.mNow);
    CHECK(story.mPort.mBroken == std::vector<std::string>{ "d1" });
  }
}

TEST_CASE("A run moves to another engine and continues there")
{
  Story story(false, 1);
  story.Start();
  story.Run("p1", "d1");
  const std::optional<KvCache> cache = MakeCache("moved");

  SUBCASE("it does not move before its first event")
  {
    story.mCall->StartMove("d2", story.mNow);
    CHECK_FALSE(story.mCall->IsMoving());
  }
  story.Data(Event(1));
  story.mCall->StartMove("d2", story.mNow);
  REQUIRE(story.mPort.Last() == "move d1 d2");
  CHECK(story.mPort.mAt == "d2");
  story.Data(Event(2));

  SUBCASE("when the copy is reported before the answer of the source ends")
  {
    story.mCall->OnMoveAnswered(cache, true, story.mNow);
    CHECK(story.mPort.mDecodes.size() == 1);
    story.End(SendEnd::Unknown);
    CHECK(story.mPort.mDecodes.size() == 2);
  }
  SUBCASE("when the answer of the source ends before the copy is reported")
  {
    story.End(SendEnd::Unknown);
    CHECK(story.mPort.mDecodes.size() == 1);
    story.mCall->OnMoveAnswered(cache, true, story.mNow);
    REQUIRE(story.mPort.mDecodes.size() == 2);
    CHECK(story.mPort.mDecodes[1].mEndpoint == "d2");
    CHECK(story.mPort.mDecodes[1].mCache->mHandle == "moved");
    CHECK(story.mPort.mDecodes[1].mLastEventId == "2");
    SUBCASE("and the target completes the answer")
    {
      story.Begin();
      story.Data(Event(3));
      story.End(SendEnd::Answered);
      CHECK(story.mPort.mSent == Event(1) + Event(2) + Event(3));
      CHECK(story.mPort.Last() == "end");
    }
    SUBCASE("and it returns to the source if the target refuses it")
    {
      story.mCall->OnAnswerStarted(SendEnd::NotRun, 503, {}, story.mNow);
      REQUIRE(story.mPort.mDecodes.size() == 3);
      CHECK(story.mPort.mDecodes[2].mEndpoint == "d1");
      CHECK(story.mPort.mAt == "d1");
    }
  }
  SUBCASE("it resumes at its source when the target has no free memory")
  {
    story.End(SendEnd::Unknown);
    story.mCall->OnMoveAnswered(cache, false, story.mNow);
    REQUIRE(story.mPort.mDecodes.size() == 2);
    CHECK(story.mPort.mDecodes[1].mEndpoint == "d1");
  }
  SUBCASE("it continues at its source when that refuses the move")
  {
    story.mCall->OnMoveAnswered(std::nullopt, false, story.mNow);
    CHECK(story.mPort.mAt == "d1");
    story.Data(Event(3));
    story.End(SendEnd::Answered);
    CHECK(story.mPort.Last() == "end");
  }
  SUBCASE("an answer that is completed during the move ends normally")
  {
    story.End(SendEnd::Answered);
    CHECK(story.mPort.Last() == "end");
    story.mCall->OnMoveAnswered(std::nullopt, false, story.mNow);
    CHECK(story.mPort.Last() == "end");
  }
  SUBCASE("the answer is aborted when the run is lost during the move")
  {
    story.End(SendEnd::Unknown);
    story.mCall->OnMoveAnswered(std::nullopt, false, story.mNow);
    CHECK(story.mPort.Last() == "break");
  }
}

} // namespace bulrushfold
