#include "Router/StreamCall.h"

#include <doctest/doctest.h>

#include "StreamCallFixture.h"

namespace bulrushfold {

namespace {
using std::chrono::seconds;
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
  // Guards against the loss of an answer that an engine has completed.
  SUBCASE("the error answer of an engine is passed on")
  {
    fixture.Place("p1", "d1");
    fixture.mCall->OnReserved("hold", fixture.mNow);
    fixture.FinishPrefill();
    fixture.mCall->OnAnswerStarted(
      SendOutcome::Answered, 500, HttpHeaders(), fixture.mNow);
    fixture.AddData("error text");
    fixture.mDelegate.mIsPromptRefused = true;
    fixture.EndAnswer(SendOutcome::Answered);
    CHECK(fixture.mDelegate.LastAction() == "deliver 500 error text");
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

} // namespace bulrushfold
