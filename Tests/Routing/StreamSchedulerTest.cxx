#include "Routing/StreamScheduler.h"

#include <algorithm>

#include <doctest/doctest.h>

#include "EnginePool.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

TEST_CASE("A stream is placed when engines of both pools have capacity")
{
  EnginePool pool;

  SUBCASE("a stream gets one engine of each pool, and both count it")
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
  SUBCASE("a prefill engine gets at most two prompts at a time")
  {
    for (std::uint64_t i = 1; i <= 6; ++i) {
      pool.Submit(i, 5000, 2000);
    }
    CHECK(pool.Place().size() == 4);
    pool.mScheduler.OnPrefillEnded(1, milliseconds(90));
    CHECK(pool.Place().size() == 1);
  }
  SUBCASE("prompts of peers at a prefill engine count too")
  {
    pool.mLoads.SetPeer("p", { { "p1", { 2, 9000 } }, { "p2", { 1, 100 } } });
    pool.Submit(1, 5000, 2000);
    pool.Submit(2, 5000, 2000);
    CHECK(pool.Place().size() == 1);
    CHECK(pool.mPlacements.begin()->second.mPrefill == "p2");
  }
  // Guards against placing too many runs on an engine. An engine that runs out
  // of memory stops runs and computes their prompts again, which delayed up to
  // 20 streams each time.
  SUBCASE("decode engines get no more runs than fit into their memory")
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
      CHECK(pool.mRuns.CountAt(id) * 8000 <= kEngineMemory);
    }
  }
  SUBCASE("runs of peers count as used memory too")
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
  SUBCASE("a request larger than an engine is placed and left to the engine")
  {
    pool.Submit(1, 2 * kEngineMemory, 100);
    CHECK(pool.Place().size() == 1);
  }
  SUBCASE("an engine that refused a reservation gets no stream for a time")
  {
    pool.Submit(1, 12'000, 5000);
    pool.mScheduler.OnReservationRefused("d1", 12'000, pool.mNow);
    pool.mScheduler.OnReservationRefused("d2", 12'000, pool.mNow);
    CHECK(pool.Place().empty());
    // The refusal shows that runs that no daemon reports use the memory.
    pool.mNow += milliseconds(100);
    CHECK(pool.Place().empty());
    pool.mNow += seconds(3);
    CHECK(pool.Place().size() == 1);
  }
  // Guards against counting memory use twice: as unaccounted and as a peer's.
  SUBCASE("memory use that a peer reports later does not count twice")
  {
    pool.mDirectory.Remove("d2", 2, pool.mNow);
    pool.mScheduler.OnReservationRefused("d1", 1000, pool.mNow);
    pool.Submit(1, 3000, 1000);
    CHECK(pool.Place().empty());
    pool.mRuns.SetPeer(
      "p", { { 7, "d1", kEngineMemory - 2000, 2000, 2000, pool.mNow } });
    CHECK(pool.Place().empty());
    pool.mRuns.SetPeer("p", {});
    pool.mNow += milliseconds(100);
    CHECK(pool.Place().size() == 1);
  }
  // Guards against placing streams on a crashed engine that is still
  // registered: 2,511 reservations were sent to one.
  SUBCASE("an unreachable engine is avoided while another one is healthy")
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
  // because the others are busy at that time.
  SUBCASE("an engine at which the stream failed is avoided too")
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
  SUBCASE(
    "without prefill engines a decode engine computes one prompt at a time")
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

TEST_CASE(
  "Waiting streams are placed in the order that serves most of them in time")
{
  EnginePool pool;
  for (const std::string id : { "d1", "d2", "p1", "p2" }) {
    pool.mDirectory.Remove(id, 2, pool.mNow);
  }
  const auto addEngines = [&] {
    pool.Add("d1", EndpointRole::Decode, "x");
    pool.Add("p1", EndpointRole::Prefill, "x");
    return pool.Place();
  };

  SUBCASE("short streams are placed before long ones")
  {
    pool.Submit(1, 5000, 8000);
    pool.Submit(2, 5000, 1000);
    CHECK(addEngines() == std::vector<std::uint64_t>{ 2, 1 });
  }
  SUBCASE("streams that can be on time are placed before late ones")
  {
    pool.Submit(1, 5000, 1000, milliseconds(100));
    pool.Submit(2, 5000, 8000);
    CHECK(addEngines() == std::vector<std::uint64_t>{ 2, 1 });
  }
  SUBCASE("a withdrawn stream is not placed")
  {
    pool.Submit(1, 5000, 1000);
    CHECK(pool.mScheduler.Withdraw(1));
    CHECK_FALSE(pool.mScheduler.Withdraw(1));
    CHECK(addEngines().empty());
  }
  SUBCASE("a stream that waited too long is removed")
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

// Guards against streams that wait in the queue for engines that all leave.
TEST_CASE("Streams are not queued when all decode engines leave")
{
  EnginePool pool;
  pool.mDirectory.OnLeavingAnnounced("d1", 0);
  pool.Submit(1, 5000, 1000);
  CHECK(pool.mScheduler.RemoveUnservable(pool.mNow).empty());
  CHECK(pool.Place() == std::vector<std::uint64_t>{ 1 });
  CHECK(pool.mPlacements[1].mDecode == "d2");

  pool.mDirectory.OnLeavingAnnounced("d2", 0);
  pool.Submit(2, 5000, 1000);
  StreamDemand resumed = pool.Demand(3, 5000, 1000);
  resumed.mWasInterrupted = true;
  pool.mScheduler.Submit(resumed);
  CHECK(pool.mScheduler.RemoveUnservable(pool.mNow) ==
        std::vector<UnservableStream>{ { 2, Duration::zero() } });
  CHECK(pool.Place().empty());
  // The resumed stream waits for an engine that is added.
  pool.Add("d3", EndpointRole::Decode, "x");
  CHECK(pool.Place() == std::vector<std::uint64_t>{ 3 });
}

// Guards against streams at engines that asked for none, and against streams
// that wait although no engine accepts them in time.
TEST_CASE("Streams are not placed at engines that back off")
{
  EnginePool pool;
  pool.mDirectory.OnBackoffRequested("d1", 0, pool.mNow + milliseconds(400));
  pool.Submit(1, 5000, 1000);
  CHECK(pool.Place() == std::vector<std::uint64_t>{ 1 });
  CHECK(pool.mPlacements[1].mDecode == "d2");
  pool.mDirectory.OnBackoffRequested("d2", 0, pool.mNow + seconds(2));

  SUBCASE("a stream waits when one accepts it in time")
  {
    pool.Submit(2, 5000, 1000);
    CHECK(pool.mScheduler.RemoveUnservable(pool.mNow).empty());
    CHECK(pool.Place().empty());
    pool.mNow += milliseconds(400);
    pool.mDirectory.Expire(pool.mNow);
    CHECK(pool.Place() == std::vector<std::uint64_t>{ 2 });
    CHECK(pool.mPlacements[2].mDecode == "d1");
  }
  SUBCASE("a stream is refused at once when none accepts it in time")
  {
    pool.Submit(2, 5000, 1000, milliseconds(500));
    CHECK(pool.mScheduler.RemoveUnservable(pool.mNow) ==
          std::vector<UnservableStream>{ { 2, milliseconds(400) } });
  }
  SUBCASE("prompts are not prefilled at engines that back off")
  {
    pool.mDirectory.Expire(pool.mNow + seconds(2));
    pool.mDirectory.OnBackoffRequested("p1", 0, pool.mNow + seconds(5));
    for (std::uint64_t i = 2; i < 4; ++i) {
      pool.Submit(i, 5000, 1000);
      REQUIRE(pool.Place() == std::vector{ i });
      CHECK(pool.mPlacements[i].mPrefill == "p2");
      pool.mScheduler.OnPrefillEnded(i, milliseconds(100));
    }
  }
}

TEST_CASE("Runs move before their engine is out of memory")
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

  SUBCASE("no run moves while the engine has enough memory")
  {
    pool.mRuns.SetPeer("p", peerRuns(5, pool.mNow - seconds(1)));
    CHECK(pool.mScheduler.Rebalance(pool.mNow).empty());
  }
  SUBCASE("the newest run moves to an engine with enough memory")
  {
    pool.mRuns.SetPeer("p", peerRuns(11, pool.mNow - seconds(1)));
    const auto moves = pool.mScheduler.Rebalance(pool.mNow);
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].mNumber == 1);
    CHECK(moves[0].mTarget == "d2");
    SUBCASE("the next move waits for the effect of this one")
    {
      CHECK(pool.mScheduler.Rebalance(pool.mNow).empty());
    }
  }
  SUBCASE("a newer run of a peer is left for the peer to move")
  {
    pool.mRuns.SetPeer("p", peerRuns(11, pool.mNow + milliseconds(10)));
    CHECK(pool.mScheduler.Rebalance(pool.mNow).empty());
  }
  SUBCASE("a run that is not expected to end soon moves from a draining engine")
  {
    EndpointRecord draining = pool.Record("d1", EndpointRole::Decode, "x");
    draining.mIsDraining = true;
    pool.mDirectory.Put(draining, 2, pool.mNow);
    CHECK(pool.mScheduler.Rebalance(pool.mNow).size() == 1);
    // A run that is expected to end soon stays.
    CHECK(pool.mScheduler.Rebalance(pool.mNow + seconds(8)).empty());
  }
  // A move is a call to the source as well.
  SUBCASE("no run moves from or to an engine that backs off")
  {
    pool.mRuns.SetPeer("p", peerRuns(11, pool.mNow - seconds(1)));
    SUBCASE("as the source")
    {
      pool.mDirectory.OnBackoffRequested("d1", 0, pool.mNow + seconds(1));
      CHECK(pool.mScheduler.Rebalance(pool.mNow).empty());
    }
    SUBCASE("as the target")
    {
      pool.mDirectory.OnBackoffRequested("d2", 0, pool.mNow + seconds(1));
      CHECK(pool.mScheduler.Rebalance(pool.mNow).empty());
    }
  }
  SUBCASE("and from an engine whose answer stated that it leaves")
  {
    pool.mDirectory.OnLeavingAnnounced("d1", 0);
    CHECK(pool.mScheduler.Rebalance(pool.mNow).size() == 1);
  }
}

TEST_CASE("The memory forecast predicts the growth and the end of runs")
{
  const Instant now{ seconds(1000) };
  MemoryForecast forecast(1.5);
  const StreamRun fresh{ 1, "d", 5000, 4000, 10'000, now };
  const StreamRun old{ 2, "d", 5000, 4000, 10'000, now - seconds(2) };

  SUBCASE("the need grows with the generated tokens")
  {
    CHECK(forecast.NeedAfter({ &fresh }, Duration::zero(), now).mMean ==
          doctest::Approx(5000));
    CHECK(forecast.NeedAfter({ &old }, Duration::zero(), now).mMean ==
          doctest::Approx(8000));
    CHECK(forecast.NeedAfter({ &fresh }, milliseconds(200), now).mMean ==
          doctest::Approx(5300).epsilon(0.01));
  }
  SUBCASE("runs are expected to end around their expected length")
  {
    const MemoryNeed need = forecast.NeedAfter({ &fresh }, seconds(6), now);
    CHECK(need.mMean < 2000);
    CHECK(need.mDeviation > 0);
  }
  SUBCASE("no answer is expected to exceed its maximum length")
  {
    const MemoryNeed need = forecast.NeedAfter({ &fresh }, seconds(7), now);
    CHECK(need.mMean == 0);
    // A run that lasts longer than expected still uses its memory.
    const StreamRun late{ 3, "d", 5000, 4000, 10'000, now - seconds(60) };
    CHECK(forecast.NeedAfter({ &late }, Duration::zero(), now).mMean ==
          doctest::Approx(15'000).epsilon(0.01));
  }
  SUBCASE("the peak is at least the present need")
  {
    CHECK(forecast.Peak({ &fresh, &old }, 1, now) >= 13'000);
    CHECK(forecast.Peak({}, 1, now) == 0);
  }
}

} // namespace bulrushfold
