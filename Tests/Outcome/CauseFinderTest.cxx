#include "Outcome/CauseFinder.h"

#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "CauseStories.h"
#include "OutcomeFixture.h"

namespace bulrushfold {

// Guards against a cause that no request can have, and against a request that
// gets another cause than the one that was planted.
TEST_CASE("Every cause has a timeline that yields exactly it")
{
  const auto stories = AllCauseStories();
  CHECK(stories.size() == kCauseCount);
  for (const auto& it : stories) {
    const Cause cause = it.first;
    TimelineStory story;
    const OutcomeRecord record = it.second(story);
    CAPTURE(CauseName(cause));
    CHECK(CauseName(record.mCause) == CauseName(cause));
    CHECK(OutcomeStatusName(record.mStatus) !=
          (cause == Cause::ServedInTime ? "lost" : "served"));
  }
}

TEST_CASE("Cause names are unique and explained")
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
  TimelineStory story;

  // Guards against blaming the place where the request happened to wait.
  SUBCASE("names the endpoint and failure domain that it concerns")
  {
    const auto record = story.Attempt()
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
    REQUIRE(record.Blamed() != nullptr);
    CHECK(record.Blamed()->mName == "e1");
    CHECK(record.mEndpoints.size() == 3);
  }

  // Guards against "deadline passed" hiding the fault behind it.
  SUBCASE("is found behind a deadline")
  {
    const auto record = story.At(Hop::Queue, 5000).End(Ending::DeadlinePassed);
    CHECK(record.mStatus == OutcomeStatus::Failed);
    CHECK(record.mCause == Cause::Queueing);
  }
  SUBCASE("is found behind a refusal at the deadline")
  {
    const auto record =
      story.At(Hop::Queue, 5000).End(Ending::Refused, Cause::DeadlinePassed);
    CHECK(record.mStatus == OutcomeStatus::Refused);
    CHECK(record.mCause == Cause::Queueing);
  }
  // Guards against counting impatient callers as normal cancellations.
  SUBCASE("is found behind a caller that gave up")
  {
    const auto record = story.Attempt()
                          .At(Hop::Prefill, "p1", 9000)
                          .End(Ending::CallerDisconnected);
    CHECK(record.mStatus == OutcomeStatus::Cancelled);
    CHECK(record.mCause == Cause::SlowPrefill);
  }
  SUBCASE("is found behind a booking with unknown outcome")
  {
    const auto record = story.Service()
                          .Attempt()
                          .At(Hop::Service, "s1", 100)
                          .Fault(FaultKind::EndpointDied)
                          .End(Ending::Unknown);
    CHECK(record.mStatus == OutcomeStatus::Unknown);
    CHECK(record.mCause == Cause::EndpointDied);
  }

  // Guards against a fault whose endpoint is lost because the daemon names
  // the cause itself.
  SUBCASE("keeps its endpoint when the daemon gives the cause")
  {
    story.Attempt().At(Hop::Prefill, "p1", 100);
    SUBCASE("and noted the fault")
    {
      story.Fault(FaultKind::EndpointDied).At(Hop::Queue, 20);
    }
    SUBCASE("and noted no fault") {}
    const auto record = story.End(Ending::Refused, Cause::EndpointDied);
    CHECK(record.mStatus == OutcomeStatus::Refused);
    CHECK(record.mHop == Hop::Prefill);
    REQUIRE(record.Blamed() != nullptr);
    CHECK(record.Blamed()->mName == "p1");
  }
  SUBCASE("is the fault behind a retry that was not allowed")
  {
    const auto record = story.Attempt()
                          .At(Hop::Prefill, "p1", 100)
                          .Fault(FaultKind::EndpointTimedOut)
                          .End(Ending::Refused, Cause::RetryBudgetSpent);
    CHECK(record.mCause == Cause::EndpointTimedOut);
  }

  // Guards against blaming a fault that cost nothing.
  SUBCASE("is not a harmless fault")
  {
    const auto record = story.At(Hop::Queue, 5)
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
  SUBCASE("is the fault without which the request had been in time")
  {
    const auto record = story.Attempt()
                          .At(Hop::Prefill, "p1", 300)
                          .Fault(FaultKind::EndpointDied)
                          .Attempt()
                          .At(Hop::Prefill, "p2", 800)
                          .At(Hop::Decode, "e1", 10)
                          .Tokens(5, 30)
                          .End(Ending::Complete);
    CHECK(record.mCause == Cause::EndpointDied);
  }
  // Guards against blaming the prefill of a long prompt for a queue.
  SUBCASE("takes expected times into account")
  {
    story.Timeline().Expect(Hop::Prefill, Ms(700));
    const auto record = story.At(Hop::Queue, 500)
                          .Attempt()
                          .At(Hop::Prefill, "p1", 700)
                          .At(Hop::Decode, "e1", 10)
                          .Tokens(5, 30)
                          .End(Ending::Complete);
    CHECK(record.mCause == Cause::Queueing);
  }
  // Guards against blaming the first part for a delay in the second.
  SUBCASE("lies in the part that was late")
  {
    const auto record = story.Attempt()
                          .At(Hop::Prefill, "p1", 800)
                          .At(Hop::Decode, "e1", 10)
                          .Tokens(4, 250)
                          .End(Ending::Complete);
    CHECK(record.mCause == Cause::SlowDecode);
  }
}

TEST_CASE("Properties of any timeline")
{
  // Guards against time that is lost or counted twice.
  SUBCASE("the times by hop add up, and there is always one cause and hop")
  {
    CHECK(rc::check([] {
      TimelineStory story;
      const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
      for (const int step : steps) {
        const auto ms = *rc::gen::inRange<std::int64_t>(0, 2000);
        if (step < static_cast<int>(kHopCount)) {
          story.At(static_cast<Hop>(step), ms);
        } else if (step < 20) {
          story.At(Hop::Decode, "e1", 0).Tokens(1, ms);
        } else if (step < 30) {
          story.Wait(ms).Fault(static_cast<FaultKind>(step - 20));
        } else if (step < 35) {
          story.Pause(ms);
        } else {
          story.Attempt();
        }
      }
      const auto ending = *rc::gen::inRange(1, 7);
      const auto record = story.End(static_cast<Ending>(ending));
      Duration sum{};
      for (const auto& it : record.mHopTimes) {
        sum += it;
      }
      Duration parts{};
      for (const auto& it : story.Timeline().Faults()) {
        parts += it.mLost;
      }
      for (std::size_t i = 0; i < kHopCount; ++i) {
        parts += story.Timeline().Productive(static_cast<Hop>(i),
                                             Phase::BeforeFirstToken) +
                 story.Timeline().Productive(static_cast<Hop>(i),
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
