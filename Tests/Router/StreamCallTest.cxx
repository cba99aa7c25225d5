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
class FakeDelegate : public StreamCallDelegate
{
public:
  bool Admits(const StreamDemand&) override { return mAdmits; }
  void RequestPlacement(StreamDemand aDemand) override
  {
    mDemands.push_back(std::move(aDemand));
  }
  void WithdrawPlacement() override { mActions.push_back("withdraw"); }
  void ReleasePrefill(Duration) override {}
  void ReportDecodeStarted() override { mActions.push_back("started"); }
  void ReleaseDecode() override { ++mDecodeReleases; }
  void ReportAnswer(std::uint64_t aEvents, Duration) override
  {
    mAnswerEvents = aEvents;
  }
  void ReportDecodeFull(const std::string& aEndpoint, std::uint64_t) override
  {
    mActions.push_back("full " + aEndpoint);
  }
  void ReportInterruptedRun(const std::string& aEndpoint) override
  {
    mInterruptedAt.push_back(aEndpoint);
  }
  void ReportMoved(const std::string& aEndpoint) override
  {
    mRunEndpoint = aEndpoint;
  }
  bool IsUsable(const std::string& aEndpoint) const override
  {
    return mUnusable.count(aEndpoint) == 0;
  }
  bool CanReceive(const std::string& aEndpoint) const override
  {
    return mUnreachable.count(aEndpoint) == 0;
  }
  bool IsPromptRefused() override { return mIsPromptRefused; }
  void Reserve(const std::string& aEndpoint, std::uint64_t aTokens) override
  {
    mActions.push_back("reserve " + aEndpoint);
    mReservedTokens = aTokens;
  }
  void Prefill(const std::string& aEndpoint, Instant) override
  {
    mActions.push_back("prefill " + aEndpoint);
  }
  void Decode(const DecodeParameters& aParameters, Instant) override
  {
    mActions.push_back("decode " + aParameters.mEndpoint);
    mDecodes.push_back(aParameters);
  }
  void CancelSend(SendResult) override { mActions.push_back("cancel"); }
  void Move(const std::string& aEndpoint, const std::string& aTarget) override
  {
    mActions.push_back("move " + aEndpoint + " " + aTarget);
  }
  void DropCache(const KvCache& aCache) override
  {
    mActions.push_back("drop " + aCache.mHandle);
  }
  void DropReservation(const std::string&,
                       const std::string& aReservation) override
  {
    mActions.push_back("unreserve " + aReservation);
  }
  void StartAnswer(int, const HttpHeaders&) override
  {
    mActions.push_back("answer");
  }
  void SendAnswer(std::string_view aData) override
  {
    mAnswerData.append(aData);
  }
  void EndAnswer() override { mActions.push_back("end"); }
  void AbortAnswer(RefusalReason) override { mActions.push_back("abort"); }
  void Deliver(const EndpointAnswer& aAnswer) override
  {
    mActions.push_back("deliver " + std::to_string(aAnswer.mStatus) + " " +
                       aAnswer.mBody);
  }
  void Refuse(const Refusal& aRefusal) override
  {
    mRefusal = aRefusal;
    mActions.push_back("refuse " + std::to_string(aRefusal.mStatus));
  }
  void WakeAt(Instant aTime) override { mWakeTime = aTime; }

  /** The last recorded action; "" when there was none. */
  std::string LastAction() const
  {
    return mActions.empty() ? "" : mActions.back();
  }
  bool HasAction(const std::string& aAction) const
  {
    return std::find(mActions.begin(), mActions.end(), aAction) !=
           mActions.end();
  }

  bool mAdmits = true;
  std::vector<StreamDemand> mDemands;
  std::vector<std::string> mActions;
  std::vector<DecodeParameters> mDecodes;
  std::vector<std::string> mInterruptedAt;
  std::set<std::string> mUnusable;
  std::set<std::string> mUnreachable;
  bool mIsPromptRefused = false;
  std::string mAnswerData;
  std::string mRunEndpoint;
  std::uint64_t mReservedTokens = 0;
  std::uint64_t mAnswerEvents = 0;
  int mDecodeReleases = 0;
  Refusal mRefusal;
  Instant mWakeTime;
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
  cache.mAddress = { "10.0.0.1", 80 };
  cache.mHandle = aHandle;
  return cache;
}

/** A stream with 5,000 prompt tokens. */
struct StreamCallFixture
{
  explicit StreamCallFixture(bool aIsResumable, std::uint32_t aAttempts = 2)
  {
    mRoute.mKind = RequestKind::Stream;
    mRoute.mIsResumable = aIsResumable;
    mRoute.mMaxAttempts = aAttempts;
    mRoute.mLatencyTarget = milliseconds(900);
    mParameters.mCall.mRoute = &mRoute;
    mParameters.mCall.mService = "s";
    mParameters.mCall.mArrival = mNow;
    mParameters.mCall.mDeadline = mNow + seconds(14);
    mParameters.mProfile.mMaxReservation = seconds(2);
    mParameters.mTokens = { 5000, 9000, 4000 };
    mParameters.mAnswerTokens = 4000;
  }

  void Start()
  {
    mCall.emplace(mDelegate, mRetryBudget, mParameters);
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
  void RunToAnswer(const std::string& aPrefill, const std::string& aDecode)
  {
    Place(aPrefill, aDecode);
    mCall->OnReserved("hold", mNow);
    FinishPrefill();
    StartAnswer();
  }
  void FinishPrefill()
  {
    mCall->OnPrefilled(SendOutcome::Answered,
                       { "p1", { "10.0.0.1", 80 }, "kv" },
                       milliseconds(90),
                       mNow);
  }
  void StartAnswer()
  {
    mCall->OnAnswerStarted(SendOutcome::Answered, 200, kEvents, mNow);
  }
  void AddData(const std::string& aData) { mCall->OnAnswerData(aData, mNow); }
  void EndAnswer(SendOutcome aOutcome) { mCall->OnAnswerEnded(aOutcome, mNow); }

  Instant mNow{ seconds(1000) };
  Route mRoute;
  StreamParameters mParameters;
  SharedRetryBudget mRetryBudget{ { 0.2, 20, seconds(10) },
                                  Instant(seconds(0)) };
  FakeDelegate mDelegate;
  std::optional<StreamCall> mCall;
};

} // namespace

TEST_CASE("A stream is reserved, prefilled, decoded and passed on")
{
  StreamCallFixture fixture(false, 1);
  fixture.Start();
  REQUIRE(fixture.mDelegate.mDemands.size() == 1);
  fixture.Place("p1", "d1");
  CHECK(fixture.mDelegate.LastAction() == "reserve d1");
  CHECK(fixture.mDelegate.mReservedTokens > 5000);
  CHECK(fixture.mDelegate.mReservedTokens < 9000);
  fixture.mCall->OnReserved("hold", fixture.mNow);
  CHECK(fixture.mDelegate.LastAction() == "prefill p1");
  fixture.FinishPrefill();
  REQUIRE(fixture.mDelegate.LastAction() == "decode d1");
  CHECK(fixture.mDelegate.mDecodes[0].mReservation == "hold");
  CHECK(fixture.mDelegate.mDecodes[0].mCache->mHandle == "kv");

  SUBCASE("a complete answer is passed on and ended")
  {
    fixture.StartAnswer();
    fixture.AddData(Event(1));
    fixture.AddData(Event(2));
    fixture.EndAnswer(SendOutcome::Answered);
    CHECK(fixture.mDelegate.mAnswerData == Event(1) + Event(2));
    CHECK(fixture.mDelegate.LastAction() == "end");
    CHECK(fixture.mDelegate.mAnswerEvents == 2);
    CHECK(fixture.mDelegate.mDecodeReleases == 1);
  }
  // Guards against a truncated answer that looks complete to the caller.
  SUBCASE("the answer to the caller is aborted when the run is interrupted")
  {
    fixture.StartAnswer();
    fixture.AddData(Event(1));
    fixture.EndAnswer(SendOutcome::Unknown);
    CHECK(fixture.mDelegate.LastAction() == "abort");
    CHECK_FALSE(fixture.mDelegate.HasAction("end"));
  }
  SUBCASE("and when the engine ends it in the middle of an event")
  {
    fixture.StartAnswer();
    fixture.AddData(Event(1) + "id: 2\n");
    fixture.EndAnswer(SendOutcome::Answered);
    CHECK(fixture.mDelegate.LastAction() == "abort");
  }
  SUBCASE("an error answer of the engine is passed on completely")
  {
    fixture.mCall->OnAnswerStarted(
      SendOutcome::Answered, 500, {}, fixture.mNow);
    fixture.AddData("why");
    fixture.EndAnswer(SendOutcome::Answered);
    CHECK(fixture.mDelegate.LastAction() == "deliver 500 why");
  }
  SUBCASE("the outcome is unknown when the run ends before its answer starts")
  {
    fixture.EndAnswer(SendOutcome::Unknown);
    CHECK(fixture.mDelegate.LastAction() == "refuse 502");
    CHECK(fixture.mDelegate.mRefusal.mRetryAfter == Duration::zero());
  }
  SUBCASE("a stream that the engine refused is placed again")
  {
    fixture.mCall->OnAnswerStarted(SendOutcome::NotRun, 503, {}, fixture.mNow);
    REQUIRE(fixture.mDelegate.mDemands.size() == 2);
    CHECK(fixture.mDelegate.mDemands[1].mFailedEndpoints.count("d1") == 1);
    CHECK(fixture.mDelegate.HasAction("drop kv"));
    CHECK(fixture.mDelegate.HasAction("unreserve hold"));
  }
  SUBCASE("a stream without an answer at its deadline is refused")
  {
    fixture.mNow = fixture.mParameters.mCall.mDeadline;
    fixture.mCall->OnWake(fixture.mNow);
    CHECK(fixture.mDelegate.LastAction() == "refuse 504");
  }
  // Guards against engine memory that stays occupied after the caller has
  // disconnected.
  SUBCASE("everything is released when the caller disconnects")
  {
    fixture.mCall->OnCallerDisconnected(fixture.mNow);
    CHECK(fixture.mDelegate.HasAction("cancel"));
    CHECK(fixture.mDelegate.HasAction("drop kv"));
    CHECK(fixture.mDelegate.HasAction("unreserve hold"));
    CHECK(fixture.mDelegate.mDecodeReleases == 1);
  }
}

TEST_CASE("A stream in progress crashed engines after its part was known")
{
  StreamCallFixture fixture(true, 3);
  fixture.Start();
  SUBCASE("a stream in the queue is refused without a retry time")
  {
    fixture.mDelegate.mIsPromptRefused = true;
    fixture.Place("p1", "d1");
    CHECK(fixture.mDelegate.LastAction() == "refuse 503");
    CHECK(fixture.mDelegate.mRefusal.mReason == RefusalReason::CrashSuspect);
    CHECK(fixture.mDelegate.mRefusal.mRetryAfter == Duration::zero());
    CHECK_FALSE(fixture.mDelegate.HasAction("reserve d1"));
  }
  SUBCASE("a stream is not decoded after its prefill")
  {
    fixture.Place("p1", "d1");
    fixture.mCall->OnReserved("hold", fixture.mNow);
    fixture.mDelegate.mIsPromptRefused = true;
    fixture.FinishPrefill();
    CHECK(fixture.mDelegate.LastAction() == "refuse 503");
    CHECK(fixture.mDelegate.mDecodes.empty());
    CHECK(fixture.mDelegate.HasAction("drop kv"));
    CHECK(fixture.mDelegate.HasAction("unreserve hold"));
  }
  SUBCASE("a stream that may have run is not placed again")
  {
    fixture.Place("p1", "d1");
    fixture.mCall->OnReserved("hold", fixture.mNow);
    fixture.FinishPrefill();
    fixture.mDelegate.mIsPromptRefused = true;
    fixture.EndAnswer(SendOutcome::Unknown);
    CHECK(fixture.mDelegate.LastAction() == "refuse 502");
    CHECK(fixture.mDelegate.mDemands.size() == 1);
  }
}

TEST_CASE("A stream that fails before the decode has not run")
{
  StreamCallFixture fixture(false, 1);
  fixture.Start();

  SUBCASE("while it is in the queue")
  {
    SUBCASE("it is refused with a retry time when it expires")
    {
      fixture.mCall->OnPlacementExpired(fixture.mNow);
      CHECK(fixture.mDelegate.LastAction() == "refuse 503");
      CHECK(fixture.mDelegate.mRefusal.mRetryAfter > Duration::zero());
    }
    SUBCASE("it is removed when the caller disconnects")
    {
      fixture.mCall->OnCallerDisconnected(fixture.mNow);
      CHECK(fixture.mDelegate.HasAction("withdraw"));
    }
  }
  SUBCASE("a refused reservation uses no retry budget")
  {
    while (fixture.mRetryBudget.TryConsume("s", 1, fixture.mNow)) {
    }
    fixture.Place("p1", "d1");
    fixture.mCall->OnReserved("", fixture.mNow);
    CHECK(fixture.mDelegate.HasAction("full d1"));
    CHECK(fixture.mDelegate.mDemands.size() == 2);
  }
  // Guards against a crash of the router when the prefill engine is removed
  // between reservation and prefill.
  SUBCASE("a prefill engine that was removed is not used")
  {
    fixture.Place("p1", "d1");
    fixture.mDelegate.mUnusable = { "p1" };
    fixture.mCall->OnReserved("hold", fixture.mNow);
    CHECK_FALSE(fixture.mDelegate.HasAction("prefill p1"));
    CHECK(fixture.mDelegate.mDemands.size() == 2);
  }
  SUBCASE("it is refused at once when no engine will accept it")
  {
    fixture.mCall->OnUnservable(seconds(7), fixture.mNow);
    CHECK(fixture.mDelegate.LastAction() == "refuse 503");
    CHECK(fixture.mDelegate.mRefusal.mReason == RefusalReason::NoEndpoint);
    CHECK(fixture.mDelegate.mRefusal.mRetryAfter == seconds(7));
  }
  // Guards against a prefill for a decode engine that announced in the answer
  // to the reservation that it leaves.
  SUBCASE("a prompt is not prefilled for a decode engine that leaves")
  {
    fixture.Place("p1", "d1");
    fixture.mDelegate.mUnusable = { "d1" };
    fixture.mCall->OnReserved("hold", fixture.mNow);
    CHECK_FALSE(fixture.mDelegate.HasAction("prefill p1"));
    CHECK(fixture.mDelegate.HasAction("unreserve hold"));
    CHECK(fixture.mDelegate.mDemands.size() == 2);
  }
  SUBCASE("a decode engine that was removed is not used")
  {
    fixture.Place("p1", "d1");
    fixture.mCall->OnReserved("hold", fixture.mNow);
    fixture.mDelegate.mUnusable = { "d1" };
    fixture.FinishPrefill();
    CHECK(fixture.mDelegate.mDecodes.empty());
    CHECK(fixture.mDelegate.HasAction("drop kv"));
    CHECK(fixture.mDelegate.mDemands.size() == 2);
  }
  SUBCASE("a failed prefill")
  {
    fixture.Place("p1", "d1");
    fixture.mCall->OnReserved("hold", fixture.mNow);
    SUBCASE("is repeated within the retry budget")
    {
      fixture.mCall->OnPrefilled(
        SendOutcome::Unknown, {}, Duration::zero(), fixture.mNow);
      CHECK(fixture.mDelegate.mDemands.size() == 2);
    }
    SUBCASE("is not repeated when the retry budget is used up")
    {
      while (fixture.mRetryBudget.TryConsume("s", 1, fixture.mNow)) {
      }
      fixture.mCall->OnPrefilled(
        SendOutcome::Unknown, {}, Duration::zero(), fixture.mNow);
      CHECK(fixture.mDelegate.LastAction() == "refuse 503");
    }
  }
  SUBCASE("a reservation without an answer is cancelled at its timeout")
  {
    fixture.Place("p1", "d1");
    fixture.mNow = fixture.mDelegate.mWakeTime;
    fixture.mCall->OnWake(fixture.mNow);
    CHECK(fixture.mDelegate.HasAction("cancel"));
    CHECK(fixture.mDelegate.mDemands.size() == 2);
  }
}

TEST_CASE("A stream that could not start in time is refused with a retry time")
{
  StreamCallFixture fixture(false, 1);
  fixture.mDelegate.mAdmits = false;
  SUBCASE("on the first attempt")
  {
    fixture.Start();
    CHECK(fixture.mDelegate.LastAction() == "refuse 503");
    CHECK(fixture.mDelegate.mRefusal.mReason == RefusalReason::Overload);
    CHECK(fixture.mDelegate.mRefusal.mRetryAfter > seconds(1));
  }
  // Guards against a request that is never served: a caller retries only once.
  SUBCASE("but not when the caller retries")
  {
    fixture.mParameters.mFirstArrival = fixture.mNow - seconds(3);
    fixture.Start();
    REQUIRE(fixture.mDelegate.mDemands.size() == 1);
    CHECK(fixture.mDelegate.mDemands[0].mFirstEventDeadline < fixture.mNow);
  }
}

TEST_CASE("A resumed stream is late from its arrival on")
{
  StreamCallFixture fixture(true);
  fixture.mParameters.mProfile.mTokensPerEvent = 72;
  fixture.mParameters.mLastEventId = "50";
  // Guards against the refusal of a resumed stream: its caller does not retry
  // again.
  fixture.mDelegate.mAdmits = false;
  fixture.Start();
  REQUIRE(fixture.mDelegate.mDemands.size() == 1);
  const StreamDemand& demand = fixture.mDelegate.mDemands[0];
  CHECK(demand.mFirstEventDeadline <= fixture.mNow);
  CHECK(demand.mGeneratedTokens == 3600);
  CHECK(demand.mMaxAnswerTokens == 5400);
  // 4,000 tokens were expected; an answer with 3,600 so far is likely to be a
  // long one.
  CHECK(demand.mAnswerTokens >= 400);
  CHECK(demand.mAnswerTokens <= 2000);
  fixture.Place("p1", "d1");
  CHECK(fixture.mDelegate.mReservedTokens >= 8600);
  CHECK(fixture.mDelegate.mReservedTokens <= 9200);
}

TEST_CASE("Another engine continues a resumable stream")
{
  StreamCallFixture fixture(true);
  fixture.Start();
  fixture.RunToAnswer("p1", "d1");
  fixture.AddData(Event(1) + Event(2) + "id: 3\nda");

  SUBCASE("after the last complete event")
  {
    fixture.EndAnswer(SendOutcome::Unknown);
    REQUIRE(fixture.mDelegate.mDemands.size() == 2);
    CHECK(fixture.mDelegate.mDemands[1].mFailedEndpoints.count("d1") == 1);
    CHECK(fixture.mDelegate.mInterruptedAt == std::vector<std::string>{ "d1" });
    CHECK(fixture.mDelegate.mDemands[1].mWasInterrupted);
    CHECK(fixture.mDelegate.mInterruptedAt == std::vector<std::string>{ "d1" });
    CHECK(fixture.mDelegate.mDemands[1].mWasInterrupted);
    fixture.Place("p2", "d2");
    fixture.mCall->OnReserved("hold2", fixture.mNow);
    fixture.FinishPrefill();
    CHECK(fixture.mDelegate.mDecodes.back().mLastEventId == "2");
    fixture.StartAnswer();
    fixture.AddData(Event(3));
    fixture.EndAnswer(SendOutcome::Answered);
    CHECK(fixture.mDelegate.mAnswerData == Event(1) + Event(2) + Event(3));
    CHECK(fixture.mDelegate.LastAction() == "end");
    // The answer of two runs gives no measurement of the engines.
    CHECK(fixture.mDelegate.mAnswerEvents == 0);
  }
  SUBCASE("and cancels the first run when that sends no data")
  {
    fixture.mNow = fixture.mDelegate.mWakeTime;
    fixture.mCall->OnWake(fixture.mNow);
    CHECK(fixture.mDelegate.HasAction("cancel"));
    CHECK(fixture.mDelegate.mDemands.size() == 2);
  }
  SUBCASE("but on no more engines than the route allows")
  {
    fixture.EndAnswer(SendOutcome::Unknown);
    fixture.RunToAnswer("p2", "d2");
    fixture.EndAnswer(SendOutcome::Unknown);
    CHECK(fixture.mDelegate.LastAction() == "abort");
  }
}

TEST_CASE("The cached prompt of an interrupted run is used again")
{
  StreamCallFixture fixture(true, 3);
  fixture.mParameters.mPromptKey = 42;
  fixture.Start();
  CHECK_FALSE(fixture.mDelegate.mDemands[0].mWasInterrupted);
  CHECK(fixture.mDelegate.mDemands[0].mPromptKey == 42);
  fixture.RunToAnswer("p1", "d1");
  fixture.AddData(Event(1));

  SUBCASE("but not at an engine that stopped responding")
  {
    fixture.mNow += seconds(2);
    fixture.mCall->OnWake(fixture.mNow);
    REQUIRE(fixture.mDelegate.mDemands.size() == 2);
    CHECK_FALSE(fixture.mDelegate.mDemands[1].mWasInterrupted);
  }
  SUBCASE("without another prefill, but only once")
  {
    fixture.EndAnswer(SendOutcome::Unknown);
    REQUIRE(fixture.mDelegate.mDemands.size() == 2);
    CHECK(fixture.mDelegate.mDemands[1].mWasInterrupted);
    StreamPlacement placement;
    placement.mDecode = "d1";
    placement.mCachedTokens = 5000;
    fixture.mCall->OnPlaced(placement, fixture.mNow);
    fixture.mCall->OnReserved("hold2", fixture.mNow);
    CHECK(fixture.mDelegate.LastAction() == "decode d1");
    CHECK_FALSE(fixture.mDelegate.mDecodes.back().mCache);
    CHECK(fixture.mDelegate.mDecodes.back().mLastEventId == "1");
    fixture.mCall->OnAnswerStarted(SendOutcome::NotRun, 503, {}, fixture.mNow);
    REQUIRE(fixture.mDelegate.mDemands.size() == 3);
    CHECK_FALSE(fixture.mDelegate.mDemands[2].mWasInterrupted);
  }
  SUBCASE("and is recorded when the caller disconnects")
  {
    fixture.mCall->OnCallerDisconnected(fixture.mNow);
    CHECK(fixture.mDelegate.mInterruptedAt == std::vector<std::string>{ "d1" });
  }
}

TEST_CASE("A run moves to another engine and continues there")
{
  StreamCallFixture fixture(false, 1);
  fixture.Start();
  fixture.RunToAnswer("p1", "d1");
  const std::optional<KvCache> cache = MakeCache("moved");

  SUBCASE("it does not move before its first event")
  {
    fixture.mCall->StartMove("d2", fixture.mNow);
    CHECK_FALSE(fixture.mCall->IsMoving());
  }
  fixture.AddData(Event(1));
  fixture.mCall->StartMove("d2", fixture.mNow);
  REQUIRE(fixture.mDelegate.LastAction() == "move d1 d2");
  CHECK(fixture.mDelegate.mRunEndpoint == "d2");
  fixture.AddData(Event(2));

  SUBCASE("when the copy is reported before the answer of the source ends")
  {
    fixture.mCall->OnMoveAnswered(cache, true, fixture.mNow);
    CHECK(fixture.mDelegate.mDecodes.size() == 1);
    fixture.EndAnswer(SendOutcome::Unknown);
    CHECK(fixture.mDelegate.mDecodes.size() == 2);
  }
  SUBCASE("when the answer of the source ends before the copy is reported")
  {
    fixture.EndAnswer(SendOutcome::Unknown);
    CHECK(fixture.mDelegate.mDecodes.size() == 1);
    fixture.mCall->OnMoveAnswered(cache, true, fixture.mNow);
    REQUIRE(fixture.mDelegate.mDecodes.size() == 2);
    CHECK(fixture.mDelegate.mDecodes[1].mEndpoint == "d2");
    CHECK(fixture.mDelegate.mDecodes[1].mCache->mHandle == "moved");
    CHECK(fixture.mDelegate.mDecodes[1].mLastEventId == "2");
    SUBCASE("and the target completes the answer")
    {
      fixture.StartAnswer();
      fixture.AddData(Event(3));
      fixture.EndAnswer(SendOutcome::Answered);
      CHECK(fixture.mDelegate.mAnswerData == Event(1) + Event(2) + Event(3));
      CHECK(fixture.mDelegate.LastAction() == "end");
    }
    SUBCASE("and it returns to the source if the target refuses it")
    {
      fixture.mCall->OnAnswerStarted(
        SendOutcome::NotRun, 503, {}, fixture.mNow);
      REQUIRE(fixture.mDelegate.mDecodes.size() == 3);
      CHECK(fixture.mDelegate.mDecodes[2].mEndpoint == "d1");
      CHECK(fixture.mDelegate.mRunEndpoint == "d1");
    }
  }
  // Guards against a decode at an engine that asked for no requests.
  SUBCASE("it is placed anew when neither target nor source accepts it")
  {
    fixture.EndAnswer(SendOutcome::Unknown);
    fixture.mDelegate.mUnusable = { "d2" };
    fixture.mDelegate.mUnreachable = { "d1" };
    fixture.mCall->OnMoveAnswered(cache, true, fixture.mNow);
    CHECK(fixture.mDelegate.mDecodes.size() == 1);
    CHECK(fixture.mDelegate.HasAction("drop moved"));
    CHECK(fixture.mDelegate.mDemands.size() == 2);
  }
  // Guards against a decode at an engine that was removed during the move,
  // which ended the process.
  SUBCASE("it is placed anew when the target refuses it and the source is gone")
  {
    fixture.EndAnswer(SendOutcome::Unknown);
    fixture.mCall->OnMoveAnswered(cache, true, fixture.mNow);
    REQUIRE(fixture.mDelegate.mDecodes.size() == 2);
    fixture.mDelegate.mUnreachable = { "d1" };
    fixture.mCall->OnAnswerStarted(SendOutcome::NotRun, 503, {}, fixture.mNow);
    CHECK(fixture.mDelegate.mDecodes.size() == 2);
    CHECK(fixture.mDelegate.mDemands.size() == 2);
  }
  // Guards against engine memory that stays occupied when the daemon stops
  // during a move.
  SUBCASE("the copy is dropped when the daemon stops during the move")
  {
    fixture.mCall->OnMoveAnswered(cache, true, fixture.mNow);
    fixture.mCall->OnStopEnd();
    CHECK(fixture.mDelegate.HasAction("drop moved"));
    CHECK(fixture.mDelegate.LastAction() == "abort");
    CHECK(fixture.mDelegate.mInterruptedAt.size() == 1);
  }
  // Guards against a decode at an engine that announced during the move that
  // it leaves.
  SUBCASE("it resumes at its source when the target leaves")
  {
    fixture.EndAnswer(SendOutcome::Unknown);
    fixture.mDelegate.mUnusable = { "d2" };
    fixture.mCall->OnMoveAnswered(cache, true, fixture.mNow);
    REQUIRE(fixture.mDelegate.mDecodes.size() == 2);
    CHECK(fixture.mDelegate.mDecodes[1].mEndpoint == "d1");
    CHECK(fixture.mDelegate.mRunEndpoint == "d1");
  }
  SUBCASE("it resumes at its source when the target has no free memory")
  {
    fixture.EndAnswer(SendOutcome::Unknown);
    fixture.mCall->OnMoveAnswered(cache, false, fixture.mNow);
    REQUIRE(fixture.mDelegate.mDecodes.size() == 2);
    CHECK(fixture.mDelegate.mDecodes[1].mEndpoint == "d1");
  }
  SUBCASE("it continues at its source when that refuses the move")
  {
    fixture.mCall->OnMoveAnswered(std::nullopt, false, fixture.mNow);
    CHECK(fixture.mDelegate.mRunEndpoint == "d1");
    fixture.AddData(Event(3));
    fixture.EndAnswer(SendOutcome::Answered);
    CHECK(fixture.mDelegate.LastAction() == "end");
  }
  SUBCASE("an answer that is completed during the move ends normally")
  {
    fixture.EndAnswer(SendOutcome::Answered);
    CHECK(fixture.mDelegate.LastAction() == "end");
    fixture.mCall->OnMoveAnswered(std::nullopt, false, fixture.mNow);
    CHECK(fixture.mDelegate.LastAction() == "end");
  }
  SUBCASE("the answer is aborted when the run is lost during the move")
  {
    fixture.EndAnswer(SendOutcome::Unknown);
    fixture.mCall->OnMoveAnswered(std::nullopt, false, fixture.mNow);
    CHECK(fixture.mDelegate.LastAction() == "abort");
  }
}

} // namespace bulrushfold
