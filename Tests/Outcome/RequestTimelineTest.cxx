#include "Outcome/RequestTimeline.h"

#include <doctest/doctest.h>

#include "OutcomeFixture.h"

namespace bulrushfold {

TEST_CASE("A request timeline")
{
  TimelineBuilder builder;
  RequestTimeline& timeline = builder.Timeline();

  SUBCASE("ignores events after its end")
  {
    builder.At(Hop::Queue, 10);
    timeline.End(Ending::Complete, builder.GetClock().Now());
    builder.At(Hop::Decode, 1000).Tokens(3, 1).Fault(FaultKind::EndpointDied);
    timeline.End(Ending::Failed, builder.GetClock().Now());
    CHECK(timeline.GetEnding() == Ending::Complete);
    CHECK(timeline.Total() == Ms(10));
    CHECK(timeline.PartialRecord().mTokens == 0);
  }

  // Guards against exhausting the memory by a request that is retried without
  // end.
  SUBCASE("has limited numbers of visits, faults and endpoints")
  {
    for (int i = 0; i < 10'000; ++i) {
      builder.Attempt()
        .At(Hop::Prefill, ("e" + std::to_string(i)).c_str(), 1)
        .Fault(FaultKind::EndpointDied);
    }
    timeline.End(Ending::Failed, builder.GetClock().Now());
    CHECK(timeline.Visits().size() <= 100);
    CHECK(timeline.Faults().size() <= 100);
    CHECK(timeline.PartialRecord().mEndpoints.size() <= 100);
    CHECK(timeline.Total() == Ms(10'000));
  }

  // Guards against negative times when an event has an older time than the one
  // before it.
  SUBCASE("ignores a time that is older than the last event")
  {
    builder.At(Hop::Queue, 10);
    timeline.Enter(Hop::Prefill, builder.GetClock().Now() - Ms(500));
    timeline.End(Ending::Complete, builder.GetClock().Now() - Ms(900));
    CHECK(timeline.Total() >= Duration::zero());
  }

  SUBCASE("has a different span id for each visit")
  {
    const std::string first = timeline.CurrentSpanId();
    builder.At(Hop::Queue, 1);
    CHECK(first != timeline.CurrentSpanId());
    CHECK(timeline.CurrentSpanId() ==
          SpanIdOf(timeline.PartialRecord().mRequestId, 2));
    CHECK(first.size() == 16);
  }
}

} // namespace bulrushfold
