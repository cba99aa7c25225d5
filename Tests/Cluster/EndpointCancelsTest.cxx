#include "Cluster/EndpointCancels.h"

#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
using std::chrono::minutes;
using std::chrono::seconds;
} // namespace

TEST_CASE("Cancels and holdings")
{
  ManualClock clock;
  std::map<std::string, IncarnationState> states;
  const OrderTiming timing;
  EndpointCancels cancels(
    timing, [&](const std::string& aDaemon, const std::string&) {
      const auto it = states.find(aDaemon);
      return it == states.end() ? IncarnationState::Unknown : it->second;
    });
  const EndpointCancel cancel{ "e", "r1", 1, "d/1" };

  // Guards against memory that stays held because one cancel was lost (I1).
  SUBCASE("a cancel is repeated until it is confirmed")
  {
    CHECK(cancels.Cancel(cancel, clock.Now()).size() == 1);
    CHECK(cancels.Cancel(cancel, clock.Now()).empty());
    clock.Advance(seconds(1));
    CHECK(cancels.Tick(clock.Now()).size() == 1);
    clock.Advance(seconds(2));
    CHECK(cancels.Tick(clock.Now()).size() == 1);
    cancels.OnConfirmed(cancel);
    clock.Advance(minutes(1));
    CHECK(cancels.Tick(clock.Now()).empty());
  }

  SUBCASE("an endpoint that restarted holds nothing")
  {
    cancels.Cancel(cancel, clock.Now());
    cancels.OnEndpointGone("e");
    CHECK(cancels.Open() == 0);
  }

  SUBCASE("holdings of a process that is gone are cancelled after the grace")
  {
    states["d"] = IncarnationState::Gone;
    states["live"] = IncarnationState::Live;
    const std::vector<Allocation> allocations{ { "r1", 1, "d/1" },
                                               { "r2", 1, "live/2" },
                                               { "r3", 1, "new/3" },
                                               { "r4", 1, "" } };
    auto result = cancels.OnAllocations("e", allocations, clock.Now());
    CHECK(result.mCancels.empty());
    CHECK(result.mUnknown == std::vector<std::string>{ "new", "" });
    clock.Advance(timing.mReleaseGrace);
    result = cancels.OnAllocations("e", allocations, clock.Now());
    REQUIRE(result.mCancels.size() == 1);
    CHECK(result.mCancels[0].mRequest == "r1");
  }

  // Guards against a cancel of live work after a wrong death.
  SUBCASE("a process that comes back within the grace keeps its work")
  {
    const std::vector<Allocation> allocations{ { "r1", 1, "d/1" } };
    states["d"] = IncarnationState::Gone;
    cancels.OnAllocations("e", allocations, clock.Now());
    clock.Advance(timing.mReleaseGrace - seconds(1));
    states["d"] = IncarnationState::Live;
    CHECK(
      cancels.OnAllocations("e", allocations, clock.Now()).mCancels.empty());
    states["d"] = IncarnationState::Gone;
    clock.Advance(seconds(2));
    CHECK(
      cancels.OnAllocations("e", allocations, clock.Now()).mCancels.empty());
  }
}

} // namespace bulrushfold
