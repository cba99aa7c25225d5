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
  profile.mMemoryTokens = kEngineMemory;
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
  /** Makes three decisions, which is the number that must agree. */
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

  SUBCASE("no role changes before streams were sampled")
  {
    CHECK_FALSE(decide());
  }
  SUBCASE("long answers move an engine to the decode pool")
  {
    observe(5000, 5000);
    const auto change = decide();
    REQUIRE(change);
    CHECK(change->mRole == EndpointRole::Decode);
    // The engine is chosen from the failure domain that has two.
    CHECK((change->mEndpoint == "p1" || change->mEndpoint == "p3"));
    CHECK(change->mRateAfter > change->mRateBefore);
    CHECK_FALSE(change->mMustDrain);
    // Guards against an order that was decided before an outage of the store
    // and is sent after it, although it is no longer useful.
    SUBCASE("a decision is dropped when it is no longer valid")
    {
      CHECK(isStillValid(*change));
      SUBCASE("the streams have changed")
      {
        for (int i = 0; i < 10; ++i) {
          observe(20'000, 500);
        }
      }
      SUBCASE("another prefill engine was removed")
      {
        pool.mDirectory.Remove(
          change->mEndpoint == "p1" ? "p3" : "p1", 2, pool.mNow);
      }
      SUBCASE("another prefill engine is missing in the registry")
      {
        pool.mDirectory.OnRegistryRecovered(pool.mNow);
        pool.mDirectory.Remove("p2", 2, pool.mNow);
      }
      SUBCASE("another prefill engine refuses all work")
      {
        pool.mHealth.OnResult("s", "p2", SendResult::Unready, pool.mNow);
      }
      SUBCASE("the engine drains")
      {
        EndpointRecord record =
          pool.Record(change->mEndpoint, EndpointRole::Prefill, "x");
        record.mIsDraining = true;
        pool.mDirectory.Put(record, 2, pool.mNow);
      }
      CHECK_FALSE(isStillValid(*change));
    }
    SUBCASE("three successive decisions must agree")
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
    // Guards against role changes of a service's engines that are decided from
    // the streams of another service.
    SUBCASE("the streams of another service do not count")
    {
      CHECK_FALSE(balancer.Decide("other", profile, 1.5, 55, pool.mNow));
    }
    SUBCASE("the next change waits for the effect of the last one")
    {
      balancer.OnOrdered("s", pool.mNow);
      CHECK_FALSE(decide());
      pool.mNow += seconds(16);
      CHECK(decide());
    }
    SUBCASE("two prefill engines remain, because one may fail")
    {
      pool.mDirectory.Remove("p3", 2, pool.mNow);
      CHECK_FALSE(decide());
    }
  }
  SUBCASE("long prompts move an engine to the prefill pool")
  {
    observe(20'000, 500);
    const auto change = decide();
    REQUIRE(change);
    CHECK(change->mRole == EndpointRole::Prefill);
    CHECK(change->mEndpoint != "d1");
    CHECK_FALSE(change->mMustDrain);
    // Guards against an order that makes a busy engine drop its runs, and
    // against pools that stay out of balance because no engine is ever idle.
    SUBCASE("when all engines have runs, the one with the fewest must drain "
            "first")
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
  // Guards against changes that cost more than they gain: an engine whose runs
  // must end first is out of service for longer.
  SUBCASE("engines with runs do not change for a small gain")
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
  // Guards against a large pool that stays unbalanced for long because engines
  // change one at a time.
  SUBCASE("several engines of a large pool change in one batch")
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
    // At most half of a pool changes in one batch.
    CHECK(changed <= 7);
    // Engines whose role is changing count in their new pool.
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
  SUBCASE("balanced pools do not change")
  {
    observe(5000, 3600);
    CHECK_FALSE(decide());
  }
}

} // namespace bulrushfold
