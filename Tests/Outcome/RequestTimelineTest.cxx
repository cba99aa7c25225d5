#include "Outcome/RequestTimeline.h"

#include <doctest/doctest.h>

#include "OutcomeFixture.h"

namespace bulrushfold {

TEST_CASE("A timeline")
{
  TimelineStory story;
  RequestTimeline& timeline = story.Timeline();

  SUBCASE("ends once")
  {
    story.At(Hop::Queue, 10);
    timeline.End(Ending::Complete, story.TheClock().Now());
    story.At(Hop::Decode, 1000).Tokens(3, 1).Fault(FaultKind::EndpointDied);
    timeline.End(Ending::Failed, story.TheClock().Now());
    CHECK(timeline.GetEnding() == Ending::Complete);
    CHECK(timeline.Total() == Ms(10));
    CHECK(timeline.PartialRecord().mTokens == 0);
  }

  // Guards against a request that retries without end and fills the memory.
  SUBCASE("is bounded")
  {
    for (int i = 0; i < 10'000; ++i) {
      story.Attempt()
        .At(Hop::Prefill, ("e" + std::to_string(i)).c_str(), 1)
        .Fault(FaultKind::EndpointDied);
    }
    timeline.End(Ending::Failed, story.TheClock().Now());
    CHECK(timeline.Visits().size() <= 100);
    CHECK(timeline.Faults().size() <= 100);
    CHECK(timeline.PartialRecord().mEndpoints.size() <= 100);
    CHECK(timeline.Total() == Ms(10'000));
  }

  // Guards against a clock reading that is older than the last one.
  SUBCASE("ignores time that goes back")
  {
    story.At(Hop::Queue, 10);
    timeline.Enter(Hop::Prefill, story.TheClock().Now() - Ms(500));
    timeline.End(Ending::Complete, story.TheClock().Now() - Ms(900));
    CHECK(timeline.Total() >= Duration::zero());
  }

  SUBCASE("gives each visit a span id of its own")
  {
    const std::string first = timeline.CurrentSpanId();
    story.At(Hop::Queue, 1);
    CHECK(first != timeline.CurrentSpanId());
    CHECK(timeline.CurrentSpanId() ==
          SpanIdOf(timeline.PartialRecord().mRequestId, 2));
    CHECK(first.size() == 16);
  }
}

} // namespace bulrushfold
