#include "Router/PlacementFleet.h"

#include <algorithm>
#include <memory>

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

bool
IsOwner(const std::unique_ptr<FleetDaemon>& aDaemon)
{
  return aDaemon && aDaemon->mClient.IsOwner();
}

/** The daemon that places for aFleet. */
std::unique_ptr<FleetDaemon>&
OwnerOf(PlacementFleet& aFleet)
{
  const auto owner =
    std::find_if(aFleet.mDaemons.begin(), aFleet.mDaemons.end(), IsOwner);
  REQUIRE(owner != aFleet.mDaemons.end());
  return *owner;
}

std::size_t
CountUnanswered(const PlacementFleet& aFleet)
{
  return static_cast<std::size_t>(std::count_if(
    aFleet.mAnswers.begin(), aFleet.mAnswers.end(), [](const auto& aIt) {
      return aIt.second == 0;
    }));
}

/** Runs fleets with faults on 12 seeds, and checks that they recover. */
void
CheckRecovery(bool aHasStoreReturns)
{
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    PlacementFleet fleet(seed, FleetDefect::None);
    if (aHasStoreReturns) {
      fleet.AddStoreReturns();
    }
    const FleetResult result = fleet.Run(seconds(30), true);
    CHECK(result.mAnsweredTwice == 0);
    CHECK(result.mHeld == 0);
    CHECK(result.mLostGrants == 0);
    CHECK(result.mOutdated == 0);
    CHECK(result.mWentBack == 0);
    CHECK(result.mWatches == 1);
  }
}
} // namespace

// Guards against requests that are lost, held or counted for good, against
// endpoints that get more than they can run, and against daemons that miss a
// change of the store.
TEST_CASE("A calm fleet places all requests at one daemon")
{
  PlacementFleet fleet(1, FleetDefect::None);
  const FleetResult result = fleet.Run(seconds(20), false);
  CHECK(result.mRequests > 3000);
  CHECK(CountUnanswered(fleet) == 0);
  CHECK(result.mAnsweredTwice == 0);
  CHECK(result.mHeld == 0);
  CHECK(result.mOverLimit == 0);
  CHECK(result.mLostGrants == 0);
  CHECK(result.mOutdated == 0);
  CHECK(result.mWentBack == 0);
  // Half of the requests are plain; one daemon in 16 is the owner itself.
  CHECK(result.mPlacedByOwner > result.mRequests / 3);
  // The number of store calls must not grow with the number of daemons.
  CHECK(result.mWatches == 1);
  const auto owners =
    std::count_if(fleet.mDaemons.begin(), fleet.mDaemons.end(), IsOwner);
  CHECK(owners == 1);
}

// Guards against the same while daemons are killed and links are cut, the owner
// first of all.
TEST_CASE("A fleet recovers from owners that die or are cut off")
{
  CheckRecovery(false);
}

// Guards against daemons that keep an older config, or go back to one, because
// the store came back from a copy while daemons were killed or cut off.
TEST_CASE("A fleet follows a store that comes back from copies")
{
  CheckRecovery(true);
}

// Guards against a whole fleet that watches the store because its owner alone
// does not reach it.
TEST_CASE("An owner that does not reach the store leaves to another one")
{
  PlacementFleet fleet(1, FleetDefect::None);
  fleet.Run(seconds(3), false);
  FleetDaemon& former = *OwnerOf(fleet);
  former.mFeed.OnLost("config/");
  former.mOwner.Announce();
  fleet.Continue(seconds(1));
  CHECK(former.mClient.IsOwner());
  CHECK(fleet.mStore.WatchCount() > 10);
  fleet.Continue(seconds(5));
  CHECK_FALSE(former.mClient.IsOwner());
  CHECK(std::count_if(fleet.mDaemons.begin(), fleet.mDaemons.end(), IsOwner) ==
        1);
  CHECK(fleet.mStore.WatchCount() == 1);
}

// Guards against hundreds of calls to the store at each change of the owner.
TEST_CASE("A fleet whose owner dies waits for the feed of the next one")
{
  PlacementFleet fleet(1, FleetDefect::None);
  fleet.Run(seconds(3), false);
  const std::size_t before = fleet.mStore.WatchCalls();
  OwnerOf(fleet).reset();
  fleet.Continue(seconds(5));
  CHECK(fleet.mStore.WatchCount() == 1);
  CHECK(fleet.mStore.WatchCalls() - before < PlacementFleet::kDaemons / 4);
}

// Guards against a prompt that is computed again although an engine still has
// it cached: only the daemon that places has to know.
TEST_CASE("An owner finds the cached prompts of interrupted streams")
{
  PlacementFleet fleet(1, FleetDefect::None);
  fleet.Run(seconds(3), false);
  const auto client =
    std::find_if_not(fleet.mDaemons.begin(), fleet.mDaemons.end(), IsOwner);
  REQUIRE(client != fleet.mDaemons.end());
  for (std::uint64_t number = 1; number <= 8; ++number) {
    CAPTURE(number);
    (*client)->RequestStream(9'000'000 + number, number);
    fleet.Continue(milliseconds(500));
    CHECK(fleet.mLastDecode == "d2");
  }
}

// Guards against a resumed stream that goes on at another version: its own
// daemon may be gone before it has told anybody.
TEST_CASE("An owner knows the version of a stream when it is placed")
{
  PlacementFleet fleet(1, FleetDefect::None);
  fleet.Run(seconds(3), false);
  const auto client =
    std::find_if(fleet.mDaemons.begin(),
                 fleet.mDaemons.end(),
                 [](const auto& aIt) { return !aIt->mClient.IsCandidate(); });
  REQUIRE(client != fleet.mDaemons.end());
  constexpr std::uint64_t kStream = 9'000'000;
  (*client)->RequestStream(kStream, 1);
  fleet.Continue(milliseconds(500));
  const Instant now = fleet.mClock.Now();
  CHECK(OwnerOf(fleet)->mOrigins.Find(kStream, now) != nullptr);
  const auto holders = (*client)->mClient.RecordHolders();
  REQUIRE(holders.size() == 3);
  CHECK(holders.front().mName == OwnerOf(fleet)->mName);
  CHECK(OwnerOf(fleet)->mClient.RecordHolders().size() == 2);
}

TEST_CASE("The checks of a fleet notice a defect")
{
  SUBCASE("clients that do not give back what they were granted")
  {
    PlacementFleet fleet(1, FleetDefect::NoRelease);
    CHECK(fleet.Run(seconds(20), false).mLostGrants > 0);
  }
  SUBCASE("clients that wait for a dead owner")
  {
    PlacementFleet fleet(1, FleetDefect::NoTimeouts);
    const FleetResult result = fleet.Run(seconds(30), true);
    CHECK(result.mHeld + CountUnanswered(fleet) > 100);
  }
  SUBCASE("an owner that fills an endpoint beyond its slots")
  {
    PlacementFleet fleet(1, FleetDefect::NoLimit);
    CHECK(fleet.Run(seconds(20), false).mOverLimit > 0);
  }
  SUBCASE("an owner that does not pass on changes of the store")
  {
    PlacementFleet fleet(1, FleetDefect::SilentFeed);
    CHECK(fleet.Run(seconds(20), false).mOutdated > 0);
  }
  SUBCASE("revisions that are compared without the era of the store")
  {
    PlacementFleet fleet(1, FleetDefect::IgnoredEra);
    fleet.AddStoreReturns();
    CHECK(fleet.Run(seconds(30), true).mOutdated > 0);
  }
}

} // namespace bulrushfold
