#include "Router/StreamCall.h"

#include <doctest/doctest.h>

#include "StreamCallFixture.h"

namespace bulrushfold {

namespace {
using std::chrono::seconds;
} // namespace

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
    fixture.Wake();
    CHECK(fixture.mDelegate.mDemands.size() == 2);
    fixture.Place("p2", "d2");
    fixture.mCall->OnReserved("hold2", fixture.mNow);
    CHECK_FALSE(fixture.mDelegate.HasAction("cancel aside"));
    fixture.FinishPrefill();
    CHECK(fixture.mDelegate.mDecodes.back().mLastEventId == "2");
    CHECK_FALSE(fixture.mDelegate.HasAction("cancel aside"));
    fixture.StartAnswer();
    CHECK(fixture.mDelegate.HasAction("cancel aside"));
  }
  // Guards against the text of an error in the middle of a stream.
  SUBCASE("and the error answer of that engine is not passed on")
  {
    fixture.EndAnswer(SendOutcome::Unknown);
    fixture.Place("p2", "d2");
    fixture.mCall->OnReserved("hold2", fixture.mNow);
    fixture.FinishPrefill();
    fixture.mCall->OnAnswerStarted(
      SendOutcome::Answered, 500, HttpHeaders(), fixture.mNow);
    fixture.AddData("error text");
    fixture.EndAnswer(SendOutcome::Answered);
    CHECK(fixture.mDelegate.mAnswerData == Event(1) + Event(2));
    CHECK(fixture.mDelegate.LastAction() == "abort");
  }
  // Guards against a second run of a stream whose caller reads slowly.
  SUBCASE("but not while the first run waits for a slow caller")
  {
    fixture.mDelegate.mIsReadPaused = true;
    fixture.mNow = fixture.mDelegate.mWakeTime;
    fixture.mCall->OnWake(fixture.mNow);
    CHECK_FALSE(fixture.mDelegate.HasAction("cancel"));
    CHECK(fixture.mDelegate.mWakeTime > fixture.mNow);
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

} // namespace bulrushfold
