#include "Outcome/CauseFinder.h"

#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "CauseScenarios.h"
#include "OutcomeFixture.h"

namespace bulrushfold {

// Guards against a cause that is never assigned, and against a request that is
// assigned another cause than the one that its events simulate.
TEST_CASE("Every cause is assigned to the scenario that simulates it")
{
  const auto scenarios = AllCauseScenarios();
  CHECK(scenarios.size() == kCauseCount);
  for (const auto& it : scenarios) {
    const Cause cause = it.first;
    TimelineBuilder builder;
    const OutcomeRecord record = it.second(builder);
    CAPTURE(CauseName(cause));
    CHECK(CauseName(record.mCause) == CauseName(cause));
    CHECK(OutcomeStatusName(record.mStatus) !=
          (cause == Cause::ServedInTime ? "lost" : "served"));
  }
}

TEST_CASE("Causes have unique names, explanations and actions")
{
  std::set<std::string_view> names;
  for (const auto& it : CauseInfos()) {
    CHECK(names.insert(it.mName).second);
    CHECK(FindCause(it.mName) == it.mCause);
    CHECK_FALSE(it.mExplanation.empty());
    CHECK_FALSE(it.mSuggestedAction.empty());
  }
  CHECK_FALSE(FindCause("no such cause"));
  CHECK_FALSE(CauseOfNumber(-1));
  CHECK_FALSE(CauseOfNumber(static_cast<int>(kCauseCount)));
}

TEST_CASE("The cause of a delay")
{
  TimelineBuilder builder;

  // Guards against reporting the hop at which the request waited after the
  // fault instead of the endpoint that failed.
  SUBCASE("includes the endpoint and failure domain that it concerns")
  {
    const auto record = builder.Attempt()
                          .At(Hop::Prefill, "p1", 300)
                          .At(Hop::Decode, "e1", 10)
                          .Tokens(10, 30)
                          .Fault(FaultKind::EndpointDied)
                          .Attempt()
                          .At(Hop::Prefill, "p1", 2000)
                          .At(Hop::Decode, "e2", 10)
                          .Tokens(10, 30)
                          .End(Ending::Complete);
    CHECK(record.mStatus == OutcomeStatus::Late);
    CHECK(record.mCause == Cause::EndpointDied);
    CHECK(record.mHop == Hop::Decode);
    REQUIRE(record.BlamedEndpoint() != nullptr);
    CHECK(record.BlamedEndpoint()->mName == "e1");
    CHECK(record.mEndpoints.size() == 3);
  }

  // Guards against reporting "deadline_passed" instead of the delay that led to
  // it.
  SUBCASE("is reported when the deadline passes")
  {
    const auto record =
      builder.At(Hop::Queue, 5000).End(Ending::DeadlinePassed);
    CHECK(record.mStatus == OutcomeStatus::Failed);
    CHECK(record.mCause == Cause::Queueing);
  }
  SUBCASE("is reported when a request is refused at its deadline")
  {
    const auto record =
      builder.At(Hop::Queue, 5000).End(Ending::Refused, Cause::DeadlinePassed);
    CHECK(record.mStatus == OutcomeStatus::Refused);
    CHECK(record.mCause == Cause::Queueing);
  }
  // Guards against counting a caller that disconnects because of a delay as an
  // ordinary cancellation.
  SUBCASE("is reported when the caller disconnects from a late request")
  {
    const auto record = builder.Attempt()
                          .At(Hop::Prefill, "p1", 9000)
                          .End(Ending::CallerDisconnected);
    CHECK(record.mStatus == OutcomeStatus::Cancelled);
    CHECK(record.mCause == Cause::SlowPrefill);
  }
  SUBCASE("is reported when a booking has an unknown outcome")
  {
    const auto record = builder.Service()
                          .Attempt()
                          .At(Hop::Service, "s1", 100)
                          .Fault(FaultKind::EndpointDied)
                          .End(Ending::Unknown);
    CHECK(record.mStatus == OutcomeStatus::Unknown);
    CHECK(record.mCause == Cause::EndpointDied);
  }

  // Guards against a record without an endpoint when the daemon passes the
  // cause to End.
  SUBCASE("includes its endpoint when the daemon reports the cause")
  {
    builder.Attempt().At(Hop::Prefill, "p1", 100);
    SUBCASE("and recorded the fault")
    {
      builder.Fault(FaultKind::EndpointDied).At(Hop::Queue, 20);
    }
    SUBCASE("and recorded no fault") {}
    const auto record = builder.End(Ending::Refused, Cause::EndpointDied);
    CHECK(record.mStatus == OutcomeStatus::Refused);
    CHECK(record.mHop == Hop::Prefill);
    REQUIRE(record.BlamedEndpoint() != nullptr);
    CHECK(record.BlamedEndpoint()->mName == "p1");
  }
  SUBCASE("is the fault that led to a retry that was not permitted")
  {
    const auto record = builder.Attempt()
                          .At(Hop::Prefill, "p1", 100)
                          .Fault(FaultKind::EndpointTimedOut)
                          .End(Ending::Refused, Cause::RetryBudgetSpent);
    CHECK(record.mCause == Cause::EndpointTimedOut);
  }

  // Guards against reporting a fault by which no time was lost.
  SUBCASE("is not a fault without effect")
  {
    const auto record = builder.At(Hop::Queue, 5)
                          .Attempt()
                          .At(Hop::Reservation, 2)
                          .Fault(FaultKind::AttemptRefused)
                          .Attempt()
                          .At(Hop::Prefill, "p1", 4000)
                          .At(Hop::Decode, "e1", 10)
                          .Tokens(5, 30)
                          .End(Ending::Complete);
    CHECK(record.mCause == Cause::SlowPrefill);
  }
  SUBCASE("is the fault without which the request would have been in time")
  {
    const auto record = builder.Attempt()
                          .At(Hop::Prefill, "p1", 300)
                          .Fault(FaultKind::EndpointDied)
                          .Attempt()
                          .At(Hop::Prefill, "p2", 800)
                          .At(Hop::Decode, "e1", 10)
                          .Tokens(5, 30)
                          .End(Ending::Complete);
    CHECK(record.mCause == Cause::EndpointDied);
  }
  // Guards against reporting the prefill of a long prompt, which is expected to
  // be long, instead of the time in the queue.
  SUBCASE("considers expected times")
  {
    builder.Timeline().SetExpectedTime(Hop::Prefill, Ms(700));
    const auto record = builder.At(Hop::Queue, 500)
                          .Attempt()
                          .At(Hop::Prefill, "p1", 700)
                          .At(Hop::Decode, "e1", 10)
                          .Tokens(5, 30)
                          .End(Ending::Complete);
    CHECK(record.mCause == Cause::Queueing);
  }
  // Guards against reporting a hop before the first token when the tokens after
  // it were late.
  SUBCASE("is in the phase that was late")
  {
    const auto record = builder.Attempt()
                          .At(Hop::Prefill, "p1", 800)
                          .At(Hop::Decode, "e1", 10)
                          .Tokens(4, 250)
                          .End(Ending::Complete);
    CHECK(record.mCause == Cause::SlowDecode);
  }
}

TEST_CASE("Timelines with random events")
{
  // Guards against time that is not counted or counted twice.
  SUBCASE("have times by hop with the right sum, and one cause and hop")
  {
    CHECK(rc::check([] {
      TimelineBuilder builder;
      const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
      for (const int step : steps) {
        const auto ms = *rc::gen::inRange<std::int64_t>(0, 2000);
        if (step < static_cast<int>(kHopCount)) {
          builder.At(static_cast<Hop>(step), ms);
        } else if (step < 20) {
          builder.At(Hop::Decode, "e1", 0).Tokens(1, ms);
        } else if (step < 30) {
          builder.Wait(ms).Fault(static_cast<FaultKind>(step - 20));
        } else if (step < 35) {
          builder.Pause(ms);
        } else {
          builder.Attempt();
        }
      }
      const auto ending = *rc::gen::inRange(1, 7);
      const auto record = builder.End(static_cast<Ending>(ending));
      Duration sum{};
      for (const auto& it : record.mHopTimes) {
        sum += it;
      }
      Duration parts{};
      for (const auto& it : builder.Timeline().Faults()) {
        parts += it.mLostTime;
      }
      for (std::size_t i = 0; i < kHopCount; ++i) {
        parts += builder.Timeline().ProductiveTime(static_cast<Hop>(i),
                                                   Phase::BeforeFirstToken) +
                 builder.Timeline().ProductiveTime(static_cast<Hop>(i),
                                                   Phase::AfterFirstToken);
      }
      RC_ASSERT(sum == record.mTotal);
      RC_ASSERT(parts == record.mTotal);
      const bool isServed = record.mStatus == OutcomeStatus::Served;
      RC_ASSERT(isServed == (record.mCause == Cause::ServedInTime));
      RC_ASSERT(HopOfNumber(static_cast<int>(record.mHop)).has_value());
    }));
  }
}

} // namespace bulrushfold
