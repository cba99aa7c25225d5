#include "Routing/RoleBalancer.h"

#include <doctest/doctest.h>

#include "EnginePool.h"

namespace bulrushfold {

namespace {
using std::chrono::seconds;
} // namespace

TEST_CASE("Engines change their roles so that both pools carry the same rate")
{
  EnginePool pool;
  pool.Add("p3", EndpointRole::Prefill, "x");
  for (const std::string id : { "d3", "d4", "d5", "d6" }) {
    pool.Add(id, EndpointRole::Decode, "y");
  }
  EngineProfile profile;
  profile.mMemoryTokens = kMemory;
  profile.mSlots = 64;
  RoleBalancer balancer(pool.mDirectory, pool.mLoads, pool.mRuns, pool.mHealth);
  const auto observe = [&](std::uint64_t aPrompt, std::uint64_t aAnswer) {
    std::vector<StreamRun> runs;
    for (std::uint64_t i = 0; i < 20; ++i) {
      runs.push_back({ i, "d1", aPrompt, aAnswer, 10'000, pool.mNow });
    }
    pool.mRuns.SetPeer("p", runs);
    for (int i = 0; i < 10; ++i) {
      balancer.Sample("s", pool.mNow);
    }
  };
  /** Decides as often as a change needs to be confirmed. */
  const auto decide = [&] {
    std::optional<RoleChange> change;
    for (int i = 0; i < 3; ++i) {
      change = balancer.Decide("s", profile, 1.5, 55, pool.mNow);
    }
    return change;
  };
  const auto isStillValid = [&](const RoleChange& aChange) {
    return balancer.IsStillValid(aChange, "s", profile, 1.5, 55, pool.mNow);
  };

  SUBCASE("nothing is known yet: nothing changes")
  {
    CHECK_FALSE(decide());
  }
  SUBCASE("long answers need decode engines")
  {
    observe(5000, 5000);
    const auto change = decide();
    REQUIRE(change);
    CHECK(change->mRole == EndpointRole::Decode);
    // From the failure domain that has two.
    CHECK((change->mEndpoint == "p1" || change->mEndpoint == "p3"));
    CHECK(change->mRateAfter > change->mRateBefore);
    CHECK_FALSE(change->mMustDrain);
    // Guards against an order that was decided before an outage of the store.
    SUBCASE("but not by a decision that holds no more")
    {
      CHECK(isStillValid(*change));
      SUBCASE("because the streams have changed")
      {
        for (int i = 0; i < 10; ++i) {
          observe(20'000, 500);
        }
      }
      SUBCASE("because another prefill engine has left")
      {
        pool.mDirectory.Remove(
          change->mEndpoint == "p1" ? "p3" : "p1", 2, pool.mNow);
      }
      SUBCASE("because another one is in doubt")
      {
        pool.mDirectory.OnRegistryRecovered(pool.mNow);
        pool.mDirectory.Remove("p2", 2, pool.mNow);
      }
      SUBCASE("because another one takes no work")
      {
        pool.mHealth.OnResult("s", "p2", SendResult::Unready, pool.mNow);
      }
      SUBCASE("because the engine leaves")
      {
        EndpointRecord record =
          pool.Record(change->mEndpoint, EndpointRole::Prefill, "x");
        record.mIsDraining = true;
        pool.mDirectory.Put(record, 2, pool.mNow);
      }
      CHECK_FALSE(isStillValid(*change));
    }
    SUBCASE("nor by what was seen only once")
    {
      RoleBalancer other(
        pool.mDirectory, pool.mLoads, pool.mRuns, pool.mHealth);
      for (int i = 0; i < 10; ++i) {
        other.Sample("s", pool.mNow);
      }
      CHECK_FALSE(other.Decide("s", profile, 1.5, 55, pool.mNow));
      CHECK_FALSE(other.Decide("s", profile, 1.5, 55, pool.mNow));
      CHECK(other.Decide("s", profile, 1.5, 55, pool.mNow));
    }
    // Guards against one service's streams deciding for another one's engines.
    SUBCASE("and other services decide by their own streams")
    {
      CHECK_FALSE(balancer.Decide("other", profile, 1.5, 55, pool.mNow));
    }
    SUBCASE("one at a time")
    {
      balancer.OnOrdered("s", pool.mNow);
      CHECK_FALSE(decide());
      pool.mNow += seconds(16);
      CHECK(decide());
    }
    SUBCASE("but two stay, because one may fail")
    {
      pool.mDirectory.Remove("p3", 2, pool.mNow);
      CHECK_FALSE(decide());
    }
  }
  SUBCASE("long prompts need prefill engines")
  {
    observe(20'000, 500);
    const auto change = decide();
    REQUIRE(change);
    CHECK(change->mRole == EndpointRole::Prefill);
    CHECK(change->mEndpoint != "d1");
    CHECK_FALSE(change->mMustDrain);
    // Guards against an order that makes a busy engine drop its runs, and
    // against pools that stay out of balance because no engine is ever idle.
    SUBCASE("and when all engines run streams, the one with the fewest runs "
            "has to end them first")
    {
      std::vector<StreamRun> runs;
      for (const std::string id :
           { "d1", "d2", "d3", "d4", "d5", "d6", "d1" }) {
        runs.push_back({ runs.size(), id, 20'000, 500, 10'000, pool.mNow });
      }
      pool.mRuns.SetPeer("p", runs);
      const auto drained = decide();
      REQUIRE(drained);
      CHECK(drained->mMustDrain);
      CHECK(drained->mEndpoint != "d1");
      CHECK(isStillValid(*drained));
    }
  }
  // A run that ends first takes an engine out of service for longer.
  SUBCASE("engines that run streams stay for a small gain")
  {
    observe(8000, 2600);
    std::vector<StreamRun> runs;
    for (const std::string id : { "d1", "d2", "d3", "d4", "d5", "d6" }) {
      runs.push_back({ runs.size(), id, 8000, 2600, 10'000, pool.mNow });
    }
    pool.mRuns.SetPeer("p", runs);
    CHECK_FALSE(decide());
    pool.mRuns.SetPeer("p", {});
    CHECK(decide());
  }
  // Guards against a pool that stays out of balancer because one engine of
  // many changes little.
  SUBCASE("in a large pool several follow each other")
  {
    for (int i = 0; i < 12; ++i) {
      pool.Add("q" + std::to_string(i), EndpointRole::Prefill, "x");
      pool.Add("e" + std::to_string(i), EndpointRole::Decode, "y");
    }
    observe(5000, 5000);
    int changed = 0;
    while (const auto change = decide()) {
      REQUIRE(changed < 15);
      CHECK(change->mRole == EndpointRole::Decode);
      pool.mDirectory.OnRoleOrdered(
        change->mEndpoint,
        { EndpointRole::Decode, pool.mNow + seconds(60) },
        pool.mNow);
      balancer.OnOrdered("s", pool.mNow);
      ++changed;
    }
    CHECK(changed > 3);
    // No more than half of a pool changes at once.
    CHECK(changed <= 7);
    // The engines that change are counted where they go.
    pool.mNow += seconds(16);
    while (const auto change = decide()) {
      REQUIRE(changed < 15);
      pool.mDirectory.OnRoleOrdered(
        change->mEndpoint,
        { EndpointRole::Decode, pool.mNow + seconds(60) },
        pool.mNow);
      balancer.OnOrdered("s", pool.mNow);
      ++changed;
    }
    CHECK(changed <= 12);
    pool.mNow += seconds(16);
    CHECK_FALSE(decide());
  }
  SUBCASE("pools in balance stay")
  {
    observe(5000, 3600);
    CHECK_FALSE(decide());
  }
}

} // namespace bulrushfold
