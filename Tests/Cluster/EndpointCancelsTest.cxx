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

TEST_CASE("Cancels and allocations")
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

  // Guards against memory that stays allocated because one cancel was lost
  // (I1).
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

  SUBCASE("cancels end when the endpoint restarts")
  {
    cancels.Cancel(cancel, clock.Now());
    cancels.OnEndpointReset("e");
    CHECK(cancels.PendingCount() == 0);
  }

  SUBCASE(
    "allocations of an ended process are cancelled after the grace period")
  {
    states["d"] = IncarnationState::Ended;
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

  // Guards against cancelling the work of a live process that was wrongly
  // declared dead.
  SUBCASE("a process that is live again within the grace period keeps its work")
  {
    const std::vector<Allocation> allocations{ { "r1", 1, "d/1" } };
    states["d"] = IncarnationState::Ended;
    cancels.OnAllocations("e", allocations, clock.Now());
    clock.Advance(timing.mReleaseGrace - seconds(1));
    states["d"] = IncarnationState::Live;
    CHECK(
      cancels.OnAllocations("e", allocations, clock.Now()).mCancels.empty());
    states["d"] = IncarnationState::Ended;
    clock.Advance(seconds(2));
    CHECK(
      cancels.OnAllocations("e", allocations, clock.Now()).mCancels.empty());
  }
}

} // namespace bulrushfold
