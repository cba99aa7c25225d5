#include "Router/StreamCall.h"

#include <doctest/doctest.h>

#include "StreamCallFixture.h"

namespace bulrushfold {

namespace {

using std::chrono::milliseconds;

/** Sends the replacement of a silent run to the engine d2. */
void
SendReplacement(StreamCallFixture& aFixture)
{
  aFixture.Place("p2", "d2");
  aFixture.mCall->OnReserved("hold2", aFixture.mNow);
  aFixture.FinishPrefill();
}

} // namespace

// Guards against an answer that is aborted because the engine of the
// replacement refuses the decode: the silent run may go on.
TEST_CASE("A silent run is kept until the engine of its replacement accepts")
{
  StreamCallFixture fixture(true, 3);
  fixture.RunToSecondEvent();
  fixture.Wake();
  SendReplacement(fixture);
  fixture.UseRetryBudget();
  fixture.mCall->OnAnswerStarted(SendOutcome::NotRun, 503, {}, fixture.mNow);
  CHECK_FALSE(fixture.mDelegate.HasAction("cancel aside"));
  CHECK_FALSE(fixture.mDelegate.HasAction("abort"));
  CHECK(fixture.mDelegate.HasAction("read aside"));
  fixture.AddData(Event(3));
  fixture.EndAnswer(SendOutcome::Answered);
  CHECK(fixture.mDelegate.mAnswerData == kAllEvents);
  CHECK(fixture.mDelegate.LastAction() == "end");
}

// Guards against an event that is joined from two runs, or lost, because the
// start of it was discarded when the replacement was refused.
TEST_CASE("A silent run goes on inside an event after a refused replacement")
{
  StreamCallFixture fixture(true, 3);
  fixture.RunToSecondEvent();
  fixture.AddData("id: 3\nda");
  fixture.Wake();
  SendReplacement(fixture);
  fixture.mCall->OnAnswerStarted(SendOutcome::NotRun, 503, {}, fixture.mNow);
  REQUIRE(fixture.mDelegate.mDemands.size() == 3);
  fixture.AddData("ta: x\n\n");
  fixture.EndAnswer(SendOutcome::Answered);
  CHECK(fixture.mDelegate.mAnswerData == kAllEvents);
  CHECK(fixture.mDelegate.LastAction() == "end");
}

// Guards against a run that goes on while its replacement may have started at
// an engine whose connection was lost.
TEST_CASE("A silent run is cancelled when its replacement may have started")
{
  StreamCallFixture fixture(true, 3);
  fixture.RunToSecondEvent();
  fixture.Wake();
  SendReplacement(fixture);
  fixture.mCall->OnAnswerEnded(SendOutcome::Unknown, fixture.mNow);
  CHECK(fixture.mDelegate.HasAction("cancel aside"));
  REQUIRE(fixture.mDelegate.mDemands.size() == 3);
  fixture.RunToAnswer("p3", "d3");
  fixture.AddData(Event(3));
  fixture.EndAnswer(SendOutcome::Answered);
  CHECK(fixture.mDelegate.mAnswerData == kAllEvents);
}

// Guards against a move whose answer is lost because it arrives while the
// replacement of the run waits for its engine.
TEST_CASE("A silent run whose move is answered goes on at the target")
{
  StreamCallFixture fixture(true, 3);
  fixture.RunToSecondEvent();
  fixture.mCall->StartMove("d3", fixture.mNow);
  fixture.EndAnswer(SendOutcome::Unknown);
  fixture.mNow += milliseconds(1200);
  fixture.mCall->OnWake(fixture.mNow);
  REQUIRE(fixture.mDelegate.LastAction() == "set aside");
  SendReplacement(fixture);
  fixture.mCall->OnMoveAnswered({ MoveOutcome::Copied, MakeCache("moved") },
                                fixture.mNow);
  CHECK(fixture.mDelegate.LastAction() == "decode d2");
  SUBCASE("when the replacement is refused")
  {
    fixture.mCall->OnAnswerStarted(SendOutcome::NotRun, 503, {}, fixture.mNow);
    CHECK(fixture.mDelegate.LastAction() == "decode d3");
    CHECK(fixture.mDelegate.mDecodes.back().mCache->mHandle == "moved");
  }
  SUBCASE("unless the replacement is accepted")
  {
    fixture.StartAnswer();
    CHECK(fixture.mDelegate.HasAction("drop moved"));
  }
}

} // namespace bulrushfold
