#include "Router/StreamCall.h"

#include <doctest/doctest.h>

#include "StreamCallFixture.h"

namespace bulrushfold {

namespace {

/** Advances a stream to a move from d1 to d2 whose source has stopped the run.
 */
void
RunToStoppedMove(StreamCallFixture& aFixture)
{
  aFixture.Start();
  aFixture.RunToAnswer("p1", "d1");
  aFixture.AddData(Event(1));
  aFixture.mCall->StartMove("d2", aFixture.mNow);
  aFixture.EndAnswer(SendOutcome::Unknown);
}

/** Ends the move of RunToStoppedMove so that no engine continues the run. */
void
LoseMovedRun(StreamCallFixture& aFixture)
{
  const std::optional<KvCache> cache = MakeCache("moved");
  // Guards against a decode at an engine that asked for no requests.
  SUBCASE("because neither target nor source accepts requests")
  {
    aFixture.mDelegate.mUnusable = { "d2" };
    aFixture.mDelegate.mUnreachable = { "d1" };
    aFixture.mCall->OnMoveAnswered({ MoveOutcome::Copied, cache },
                                   aFixture.mNow);
    CHECK(aFixture.mDelegate.mDecodes.size() == 1);
    CHECK(aFixture.mDelegate.HasAction("drop moved"));
  }
  // Guards against a decode at an engine that was removed during the move,
  // which ended the process.
  SUBCASE("because the target refuses it and the source is gone")
  {
    aFixture.mCall->OnMoveAnswered({ MoveOutcome::Copied, cache },
                                   aFixture.mNow);
    REQUIRE(aFixture.mDelegate.mDecodes.size() == 2);
    aFixture.mDelegate.mUnreachable = { "d1" };
    aFixture.mCall->OnAnswerStarted(
      SendOutcome::NotRun, 503, {}, aFixture.mNow);
    CHECK(aFixture.mDelegate.mDecodes.size() == 2);
  }
  SUBCASE("because target and source refuse it")
  {
    aFixture.mCall->OnMoveAnswered({ MoveOutcome::Copied, cache },
                                   aFixture.mNow);
    aFixture.mCall->OnAnswerStarted(
      SendOutcome::NotRun, 503, {}, aFixture.mNow);
    REQUIRE(aFixture.mDelegate.mDecodes.size() == 3);
    aFixture.mCall->OnAnswerStarted(
      SendOutcome::NotRun, 503, {}, aFixture.mNow);
    CHECK(aFixture.mDelegate.mDecodes.size() == 3);
  }
  SUBCASE("because the source cannot be reached")
  {
    aFixture.mCall->OnMoveAnswered({ MoveOutcome::Stopped, cache },
                                   aFixture.mNow);
    aFixture.EndAnswer(SendOutcome::NotSent);
  }
  SUBCASE("because the answer to the move is lost")
  {
    aFixture.mCall->OnMoveAnswered({ MoveOutcome::Unknown, {} }, aFixture.mNow);
  }
}

} // namespace

// Guards against a request that runs twice: a run that was stopped for a move
// has run, even if every engine refuses to continue it.
TEST_CASE("A moved run that no engine continues counts as a run")
{
  SUBCASE("and is not repeated on a route that allows one run")
  {
    StreamCallFixture fixture(false, 1);
    RunToStoppedMove(fixture);
    LoseMovedRun(fixture);
    CHECK(fixture.mDelegate.mDemands.size() == 1);
    CHECK(fixture.mDelegate.LastAction() == "abort");
  }
  SUBCASE("and is repeated once on a route that allows two")
  {
    StreamCallFixture fixture(true, 2);
    RunToStoppedMove(fixture);
    LoseMovedRun(fixture);
    REQUIRE(fixture.mDelegate.mDemands.size() == 2);
    fixture.mDelegate.mUnusable.clear();
    fixture.RunToAnswer("p1", "d3");
    CHECK(fixture.mDelegate.mDecodes.back().mLastEventId == "1");
    fixture.EndAnswer(SendOutcome::Unknown);
    CHECK(fixture.mDelegate.mDemands.size() == 2);
    CHECK(fixture.mDelegate.LastAction() == "abort");
  }
}

// Guards against a request that is sent to an engine that leaves: the source of
// an earlier move.
TEST_CASE("A new run does not return to the source of a move that failed")
{
  StreamCallFixture fixture(true, 3);
  RunToStoppedMove(fixture);
  fixture.mCall->OnMoveAnswered({ MoveOutcome::Copied, MakeCache("moved") },
                                fixture.mNow);
  fixture.mDelegate.mUnreachable = { "d1" };
  fixture.mCall->OnAnswerStarted(SendOutcome::NotRun, 503, {}, fixture.mNow);
  REQUIRE(fixture.mDelegate.mDemands.size() == 2);
  fixture.mDelegate.mUnreachable.clear();
  fixture.Place("p1", "d3");
  fixture.mCall->OnReserved("hold", fixture.mNow);
  fixture.FinishPrefill();
  fixture.mCall->OnAnswerStarted(SendOutcome::NotRun, 503, {}, fixture.mNow);
  CHECK(fixture.mDelegate.mDecodes.back().mEndpoint == "d3");
  CHECK(fixture.mDelegate.mDemands.size() == 3);
}

// Guards against an answer that looks complete to the caller although a move
// has stopped its run: an answer without a length ends with its connection, and
// a stopped run closes that in order.
TEST_CASE("The end of an unframed answer is not believed during a move")
{
  StreamCallFixture fixture(false, 1);
  fixture.Start();
  fixture.RunToAnswer("p1", "d1", kUnframedEvents);
  fixture.AddData(Event(1));
  fixture.mCall->StartMove("d2", fixture.mNow);

  SUBCASE("it waits for the answer to the move")
  {
    fixture.EndAnswer(SendOutcome::Answered);
    CHECK_FALSE(fixture.mDelegate.HasAction("end"));
    CHECK_FALSE(fixture.mDelegate.HasAction("abort"));
    SUBCASE("and the run continues at the target")
    {
      fixture.mCall->OnMoveAnswered({ MoveOutcome::Copied, MakeCache("moved") },
                                    fixture.mNow);
      CHECK(fixture.mDelegate.LastAction() == "decode d2");
      CHECK(fixture.mDelegate.mDecodes.back().mLastEventId == "1");
    }
    SUBCASE("and is complete if the source did not stop the run")
    {
      fixture.mCall->OnMoveAnswered({ MoveOutcome::NotStopped, {} },
                                    fixture.mNow);
      CHECK(fixture.mDelegate.LastAction() == "end");
    }
    SUBCASE("and is incomplete if that is unknown")
    {
      fixture.mCall->OnMoveAnswered({ MoveOutcome::Unknown, {} }, fixture.mNow);
      CHECK(fixture.mDelegate.LastAction() == "abort");
    }
    SUBCASE("but not longer than until the deadline")
    {
      fixture.Wake();
      CHECK(fixture.mNow == fixture.mParameters.mCall.mDeadline);
      CHECK(fixture.mDelegate.LastAction() == "abort");
    }
  }
  SUBCASE("nor after a move whose answer was lost")
  {
    fixture.mCall->OnMoveAnswered({ MoveOutcome::Unknown, {} }, fixture.mNow);
    fixture.AddData(Event(2));
    SUBCASE("even if the source refuses a later one")
    {
      fixture.mCall->StartMove("d2", fixture.mNow);
      fixture.mCall->OnMoveAnswered({ MoveOutcome::NotStopped, {} },
                                    fixture.mNow);
    }
    fixture.EndAnswer(SendOutcome::Answered);
    CHECK_FALSE(fixture.mDelegate.HasAction("end"));
    CHECK(fixture.mDelegate.LastAction() == "abort");
  }
  SUBCASE("but after a move that the source refused")
  {
    fixture.mCall->OnMoveAnswered({ MoveOutcome::NotStopped, {} },
                                  fixture.mNow);
    fixture.AddData(Event(2));
    fixture.EndAnswer(SendOutcome::Answered);
    CHECK(fixture.mDelegate.LastAction() == "end");
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
    fixture.mCall->OnMoveAnswered({ MoveOutcome::Copied, cache }, fixture.mNow);
    CHECK(fixture.mDelegate.mDecodes.size() == 1);
    fixture.EndAnswer(SendOutcome::Unknown);
    CHECK(fixture.mDelegate.mDecodes.size() == 2);
  }
  SUBCASE("when the answer of the source ends before the copy is reported")
  {
    fixture.EndAnswer(SendOutcome::Unknown);
    CHECK(fixture.mDelegate.mDecodes.size() == 1);
    fixture.mCall->OnMoveAnswered({ MoveOutcome::Copied, cache }, fixture.mNow);
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
  // Guards against engine memory that stays occupied when the daemon stops
  // during a move.
  SUBCASE("the copy is dropped when the daemon stops during the move")
  {
    fixture.mCall->OnMoveAnswered({ MoveOutcome::Copied, cache }, fixture.mNow);
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
    fixture.mCall->OnMoveAnswered({ MoveOutcome::Copied, cache }, fixture.mNow);
    REQUIRE(fixture.mDelegate.mDecodes.size() == 2);
    CHECK(fixture.mDelegate.mDecodes[1].mEndpoint == "d1");
    CHECK(fixture.mDelegate.mRunEndpoint == "d1");
  }
  SUBCASE("it resumes at its source when the target has no free memory")
  {
    fixture.EndAnswer(SendOutcome::Unknown);
    fixture.mCall->OnMoveAnswered({ MoveOutcome::Stopped, cache },
                                  fixture.mNow);
    REQUIRE(fixture.mDelegate.mDecodes.size() == 2);
    CHECK(fixture.mDelegate.mDecodes[1].mEndpoint == "d1");
  }
  SUBCASE("it continues at its source when that refuses the move")
  {
    fixture.mCall->OnMoveAnswered({ MoveOutcome::NotStopped, {} },
                                  fixture.mNow);
    CHECK(fixture.mDelegate.mRunEndpoint == "d1");
    fixture.AddData(Event(3));
    fixture.EndAnswer(SendOutcome::Answered);
    CHECK(fixture.mDelegate.LastAction() == "end");
  }
  SUBCASE("an answer that is completed during the move ends normally")
  {
    fixture.EndAnswer(SendOutcome::Answered);
    CHECK(fixture.mDelegate.LastAction() == "end");
    fixture.mCall->OnMoveAnswered({ MoveOutcome::NotStopped, {} },
                                  fixture.mNow);
    CHECK(fixture.mDelegate.LastAction() == "end");
  }
  SUBCASE("the answer is aborted when the run is lost during the move")
  {
    fixture.EndAnswer(SendOutcome::Unknown);
    fixture.mCall->OnMoveAnswered({ MoveOutcome::Unknown, {} }, fixture.mNow);
    CHECK(fixture.mDelegate.LastAction() == "abort");
  }
}

} // namespace bulrushfold
