#include "Routing/CachedPrompts.h"
#include "Routing/LocalPrefillTurns.h"

#include <set>

#include <doctest/doctest.h>

#include "EnginePool.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kKey = 42;
} // namespace

TEST_CASE("Where the prompt of a stream that broke off is kept")
{
  const Instant now{ seconds(1000) };
  StreamRuns runs;
  CachedPrompts kept(runs);
  CHECK(kept.Find(kKey, now).empty());

  SUBCASE("is known from this daemon's runs for a while")
  {
    kept.OnInterrupted({ kKey, "d1", 5000, now });
    REQUIRE(kept.Find(kKey, now + seconds(5)).size() == 1);
    CHECK(kept.Find(kKey, now)[0].mEndpoint == "d1");
    CHECK(kept.Own(now).size() == 1);
    CHECK(kept.Find(7, now).empty());
    CHECK(kept.Find(kKey, now + seconds(9)).empty());
    CHECK(kept.Own(now + seconds(9)).empty());
  }
  SUBCASE("from what peers tell")
  {
    kept.SetPeer("p", { { kKey, "d2", 5000, now } });
    CHECK(kept.Find(kKey, now).size() == 1);
    CHECK(kept.Own(now).empty());
    kept.RemovePeer("p");
    CHECK(kept.Find(kKey, now).empty());
  }
  // Guards against the time until a killed daemon counts as silent.
  SUBCASE("from the runs that a peer told of last")
  {
    runs.SetPeer("p", { { 1, "d3", 5000, 900, 9000, now, kKey } });
    REQUIRE(kept.Find(kKey, now).size() == 1);
    CHECK(kept.Find(kKey, now)[0].mEndpoint == "d3");
  }
  SUBCASE("from what an engine lists, which replaces its list before")
  {
    kept.OnListed("d1", { { kKey, 5000 }, { 9, 100 } }, now);
    CHECK(kept.Find(kKey, now).size() == 1);
    kept.OnListed("d1", { { 9, 100 } }, now);
    CHECK(kept.Find(kKey, now).empty());
  }
  SUBCASE("and the engine that has most of it comes first")
  {
    kept.OnInterrupted({ kKey, "d1", 3000, now });
    kept.OnListed("d2", { { kKey, 5000 } }, now);
    kept.OnListed("d1", { { kKey, 2000 } }, now);
    const auto found = kept.Find(kKey, now);
    REQUIRE(found.size() == 2);
    CHECK(found[0].mEndpoint == "d2");
    CHECK(found[1].mTokens == 3000);
  }
  SUBCASE("is not known of a prompt without a key")
  {
    kept.OnInterrupted({ 0, "d1", 3000, now });
    CHECK(kept.Find(0, now).empty());
  }
  SUBCASE("is bounded")
  {
    for (std::uint64_t i = 1; i <= 1000; ++i) {
      kept.OnInterrupted({ i, "d1", 3000, now });
    }
    CHECK(kept.Own(now).size() <= 256);
    CHECK(kept.Find(1000, now).size() == 1);
  }
}

TEST_CASE("Daemons take turns at an engine that computes for resumed streams")
{
  const std::set<std::string> names{ "a", "b", "c", "d", "e", "f" };
  const Instant start{ seconds(1000) };

  // Guards against streams of two daemons that stop an engine's runs together.
  SUBCASE("each at another moment, far enough apart to hear of the others")
  {
    std::set<Instant> turns;
    for (const auto& it : names) {
      EndpointLoads loads;
      LocalPrefillTurns daemon(loads, it);
      std::vector<std::string> peers(names.begin(), names.end());
      peers.erase(std::find(peers.begin(), peers.end(), it));
      daemon.SetPeers(peers, milliseconds(5));
      turns.insert(daemon.NextTurn("d1", start, start));
    }
    REQUIRE(turns.size() == 6);
    CHECK(*turns.begin() == start);
    for (auto it = std::next(turns.begin()); it != turns.end(); ++it) {
      CHECK(*it - *std::prev(it) >= milliseconds(10));
    }
    CHECK(*turns.rbegin() - start <= milliseconds(200));
  }
  SUBCASE("also in a large fleet, within a second")
  {
    EndpointLoads loads;
    LocalPrefillTurns daemon(loads, "z");
    std::vector<std::string> peers;
    peers.reserve(77);
    for (int i = 0; i < 77; ++i) {
      peers.push_back("front-" + std::to_string(i));
    }
    daemon.SetPeers(peers, milliseconds(77));
    CHECK(daemon.NextTurn("d1", start, start) - start <= seconds(1));
  }
  SUBCASE("not while one computes, and after a pause for its runs")
  {
    EndpointLoads loads;
    LocalPrefillTurns daemon(loads, "a");
    daemon.Update("d1", start);
    CHECK(daemon.NextTurn("d1", start, start) == start);
    loads.SetPeer("b", { { "d1", { 1, 4000 } } });
    daemon.Update("d1", start + milliseconds(10));
    CHECK(daemon.NextTurn("d1", start, start + milliseconds(10)) >
          start + milliseconds(10));
    loads.SetPeer("b", {});
    const Instant end = start + milliseconds(150);
    daemon.Update("d1", end);
    CHECK(daemon.NextTurn("d1", start, end) >= end + milliseconds(70));
    CHECK(daemon.NextTurn("d1", start, end) <= end + milliseconds(100));
    CHECK(daemon.NextTurn("d2", start, end) == start);
  }
}

// After all daemons were killed, 47 callers came back at once. Seven decode
// engines computed what six streams each had generated, and the pauses of 400
// to 600 ms made all their other runs late.
TEST_CASE("A resumed stream makes its decode engine compute what it generated")
{
  EnginePool pool;
  const auto submit = [&](std::uint64_t aNumber, std::uint64_t aGenerated) {
    StreamDemand demand = pool.Demand(aNumber, 3000, 1000);
    demand.mGeneratedTokens = aGenerated;
    demand.mWasInterrupted = true;
    demand.mPromptKey = aNumber;
    demand.mFirstEventDeadline = pool.mNow;
    pool.mScheduler.Submit(demand);
  };
  const auto begin = [&](std::uint64_t aNumber) {
    pool.mScheduler.OnPrefillEnded(aNumber, milliseconds(60));
    pool.mScheduler.OnDecodeStarted(aNumber, pool.mNow);
  };

  SUBCASE("so each engine takes one at a time")
  {
    for (std::uint64_t i = 1; i <= 3; ++i) {
      submit(i, 4000);
    }
    REQUIRE(pool.Place() == std::vector<std::uint64_t>{ 1, 2 });
    CHECK(pool.mPlacements[1].mDecode != pool.mPlacements[2].mDecode);
    CHECK(pool.Place().empty());

    SUBCASE("and lets its runs go on before the next one")
    {
      begin(1);
      CHECK(pool.Place().empty());
      pool.mNow += milliseconds(100);
      CHECK(pool.Place() == std::vector<std::uint64_t>{ 3 });
      CHECK(pool.mPlacements[3].mDecode == pool.mPlacements[1].mDecode);
    }
    SUBCASE("also when the first one fails")
    {
      pool.mScheduler.OnPrefillEnded(2, Duration::zero());
      pool.mScheduler.OnDecodeEnded(2, pool.mNow);
      pool.mNow += milliseconds(100);
      CHECK(pool.Place() == std::vector<std::uint64_t>{ 3 });
    }
    SUBCASE("while streams that begin are not held up")
    {
      pool.mScheduler.OnPrefillEnded(1, milliseconds(60));
      pool.Submit(4, 5000, 2000);
      CHECK(pool.Place() == std::vector<std::uint64_t>{ 4 });
    }
  }
  SUBCASE("also when a peer's stream is computed there")
  {
    pool.mLoads.SetPeer("p", { { "d1", { 1, 4000 } }, { "d2", { 1, 4000 } } });
    submit(1, 4000);
    CHECK(pool.Place().empty());
    pool.mLoads.SetPeer("p", {});
    CHECK(pool.Place().empty());
    pool.mNow += milliseconds(100);
    CHECK(pool.Place().size() == 1);
  }
  SUBCASE("without a prefill at the engine that kept its prompt")
  {
    pool.mKept.OnInterrupted({ 1, "d2", 3000, pool.mNow });
    submit(1, 4000);
    REQUIRE(pool.Place().size() == 1);
    CHECK(pool.mPlacements[1].mDecode == "d2");
    CHECK(pool.mPlacements[1].mPrefill.empty());
    CHECK(pool.mPlacements[1].mCachedTokens == 3000);
    CHECK(pool.mLoads.Total("d2").mPrefillTokens == 4000);

    SUBCASE("for whose turn it waits")
    {
      pool.mKept.OnInterrupted({ 2, "d2", 3000, pool.mNow });
      submit(2, 4000);
      CHECK(pool.Place().empty());
      begin(1);
      pool.mNow += milliseconds(100);
      REQUIRE(pool.Place().size() == 1);
      CHECK(pool.mPlacements[2].mDecode == "d2");
    }
  }
  // A stream whose engine broke it off has 300 ms to go on.
  SUBCASE("unless it can be on time elsewhere")
  {
    pool.mKept.OnInterrupted({ 1, "d2", 3000, pool.mNow });
    pool.mLoads.SetPeer("p", { { "d2", { 1, 4000 } } });
    StreamDemand demand = pool.Demand(1, 3000, 1000, milliseconds(300));
    demand.mGeneratedTokens = 4000;
    demand.mWasInterrupted = true;
    demand.mPromptKey = 1;
    pool.mScheduler.Submit(demand);
    REQUIRE(pool.Place().size() == 1);
    CHECK(pool.mPlacements[1].mDecode == "d1");
  }
  SUBCASE("but elsewhere with a prefill")
  {
    pool.mKept.OnInterrupted({ 1, "d2", 3000, pool.mNow });
    SUBCASE("if that engine leaves")
    {
      EndpointRecord record = pool.Record("d2", EndpointRole::Decode, "y");
      record.mIsDraining = true;
      pool.mDirectory.Put(record, 2, pool.mNow);
    }
    SUBCASE("if it prefills now")
    {
      pool.mDirectory.Put(
        pool.Record("d2", EndpointRole::Prefill, "y"), 2, pool.mNow);
    }
    SUBCASE("if it is full")
    {
      pool.mScheduler.OnReservationRefused("d2", 3000, pool.mNow);
    }
    SUBCASE("if it cannot be reached")
    {
      pool.mHealth.OnResult("s", "d2", SendResult::ConnectFailed, pool.mNow);
    }
    submit(1, 4000);
    REQUIRE(pool.Place().size() == 1);
    CHECK(pool.mPlacements[1].mDecode == "d1");
    CHECK_FALSE(pool.mPlacements[1].mPrefill.empty());
    CHECK(pool.mPlacements[1].mCachedTokens == 0);
  }
  SUBCASE("and a small part that was kept is not worth a way round")
  {
    pool.mKept.OnInterrupted({ 1, "d2", 1000, pool.mNow });
    submit(1, 4000);
    REQUIRE(pool.Place().size() == 1);
    CHECK_FALSE(pool.mPlacements[1].mPrefill.empty());
  }
  SUBCASE("and its memory counts from the start")
  {
    submit(1, 4000);
    REQUIRE(pool.Place().size() == 1);
    CHECK(pool.mRuns.At(pool.mPlacements[1].mDecode)[0]->mPromptTokens == 7000);
  }
  SUBCASE("but a few events are no matter")
  {
    for (std::uint64_t i = 1; i <= 3; ++i) {
      submit(i, 200);
    }
    CHECK(pool.Place().size() == 3);
  }
}

} // namespace bulrushfold
