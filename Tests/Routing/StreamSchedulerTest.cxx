#include "Routing/StreamScheduler.h"

#include <algorithm>

#include <doctest/doctest.h>

#include "EnginePool.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

TEST_CASE("A stream starts when both kinds of engines have room")
{
  EnginePool pool;

  SUBCASE("it gets one engine of each kind, and both count it")
  {
    pool.Submit(1, 5000, 2000);
    REQUIRE(pool.Place() == std::vector<std::uint64_t>{ 1 });
    const StreamPlacement placement = pool.mPlacements[1];
    CHECK(placement.mPrefill.front() == 'p');
    CHECK(placement.mDecode.front() == 'd');
    CHECK(pool.mLoads.Total(placement.mPrefill).mPrefillTokens == 5000);
    CHECK(pool.mRuns.CountAt(placement.mDecode) == 1);
    pool.mScheduler.OnPrefillEnded(1, milliseconds(90));
    pool.mScheduler.OnDecodeEnded(1, pool.mNow);
    CHECK(pool.mLoads.OwnWorks().empty());
    CHECK(pool.mRuns.Own().empty());
  }
  SUBCASE("prefill engines are given two prompts at a time")
  {
    for (std::uint64_t i = 1; i <= 6; ++i) {
      pool.Submit(i, 5000, 2000);
    }
    CHECK(pool.Place().size() == 4);
    pool.mScheduler.OnPrefillEnded(1, milliseconds(90));
    CHECK(pool.Place().size() == 1);
  }
  SUBCASE("also when peers gave them")
  {
    pool.mLoads.SetPeer("p", { { "p1", { 2, 9000 } }, { "p2", { 1, 100 } } });
    pool.Submit(1, 5000, 2000);
    pool.Submit(2, 5000, 2000);
    CHECK(pool.Place().size() == 1);
    CHECK(pool.mPlacements.begin()->second.mPrefill == "p2");
  }
  // Engines that run out of memory stop runs and read their prompts again,
  // which delayed up to 20 streams each time.
  SUBCASE("decode engines are filled up to their memory only")
  {
    std::uint64_t placed = 0;
    for (std::uint64_t i = 1; i <= 60; ++i) {
      pool.Submit(i, 8000, 4000);
      for (const auto number : pool.Place()) {
        ++placed;
        pool.mScheduler.OnPrefillEnded(number, milliseconds(100));
        pool.mScheduler.OnDecodeStarted(number, pool.mNow);
      }
    }
    CHECK(placed >= 12);
    CHECK(placed <= 24);
    for (const std::string id : { "d1", "d2" }) {
      CHECK(pool.mRuns.CountAt(id) * 8000 <= kMemory);
    }
  }
  SUBCASE("runs of peers take memory too")
  {
    std::vector<StreamRun> runs;
    for (std::uint64_t i = 0; i < 12; ++i) {
      runs.push_back({ i, "d1", 8000, 4000, 10'000, pool.mNow });
    }
    pool.mRuns.SetPeer("p", runs);
    pool.Submit(1, 8000, 4000);
    pool.Place();
    CHECK(pool.mPlacements[1].mDecode == "d2");
    pool.mRuns.RemovePeer("p");
  }
  SUBCASE("a request larger than an engine is the engine's to refuse")
  {
    pool.Submit(1, 2 * kMemory, 100);
    CHECK(pool.Place().size() == 1);
  }
  SUBCASE("an engine that refused a reservation is left alone for a moment")
  {
    pool.Submit(1, 12'000, 5000);
    pool.mScheduler.OnReservationRefused("d1", 12'000, pool.mNow);
    pool.mScheduler.OnReservationRefused("d2", 12'000, pool.mNow);
    CHECK(pool.Place().empty());
    // What it refused shows how much others use.
    pool.mNow += milliseconds(100);
    CHECK(pool.Place().empty());
    pool.mNow += seconds(3);
    CHECK(pool.Place().size() == 1);
  }
  // 2,511 reservations went to a crashed engine that was still registered.
  // Guards against use that counts twice: as unknown and as a peer's.
  SUBCASE("use that a peer tells of later is no longer unknown")
  {
    pool.mDirectory.Remove("d2", 2, pool.mNow);
    pool.mScheduler.OnReservationRefused("d1", 1000, pool.mNow);
    pool.Submit(1, 3000, 1000);
    CHECK(pool.Place().empty());
    pool.mRuns.SetPeer("p",
                       { { 7, "d1", kMemory - 2000, 2000, 2000, pool.mNow } });
    CHECK(pool.Place().empty());
    pool.mRuns.SetPeer("p", {});
    pool.mNow += milliseconds(100);
    CHECK(pool.Place().size() == 1);
  }
  SUBCASE("an engine that cannot be reached is spared while another is sound")
  {
    pool.mHealth.OnResult("s", "d1", SendResult::ConnectFailed, pool.mNow);
    for (std::uint64_t i = 1; i <= 4; ++i) {
      pool.Run(i, 5000, 2000);
      CHECK(pool.mPlacements[i].mDecode == "d2");
    }
    pool.mHealth.OnResult("s", "d2", SendResult::ConnectFailed, pool.mNow);
    pool.Run(5, 5000, 2000);
  }
  // Guards against a stream that fails three times at the same dead engine
  // because the others are busy for a moment.
  SUBCASE("an engine at which the stream failed is spared as well")
  {
    pool.mLoads.SetPeer("p", { { "p2", { 2, 4000 } } });
    StreamDemand demand = pool.Demand(1, 1000, 1000);
    demand.mFailedEndpoints = { "p1" };
    pool.mScheduler.Submit(demand);
    CHECK(pool.Place().empty());
    pool.mLoads.SetPeer("p", {});
    REQUIRE(pool.Place().size() == 1);
    CHECK(pool.mPlacements[1].mPrefill == "p2");
  }
  SUBCASE("without prefill engines a decode engine reads one prompt at a time")
  {
    pool.mDirectory.Remove("p1", 2, pool.mNow);
    pool.mDirectory.Remove("p2", 2, pool.mNow);
    for (std::uint64_t i = 1; i <= 3; ++i) {
      pool.Submit(i, 5000, 2000);
    }
    CHECK(pool.Place().size() == 2);
    CHECK(pool.mPlacements[1].mPrefill.empty());
    CHECK(pool.Place().empty());
    pool.mScheduler.OnDecodeStarted(1, pool.mNow);
    pool.mNow += milliseconds(100);
    CHECK(pool.Place().size() == 1);
  }
}

TEST_CASE("Waiting streams go in the order that serves most")
{
  EnginePool pool;
  for (const std::string id : { "d1", "d2", "p1", "p2" }) {
    pool.mDirectory.Remove(id, 2, pool.mNow);
  }
  const auto open = [&] {
    pool.Add("d1", EndpointRole::Decode, "x");
    pool.Add("p1", EndpointRole::Prefill, "x");
    return pool.Place();
  };

  SUBCASE("short ones before long ones")
  {
    pool.Submit(1, 5000, 8000);
    pool.Submit(2, 5000, 1000);
    CHECK(open() == std::vector<std::uint64_t>{ 2, 1 });
  }
  SUBCASE("those that can be on time before late ones")
  {
    pool.Submit(1, 5000, 1000, milliseconds(100));
    pool.Submit(2, 5000, 8000);
    CHECK(open() == std::vector<std::uint64_t>{ 2, 1 });
  }
  SUBCASE("a withdrawn one does not go")
  {
    pool.Submit(1, 5000, 1000);
    CHECK(pool.mScheduler.Withdraw(1));
    CHECK_FALSE(pool.mScheduler.Withdraw(1));
    CHECK(open().empty());
  }
  SUBCASE("one that waited too long is given up")
  {
    pool.Submit(1, 5000, 1000);
    CHECK(pool.mScheduler.RemoveExpired(pool.mNow).empty());
    REQUIRE(pool.mScheduler.NextWake(pool.mNow));
    pool.mNow += seconds(3);
    CHECK(pool.mScheduler.RemoveExpired(pool.mNow) ==
          std::vector<std::uint64_t>{ 1 });
    CHECK_FALSE(pool.mScheduler.NextWake(pool.mNow));
  }
}

TEST_CASE("Runs move before their engine runs full")
{
  EnginePool pool;
  const auto peerRuns = [&](std::size_t aCount, Instant aStarted) {
    std::vector<StreamRun> runs;
    for (std::size_t i = 0; i < aCount; ++i) {
      runs.push_back({ i, "d1", 8000, 9000, 10'000, aStarted });
    }
    return runs;
  };
  pool.Run(1, 8000, 9000);
  pool.mScheduler.OnMoved(1, "d1");

  SUBCASE("not while there is room")
  {
    pool.mRuns.SetPeer("p", peerRuns(5, pool.mNow - seconds(1)));
    CHECK(pool.mScheduler.Rebalance(pool.mNow).empty());
  }
  SUBCASE("the newest run moves to an engine with room")
  {
    pool.mRuns.SetPeer("p", peerRuns(11, pool.mNow - seconds(1)));
    const auto moves = pool.mScheduler.Rebalance(pool.mNow);
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].mNumber == 1);
    CHECK(moves[0].mTarget == "d2");
    SUBCASE("and the effect is awaited")
    {
      CHECK(pool.mScheduler.Rebalance(pool.mNow).empty());
    }
  }
  SUBCASE("a newer run of a peer is the peer's to move")
  {
    pool.mRuns.SetPeer("p", peerRuns(11, pool.mNow + milliseconds(10)));
    CHECK(pool.mScheduler.Rebalance(pool.mNow).empty());
  }
  SUBCASE("a run with much to do leaves an engine that drains")
  {
    EndpointRecord draining = pool.Record("d1", EndpointRole::Decode, "x");
    draining.mIsDraining = true;
    pool.mDirectory.Put(draining, 2, pool.mNow);
    CHECK(pool.mScheduler.Rebalance(pool.mNow).size() == 1);
    // One that ends soon stays.
    CHECK(pool.mScheduler.Rebalance(pool.mNow + seconds(8)).empty());
  }
}

TEST_CASE("The memory forecast")
{
  const Instant now{ seconds(1000) };
  MemoryForecast forecast(1.5);
  const StreamRun fresh{ 1, "d", 5000, 4000, 10'000, now };
  const StreamRun old{ 2, "d", 5000, 4000, 10'000, now - seconds(2) };

  SUBCASE("grows with the tokens generated")
  {
    CHECK(forecast.NeedAfter({ &fresh }, Duration::zero(), now).mMean ==
          doctest::Approx(5000));
    CHECK(forecast.NeedAfter({ &old }, Duration::zero(), now).mMean ==
          doctest::Approx(8000));
    CHECK(forecast.NeedAfter({ &fresh }, milliseconds(200), now).mMean ==
          doctest::Approx(5300).epsilon(0.01));
  }
  SUBCASE("expects runs to end around their expected length")
  {
    const MemoryNeed need = forecast.NeedAfter({ &fresh }, seconds(6), now);
    CHECK(need.mMean < 2000);
    CHECK(need.mDeviation > 0);
  }
  SUBCASE("knows that no answer exceeds the most that is allowed")
  {
    const MemoryNeed need = forecast.NeedAfter({ &fresh }, seconds(7), now);
    CHECK(need.mMean == 0);
    // A run that outlives every expectation still holds its memory.
    const StreamRun late{ 3, "d", 5000, 4000, 10'000, now - seconds(60) };
    CHECK(forecast.NeedAfter({ &late }, Duration::zero(), now).mMean ==
          doctest::Approx(15'000).epsilon(0.01));
  }
  SUBCASE("peaks at least at the present need")
  {
    CHECK(forecast.Peak({ &fresh, &old }, 1, now) >= 13'000);
    CHECK(forecast.Peak({}, 1, now) == 0);
  }
}

} // namespace bulrushfold
