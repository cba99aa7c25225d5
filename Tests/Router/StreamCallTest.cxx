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

/** Notes what a call orders. */
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

  /** The last order; "" when there was none. */
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
  cache.mAddress = { "10.0.0.1", 80 };
  cache.mHandle = aHandle;
  return cache;
}

/** A stream of 5,000 prompt tokens. */
struct Story
{
  explicit Story(bool aIsResumable, std::uint32_t aAttempts = 2)
  {
    mRoute.mKind = RequestKind::Stream;
    mRoute.mIsResumable = aIsResumable;
    mRoute.mMaxAttempts = aAttempts;
    mRoute.mLatencyTarget = milliseconds(900);
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
    mCall.emplace(mPort, mRetryBudget, mTerms);
    mCall->Start(mNow);
  }
  void Place(const std::string& aPrefill, const std::string& aDecode)
  {
    StreamPlacement placement;
    placement.mPrefill = aPrefill;
    placement.mDecode = aDecode;
    mCall->OnPlaced(placement, mNow);
  }
  /** Up to the first event. */
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
  SharedRetryBudget mRetryBudget{ { 0.2, 20, seconds(10) },
                                  Instant(seconds(0)) };
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

  SUBCASE("to its end")
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
  // Guards against an answer that ends early and looks complete.
  SUBCASE("an answer that breaks off breaks off towards the caller too")
  {
    story.Begin();
    story.Data(Event(1));
    story.End(SendEnd::Unknown);
    CHECK(story.mPort.Last() == "break");
    CHECK_FALSE(story.mPort.Did("end"));
  }
  SUBCASE("also when it ends in the middle of an event")
  {
    story.Begin();
    story.Data(Event(1) + "id: 2\n");
    story.End(SendEnd::Answered);
    CHECK(story.mPort.Last() == "break");
  }
  SUBCASE("a failure of the engine is passed on whole")
  {
    story.mCall->OnAnswerStarted(SendEnd::Answered, 500, {}, story.mNow);
    story.Data("why");
    story.End(SendEnd::Answered);
    CHECK(story.mPort.Last() == "deliver 500 why");
  }
  SUBCASE("a run whose answer never began may have run")
  {
    story.End(SendEnd::Unknown);
    CHECK(story.mPort.Last() == "refuse 502");
    CHECK(story.mPort.mRefusal.mRetryAfter == Duration::zero());
  }
  SUBCASE("one that the engine refused goes to another")
  {
    story.mCall->OnAnswerStarted(SendEnd::NotRun, 503, {}, story.mNow);
    REQUIRE(story.mPort.mDemands.size() == 2);
    CHECK(story.mPort.mDemands[1].mFailedEndpoints.count("d1") == 1);
    CHECK(story.mPort.Did("drop kv"));
    CHECK(story.mPort.Did("unreserve hold"));
  }
  SUBCASE("at the deadline it ends with a timeout")
  {
    story.mNow = story.mTerms.mCall.mDeadline;
    story.mCall->OnWake(story.mNow);
    CHECK(story.mPort.Last() == "refuse 504");
  }
  // Guards against engine memory held for a caller that is gone.
  SUBCASE("a caller that leaves frees everything")
  {
    story.mCall->OnCallerDisconnected(story.mNow);
    CHECK(story.mPort.Did("cancel"));
    CHECK(story.mPort.Did("drop kv"));
    CHECK(story.mPort.Did("unreserve hold"));
    CHECK(story.mPort.mReleases == 1);
  }
}

TEST_CASE("Before the decode a stream has not run")
{
  Story story(false, 1);
  story.Start();

  SUBCASE("in the queue")
  {
    SUBCASE("it is given up with a truthful refusal")
    {
      story.mCall->OnNoPlacement(story.mNow);
      CHECK(story.mPort.Last() == "refuse 503");
      CHECK(story.mPort.mRefusal.mRetryAfter > Duration::zero());
    }
    SUBCASE("a caller that leaves takes it out")
    {
      story.mCall->OnCallerDisconnected(story.mNow);
      CHECK(story.mPort.Did("withdraw"));
    }
  }
  SUBCASE("an engine without room sends it back to the queue for nothing")
  {
    while (story.mRetryBudget.TryConsume("s", 1, story.mNow)) {
    }
    story.Place("p1", "d1");
    story.mCall->OnReserved("", story.mNow);
    CHECK(story.mPort.Did("full d1"));
    CHECK(story.mPort.mDemands.size() == 2);
  }
  // A prefill engine that left between reservation and prefill ended the
  // process.
  SUBCASE("a prefill engine that left is not used")
  {
    story.Place("p1", "d1");
    story.mPort.mUnusable = { "p1" };
    story.mCall->OnReserved("hold", story.mNow);
    CHECK_FALSE(story.mPort.Did("prefill p1"));
    CHECK(story.mPort.mDemands.size() == 2);
  }
  SUBCASE("a decode engine that left is not used")
  {
    story.Place("p1", "d1");
    story.mCall->OnReserved("hold", story.mNow);
    story.mPort.mUnusable = { "d1" };
    story.Prefilled();
    CHECK(story.mPort.mDecodes.empty());
    CHECK(story.mPort.Did("drop kv"));
    CHECK(story.mPort.mDemands.size() == 2);
  }
  SUBCASE("a failed prefill is repeated, within the allowance")
  {
    story.Place("p1", "d1");
    story.mCall->OnReserved("hold", story.mNow);
    SUBCASE("")
    {
      story.mCall->OnPrefilled(
        SendEnd::Unknown, {}, Duration::zero(), story.mNow);
      CHECK(story.mPort.mDemands.size() == 2);
    }
    SUBCASE("")
    {
      while (story.mRetryBudget.TryConsume("s", 1, story.mNow)) {
      }
      story.mCall->OnPrefilled(
        SendEnd::Unknown, {}, Duration::zero(), story.mNow);
      CHECK(story.mPort.Last() == "refuse 503");
    }
  }
  SUBCASE("an engine that does not answer a reservation is passed over")
  {
    story.Place("p1", "d1");
    story.mNow = story.mPort.mWake;
    story.mCall->OnWake(story.mNow);
    CHECK(story.mPort.Did("cancel"));
    CHECK(story.mPort.mDemands.size() == 2);
  }
}

TEST_CASE("A stream that could not begin in time is told when to come back")
{
  Story story(false, 1);
  story.mPort.mAdmits = false;
  SUBCASE("at once")
  {
    story.Start();
    CHECK(story.mPort.Last() == "refuse 503");
    CHECK(story.mPort.mRefusal.mReason == RefusalReason::Overload);
    CHECK(story.mPort.mRefusal.mRetryAfter > seconds(1));
  }
  // Its caller does not come a third time.
  SUBCASE("but not again when it comes back")
  {
    story.mTerms.mFirstArrival = story.mNow - seconds(3);
    story.Start();
    REQUIRE(story.mPort.mDemands.size() == 1);
    CHECK(story.mPort.mDemands[0].mFirstEventDeadline < story.mNow);
  }
}

TEST_CASE("A caller that resumes its stream is late already")
{
  Story story(true);
  story.mTerms.mProfile.mTokensPerEvent = 72;
  story.mTerms.mLastEventId = "50";
  // Guards against a refusal of a caller that does not come a third time.
  story.mPort.mAdmits = false;
  story.Start();
  REQUIRE(story.mPort.mDemands.size() == 1);
  const StreamDemand& demand = story.mPort.mDemands[0];
  CHECK(demand.mFirstEventDeadline <= story.mNow);
  CHECK(demand.mGeneratedTokens == 3600);
  CHECK(demand.mMaxAnswerTokens == 5400);
  // 4,000 were expected; an answer of 3,600 is likely to be a long one.
  CHECK(demand.mAnswerTokens >= 400);
  CHECK(demand.mAnswerTokens <= 2000);
  story.Place("p1", "d1");
  CHECK(story.mPort.mReserved >= 8600);
  CHECK(story.mPort.mReserved <= 9200);
}

TEST_CASE("A stream that may be resumed goes on at another engine")
{
  Story story(true);
  story.Start();
  story.Run("p1", "d1");
  story.Data(Event(1) + Event(2) + "id: 3\nda");

  SUBCASE("after the last whole event")
  {
    story.End(SendEnd::Unknown);
    REQUIRE(story.mPort.mDemands.size() == 2);
    CHECK(story.mPort.mDemands[1].mFailedEndpoints.count("d1") == 1);
    CHECK(story.mPort.mBroken == std::vector<std::string>{ "d1" });
    CHECK(story.mPort.mDemands[1].mWasInterrupted);
    CHECK(story.mPort.mBroken == std::vector<std::string>{ "d1" });
    CHECK(story.mPort.mDemands[1].mWasInterrupted);
    story.Place("p2", "d2");
    story.mCall->OnReserved("hold2", story.mNow);
    story.Prefilled();
    CHECK(story.mPort.mDecodes.back().mLastEventId == "2");
    story.Begin();
    story.Data(Event(3));
    story.End(SendEnd::Answered);
    CHECK(story.mPort.mSent == Event(1) + Event(2) + Event(3));
    CHECK(story.mPort.Last() == "end");
    // A length from two runs says nothing of the engines.
    CHECK(story.mPort.mAnswerEvents == 0);
  }
  SUBCASE("also when it only went silent, and then the old run is stopped")
  {
    story.mNow = story.mPort.mWake;
    story.mCall->OnWake(story.mNow);
    CHECK(story.mPort.Did("cancel"));
    CHECK(story.mPort.mDemands.size() == 2);
  }
  SUBCASE("but on no more engines than its route allows")
  {
    story.End(SendEnd::Unknown);
    story.Run("p2", "d2");
    story.End(SendEnd::Unknown);
    CHECK(story.mPort.Last() == "break");
  }
}

TEST_CASE("The prompt of a run that broke off may be used again")
{
  Story story(true, 3);
  story.mTerms.mPromptKey = 42;
  story.Start();
  CHECK_FALSE(story.mPort.mDemands[0].mWasInterrupted);
  CHECK(story.mPort.mDemands[0].mPromptKey == 42);
  story.Run("p1", "d1");
  story.Data(Event(1));

  SUBCASE("but not of an engine that went silent")
  {
    story.mNow += seconds(2);
    story.mCall->OnWake(story.mNow);
    REQUIRE(story.mPort.mDemands.size() == 2);
    CHECK_FALSE(story.mPort.mDemands[1].mWasInterrupted);
  }
  SUBCASE("without another prefill, and once only")
  {
    story.End(SendEnd::Unknown);
    REQUIRE(story.mPort.mDemands.size() == 2);
    CHECK(story.mPort.mDemands[1].mWasInterrupted);
    StreamPlacement placement;
    placement.mDecode = "d1";
    placement.mCachedTokens = 5000;
    story.mCall->OnPlaced(placement, story.mNow);
    story.mCall->OnReserved("hold2", story.mNow);
    CHECK(story.mPort.Last() == "decode d1");
    CHECK_FALSE(story.mPort.mDecodes.back().mCache);
    CHECK(story.mPort.mDecodes.back().mLastEventId == "1");
    story.mCall->OnAnswerStarted(SendEnd::NotRun, 503, {}, story.mNow);
    REQUIRE(story.mPort.mDemands.size() == 3);
    CHECK_FALSE(story.mPort.mDemands[2].mWasInterrupted);
  }
  SUBCASE("by the caller that left and comes back to another daemon")
  {
    story.mCall->OnCallerDisconnected(story.mNow);
    CHECK(story.mPort.mBroken == std::vector<std::string>{ "d1" });
  }
}

TEST_CASE("A run moves to another engine and goes on there")
{
  Story story(false, 1);
  story.Start();
  story.Run("p1", "d1");
  const std::optional<KvCache> cache = MakeCache("moved");

  SUBCASE("not before its first event")
  {
    story.mCall->StartMove("d2", story.mNow);
    CHECK_FALSE(story.mCall->IsMoving());
  }
  story.Data(Event(1));
  story.mCall->StartMove("d2", story.mNow);
  REQUIRE(story.mPort.Last() == "move d1 d2");
  CHECK(story.mPort.mAt == "d2");
  story.Data(Event(2));

  SUBCASE("whichever of end and copy comes first")
  {
    story.mCall->OnMoveAnswered(cache, true, story.mNow);
    CHECK(story.mPort.mDecodes.size() == 1);
    story.End(SendEnd::Unknown);
    CHECK(story.mPort.mDecodes.size() == 2);
  }
  SUBCASE("when the old stream has ended and the copy is there")
  {
    story.End(SendEnd::Unknown);
    CHECK(story.mPort.mDecodes.size() == 1);
    story.mCall->OnMoveAnswered(cache, true, story.mNow);
    REQUIRE(story.mPort.mDecodes.size() == 2);
    CHECK(story.mPort.mDecodes[1].mEndpoint == "d2");
    CHECK(story.mPort.mDecodes[1].mCache->mHandle == "moved");
    CHECK(story.mPort.mDecodes[1].mLastEventId == "2");
    SUBCASE("and ends there")
    {
      story.Begin();
      story.Data(Event(3));
      story.End(SendEnd::Answered);
      CHECK(story.mPort.mSent == Event(1) + Event(2) + Event(3));
      CHECK(story.mPort.Last() == "end");
    }
    SUBCASE("or returns to the source if the target refuses it")
    {
      story.mCall->OnAnswerStarted(SendEnd::NotRun, 503, {}, story.mNow);
      REQUIRE(story.mPort.mDecodes.size() == 3);
      CHECK(story.mPort.mDecodes[2].mEndpoint == "d1");
      CHECK(story.mPort.mAt == "d1");
    }
  }
  SUBCASE("a target without room leaves the run to be taken up at its source")
  {
    story.End(SendEnd::Unknown);
    story.mCall->OnMoveAnswered(cache, false, story.mNow);
    REQUIRE(story.mPort.mDecodes.size() == 2);
    CHECK(story.mPort.mDecodes[1].mEndpoint == "d1");
  }
  SUBCASE("a move that the source refuses changes nothing")
  {
    story.mCall->OnMoveAnswered(std::nullopt, false, story.mNow);
    CHECK(story.mPort.mAt == "d1");
    story.Data(Event(3));
    story.End(SendEnd::Answered);
    CHECK(story.mPort.Last() == "end");
  }
  SUBCASE("a run that ended meanwhile has ended")
  {
    story.End(SendEnd::Answered);
    CHECK(story.mPort.Last() == "end");
    story.mCall->OnMoveAnswered(std::nullopt, false, story.mNow);
    CHECK(story.mPort.Last() == "end");
  }
  SUBCASE("a run that is lost on the way breaks the answer")
  {
    story.End(SendEnd::Unknown);
    story.mCall->OnMoveAnswered(std::nullopt, false, story.mNow);
    CHECK(story.mPort.Last() == "break");
  }
}

} // namespace bulrushfold
