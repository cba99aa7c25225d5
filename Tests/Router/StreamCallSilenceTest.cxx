#include "Router/StreamCall.h"

#include <doctest/doctest.h>

#include "StreamCallFixture.h"

namespace bulrushfold {

namespace {

using std::chrono::milliseconds;

/** Checks that the engine that was silent goes on and completes the answer. */
void
CompleteAtFirstEngine(StreamCallFixture& aFixture)
{
  aFixture.AddData(Event(3));
  aFixture.EndAnswer(SendOutcome::Answered);
  CHECK(aFixture.mDelegate.mAnswerData == kAllEvents);
  CHECK(aFixture.mDelegate.LastAction() == "end");
  CHECK(aFixture.mDelegate.mDecodes.size() == 1);
  CHECK_FALSE(aFixture.mDelegate.HasAction("abort"));
}

} // namespace

// Guards against an answer that is aborted because its engine was silent for
// longer than the stall timeout and then went on.
TEST_CASE("A silent run is kept when no other run may replace it")
{
  SUBCASE("on a route without further attempts")
  {
    StreamCallFixture fixture(true, 1);
    fixture.RunToSecondEvent();
    fixture.Wake();
    CHECK(fixture.mDelegate.mKeptFor == RefusalReason::AttemptsUsed);
    CompleteAtFirstEngine(fixture);
  }
  SUBCASE("when the last permitted run is silent")
  {
    StreamCallFixture fixture(true, 2);
    fixture.Start();
    fixture.RunToAnswer("p1", "d1");
    fixture.EndAnswer(SendOutcome::Unknown);
    fixture.RunToAnswer("p2", "d2");
    fixture.AddData(Event(1) + Event(2));
    fixture.Wake();
    CHECK(fixture.mDelegate.mKeptFor == RefusalReason::AttemptsUsed);
    fixture.AddData(Event(3));
    fixture.EndAnswer(SendOutcome::Answered);
    CHECK(fixture.mDelegate.mAnswerData == kAllEvents);
    CHECK(fixture.mDelegate.LastAction() == "end");
  }
  SUBCASE("when the retry budget is used up")
  {
    StreamCallFixture fixture(true, 3);
    fixture.RunToSecondEvent();
    fixture.UseRetryBudget();
    fixture.Wake();
    CHECK(fixture.mDelegate.mKeptFor == RefusalReason::RetryBudgetUsed);
    CHECK(fixture.mDelegate.mDemands.size() == 1);
    CompleteAtFirstEngine(fixture);
  }
  SUBCASE("when the retry budget allows only a part of a replacement")
  {
    StreamCallFixture fixture(true, 3);
    fixture.RunToSecondEvent();
    while (fixture.mRetryBudget.Allows("s", 2, fixture.mNow)) {
      REQUIRE(fixture.mRetryBudget.TryConsume("s", 1, fixture.mNow));
    }
    fixture.Wake();
    CHECK(fixture.mDelegate.mKeptFor == RefusalReason::RetryBudgetUsed);
    CompleteAtFirstEngine(fixture);
  }
  SUBCASE("before its first event")
  {
    StreamCallFixture fixture(true, 1);
    fixture.Start();
    fixture.Place("p1", "d1");
    fixture.mCall->OnReserved("hold", fixture.mNow);
    fixture.FinishPrefill();
    fixture.Wake();
    CHECK(fixture.mCall->State() == StreamState::Starting);
    fixture.StartAnswer();
    fixture.AddData(Event(1) + Event(2));
    CompleteAtFirstEngine(fixture);
  }
  SUBCASE("and is ended at the deadline")
  {
    StreamCallFixture fixture(true, 1);
    fixture.RunToSecondEvent();
    constexpr int kMaxWakes = 20;
    for (int i = 0; i < kMaxWakes && !fixture.mDelegate.HasAction("abort");
         ++i) {
      fixture.Wake();
    }
    CHECK(fixture.mDelegate.LastAction() == "abort");
    CHECK(fixture.mNow == fixture.mParameters.mCall.mDeadline);
  }
}

// Guards against a run that is cancelled before it is known whether another
// engine can continue the stream.
TEST_CASE("A silent run is kept until its replacement starts")
{
  StreamCallFixture fixture(true, 3);
  fixture.RunToSecondEvent();
  fixture.Wake();
  REQUIRE(fixture.mDelegate.mDemands.size() == 2);
  CHECK(fixture.mDelegate.mDemands[1].mFailedEndpoints.count("d1") == 1);
  CHECK(fixture.mDelegate.LastAction() == "set aside");

  SUBCASE("and cancelled then")
  {
    fixture.Place("p2", "d2");
    fixture.mCall->OnReserved("hold2", fixture.mNow);
    CHECK(fixture.mDelegate.LastAction() == "prefill p2");
    CHECK_FALSE(fixture.mDelegate.HasAction("cancel aside"));
    fixture.FinishPrefill();
    CHECK_FALSE(fixture.mDelegate.HasAction("cancel aside"));
    CHECK(fixture.mDelegate.LastAction() == "decode d2");
    CHECK(fixture.mDelegate.mDecodes.back().mLastEventId == "2");
    SUBCASE("when its engine accepts")
    {
      fixture.StartAnswer();
      CHECK(fixture.mDelegate.HasAction("cancel aside"));
    }
    // Guards against two engines that work on one stream.
    SUBCASE("when its engine does not answer for the longest overlap")
    {
      const Instant sentAt = fixture.mNow;
      fixture.Wake();
      CHECK(fixture.mNow <= sentAt + milliseconds(400));
      CHECK(fixture.mDelegate.HasAction("cancel aside"));
      fixture.StartAnswer();
    }
    SUBCASE("when its own connection closes")
    {
      fixture.mCall->OnRunHeard(fixture.mNow);
      CHECK(fixture.mDelegate.HasAction("cancel aside"));
      fixture.StartAnswer();
    }
    CHECK(fixture.mDelegate.mInterruptedAt == std::vector<std::string>{ "d1" });
    fixture.AddData(Event(3));
    fixture.EndAnswer(SendOutcome::Answered);
    CHECK(fixture.mDelegate.mAnswerData == kAllEvents);
    CHECK(fixture.mDelegate.LastAction() == "end");
  }
  SUBCASE("and goes on while the replacement is in the queue")
  {
    CompleteAtFirstEngine(fixture);
    CHECK(fixture.mDelegate.HasAction("withdraw"));
    CHECK(fixture.mDelegate.HasAction("return"));
  }
  // Guards against engine memory that stays reserved for a replacement that is
  // not needed any more.
  SUBCASE("and goes on while the replacement is prefilled")
  {
    fixture.Place("p2", "d2");
    fixture.mCall->OnReserved("hold2", fixture.mNow);
    CompleteAtFirstEngine(fixture);
    CHECK(fixture.mDelegate.HasAction("cancel"));
    CHECK(fixture.mDelegate.HasAction("unreserve hold2"));
  }
  SUBCASE("and goes on after no engine could replace it")
  {
    SUBCASE("because the replacement expired in the queue")
    {
      fixture.mCall->OnPlacementExpired(fixture.mNow);
    }
    SUBCASE("because no engine accepts streams")
    {
      fixture.mCall->OnUnservable(milliseconds(100), fixture.mNow);
    }
    SUBCASE("because the engines are overloaded")
    {
      fixture.mCall->OnOverload(fixture.mNow);
    }
    SUBCASE("because only its own engine has free memory")
    {
      fixture.Place("p2", "d1");
      CHECK_FALSE(fixture.mDelegate.HasAction("cancel aside"));
    }
    SUBCASE("because the retry budget is used up meanwhile")
    {
      fixture.Place("p2", "d2");
      fixture.UseRetryBudget();
      fixture.mCall->OnReserved("hold2", fixture.mNow);
      CHECK_FALSE(fixture.mDelegate.HasAction("prefill p2"));
      CHECK(fixture.mDelegate.HasAction("unreserve hold2"));
    }
    SUBCASE("because the prefill of the replacement failed")
    {
      fixture.Place("p2", "d2");
      fixture.mCall->OnReserved("hold2", fixture.mNow);
      fixture.UseRetryBudget();
      fixture.mCall->OnPrefilled(
        SendOutcome::Unknown, {}, Duration::zero(), fixture.mNow);
    }
    SUBCASE("because a part of its prompt crashes engines")
    {
      fixture.mDelegate.mIsPromptRefused = true;
      fixture.Place("p2", "d2");
      CHECK_FALSE(fixture.mDelegate.HasAction("reserve d2"));
    }
    CHECK(fixture.mDelegate.HasAction("return"));
    CHECK(fixture.mCall->State() == StreamState::Streaming);
    CompleteAtFirstEngine(fixture);
  }
  SUBCASE("another replacement is prepared when the silence lasts")
  {
    fixture.mCall->OnPlacementExpired(fixture.mNow);
    fixture.Wake();
    CHECK(fixture.mDelegate.mDemands.size() == 3);
    CompleteAtFirstEngine(fixture);
  }
  SUBCASE("its connection is lost while the replacement is prepared")
  {
    fixture.EndAnswer(SendOutcome::Unknown);
    CHECK(fixture.mDelegate.HasAction("return"));
    REQUIRE(fixture.mDelegate.mDemands.size() == 3);
    fixture.RunToAnswer("p2", "d2");
    fixture.AddData(Event(3));
    fixture.EndAnswer(SendOutcome::Answered);
    CHECK(fixture.mDelegate.mAnswerData == kAllEvents);
  }
  SUBCASE("both are released when the caller disconnects")
  {
    fixture.Place("p2", "d2");
    fixture.mCall->OnReserved("hold2", fixture.mNow);
    fixture.mCall->OnCallerDisconnected(fixture.mNow);
    CHECK(fixture.mDelegate.HasAction("unreserve hold2"));
    CHECK(fixture.mDelegate.HasAction("return"));
    CHECK(fixture.mDelegate.LastAction() == "cancel");
    CHECK(fixture.mCall->State() == StreamState::Finished);
  }
  SUBCASE("both are released when the daemon stops")
  {
    fixture.Place("p2", "d2");
    fixture.mCall->OnReserved("hold2", fixture.mNow);
    fixture.mCall->OnStopEnd();
    CHECK(fixture.mDelegate.HasAction("unreserve hold2"));
    CHECK(fixture.mDelegate.LastAction() == "abort");
  }
}

// Guards against a run that is cancelled because the answer to its move takes
// longer than a timeout: the source may only be silent.
TEST_CASE("A run is kept while its source is silent during a move")
{
  StreamCallFixture fixture(false, 1);
  fixture.RunToSecondEvent();
  fixture.mCall->StartMove("d2", fixture.mNow);
  CHECK(fixture.mDelegate.mWakeTime == fixture.mParameters.mCall.mDeadline);

  SUBCASE("it goes on at the source")
  {
    fixture.mCall->OnMoveAnswered({ MoveOutcome::NotStopped, {} },
                                  fixture.mNow);
    CompleteAtFirstEngine(fixture);
  }
  SUBCASE("or at the target")
  {
    fixture.EndAnswer(SendOutcome::Unknown);
    fixture.mNow += milliseconds(1500);
    fixture.mCall->OnMoveAnswered({ MoveOutcome::Copied, MakeCache("moved") },
                                  fixture.mNow);
    CHECK(fixture.mDelegate.LastAction() == "decode d2");
    SUBCASE("even if that is silent too")
    {
      fixture.mNow += milliseconds(1500);
      CHECK(fixture.mDelegate.mWakeTime > fixture.mNow);
      fixture.StartAnswer();
      fixture.AddData(Event(3));
      fixture.EndAnswer(SendOutcome::Answered);
      CHECK(fixture.mDelegate.mAnswerData == kAllEvents);
      CHECK(fixture.mDelegate.LastAction() == "end");
    }
  }
}

// Guards against a stream that is refused because its prefill engine was silent
// and no other one could be tried.
TEST_CASE("A silent prefill is kept when no other one may follow")
{
  StreamCallFixture fixture(true, 3);
  fixture.Start();
  SUBCASE("because the retry budget is used up")
  {
    fixture.Place("p1", "d1");
    fixture.mCall->OnReserved("hold", fixture.mNow);
    fixture.UseRetryBudget();
  }
  SUBCASE("because the stream would expire in the queue at once")
  {
    fixture.mNow += milliseconds(1100);
    fixture.Place("p1", "d1");
    fixture.mCall->OnReserved("hold", fixture.mNow);
  }
  fixture.Wake();
  CHECK_FALSE(fixture.mDelegate.HasAction("cancel"));
  fixture.FinishPrefill();
  CHECK(fixture.mDelegate.LastAction() == "decode d1");
}

} // namespace bulrushfold
