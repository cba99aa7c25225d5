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

TEST_CASE(
  "The engines that cache the prompt of an interrupted stream are found")
{
  const Instant now{ seconds(1000) };
  StreamRuns runs;
  CachedPrompts cachedPrompts(runs);
  CHECK(cachedPrompts.Find(kKey, now).empty());

  SUBCASE("an interrupted run of this daemon is listed until it expires")
  {
    cachedPrompts.OnInterrupted({ kKey, "d1", 5000, now });
    REQUIRE(cachedPrompts.Find(kKey, now + seconds(5)).size() == 1);
    CHECK(cachedPrompts.Find(kKey, now)[0].mEndpoint == "d1");
    CHECK(cachedPrompts.Own(now).size() == 1);
    CHECK(cachedPrompts.Find(7, now).empty());
    CHECK(cachedPrompts.Find(kKey, now + seconds(9)).empty());
    CHECK(cachedPrompts.Own(now + seconds(9)).empty());
  }
  SUBCASE("prompts that peers report are found")
  {
    cachedPrompts.SetPeer("p", { { kKey, "d2", 5000, now } });
    CHECK(cachedPrompts.Find(kKey, now).size() == 1);
    CHECK(cachedPrompts.Own(now).empty());
    cachedPrompts.RemovePeer("p");
    CHECK(cachedPrompts.Find(kKey, now).empty());
  }
  // Guards against losing the caches of a killed daemon's runs in the time
  // until its peers detect that it is dead.
  SUBCASE("the runs that a peer reported last are found")
  {
    runs.SetPeer("p", { { 1, "d3", 5000, 900, 9000, now, kKey } });
    REQUIRE(cachedPrompts.Find(kKey, now).size() == 1);
    CHECK(cachedPrompts.Find(kKey, now)[0].mEndpoint == "d3");
  }
  SUBCASE("a new cache list of an engine replaces the earlier one")
  {
    cachedPrompts.OnListed("d1", { { kKey, 5000 }, { 9, 100 } }, now);
    CHECK(cachedPrompts.Find(kKey, now).size() == 1);
    cachedPrompts.OnListed("d1", { { 9, 100 } }, now);
    CHECK(cachedPrompts.Find(kKey, now).empty());
  }
  SUBCASE("the engine with the most cached tokens comes first")
  {
    cachedPrompts.OnInterrupted({ kKey, "d1", 3000, now });
    cachedPrompts.OnListed("d2", { { kKey, 5000 } }, now);
    cachedPrompts.OnListed("d1", { { kKey, 2000 } }, now);
    const auto found = cachedPrompts.Find(kKey, now);
    REQUIRE(found.size() == 2);
    CHECK(found[0].mEndpoint == "d2");
    CHECK(found[1].mTokens == 3000);
  }
  SUBCASE("a prompt without a key is not found")
  {
    cachedPrompts.OnInterrupted({ 0, "d1", 3000, now });
    CHECK(cachedPrompts.Find(0, now).empty());
  }
  SUBCASE("the number of interrupted runs is limited")
  {
    for (std::uint64_t i = 1; i <= 1000; ++i) {
      cachedPrompts.OnInterrupted({ i, "d1", 3000, now });
    }
    CHECK(cachedPrompts.Own(now).size() <= 256);
    CHECK(cachedPrompts.Find(1000, now).size() == 1);
  }
}

TEST_CASE("Daemons start local prefills at an engine in turns")
{
  const std::set<std::string> names{ "a", "b", "c", "d", "e", "f" };
  const Instant start{ seconds(1000) };

  // Guards against local prefills of two daemons that stall an engine's runs
  // one directly after the other.
  SUBCASE("the turns are far enough apart to receive updates of the others")
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
  SUBCASE("all turns of a large fleet lie within a second")
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
  SUBCASE("a turn waits for the present local prefill and a pause after it")
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

// Guards against simultaneous local prefills for many resumed streams. After
// all daemons were killed, 47 callers retried at once. Each of seven decode
// engines computed the generated tokens of six streams, and the resulting
// stalls of 400 to 600 ms made all their other runs late.
TEST_CASE(
  "A resumed stream needs a local prefill of the tokens generated before")
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

  SUBCASE("each engine starts one such stream at a time")
  {
    for (std::uint64_t i = 1; i <= 3; ++i) {
      submit(i, 4000);
    }
    REQUIRE(pool.Place() == std::vector<std::uint64_t>{ 1, 2 });
    CHECK(pool.mPlacements[1].mDecode != pool.mPlacements[2].mDecode);
    CHECK(pool.Place().empty());

    SUBCASE("the next stream starts after a pause for the runs")
    {
      begin(1);
      CHECK(pool.Place().empty());
      pool.mNow += milliseconds(100);
      CHECK(pool.Place() == std::vector<std::uint64_t>{ 3 });
      CHECK(pool.mPlacements[3].mDecode == pool.mPlacements[1].mDecode);
    }
    SUBCASE("the next stream starts after the first one failed")
    {
      pool.mScheduler.OnPrefillEnded(2, Duration::zero());
      pool.mScheduler.OnDecodeEnded(2, pool.mNow);
      pool.mNow += milliseconds(100);
      CHECK(pool.Place() == std::vector<std::uint64_t>{ 3 });
    }
    SUBCASE("new streams need not wait for a turn")
    {
      pool.mScheduler.OnPrefillEnded(1, milliseconds(60));
      pool.Submit(4, 5000, 2000);
      CHECK(pool.Place() == std::vector<std::uint64_t>{ 4 });
    }
  }
  SUBCASE("a local prefill of a peer's stream counts too")
  {
    pool.mLoads.SetPeer("p", { { "d1", { 1, 4000 } }, { "d2", { 1, 4000 } } });
    submit(1, 4000);
    CHECK(pool.Place().empty());
    pool.mLoads.SetPeer("p", {});
    CHECK(pool.Place().empty());
    pool.mNow += milliseconds(100);
    CHECK(pool.Place().size() == 1);
  }
  SUBCASE("the engine that caches the prompt is used without a prefill engine")
  {
    pool.mCachedPrompts.OnInterrupted({ 1, "d2", 3000, pool.mNow });
    submit(1, 4000);
    REQUIRE(pool.Place().size() == 1);
    CHECK(pool.mPlacements[1].mDecode == "d2");
    CHECK(pool.mPlacements[1].mPrefill.empty());
    CHECK(pool.mPlacements[1].mCachedTokens == 3000);
    CHECK(pool.mLoads.Total("d2").mPrefillTokens == 4000);

    SUBCASE("a late stream waits for its turn at that engine")
    {
      pool.mCachedPrompts.OnInterrupted({ 2, "d2", 3000, pool.mNow });
      submit(2, 4000);
      CHECK(pool.Place().empty());
      begin(1);
      pool.mNow += milliseconds(100);
      REQUIRE(pool.Place().size() == 1);
      CHECK(pool.mPlacements[2].mDecode == "d2");
    }
  }
  // A stream that its engine interrupted must resume within 300 ms.
  SUBCASE("another engine is used when the stream can be on time there")
  {
    pool.mCachedPrompts.OnInterrupted({ 1, "d2", 3000, pool.mNow });
    pool.mLoads.SetPeer("p", { { "d2", { 1, 4000 } } });
    StreamDemand demand = pool.Demand(1, 3000, 1000, milliseconds(300));
    demand.mGeneratedTokens = 4000;
    demand.mWasInterrupted = true;
    demand.mPromptKey = 1;
    pool.mScheduler.Submit(demand);
    REQUIRE(pool.Place().size() == 1);
    CHECK(pool.mPlacements[1].mDecode == "d1");
  }
  SUBCASE(
    "another engine and a prefill are used if the caching engine is unusable")
  {
    pool.mCachedPrompts.OnInterrupted({ 1, "d2", 3000, pool.mNow });
    SUBCASE("the caching engine drains")
    {
      EndpointRecord record = pool.Record("d2", EndpointRole::Decode, "y");
      record.mIsDraining = true;
      pool.mDirectory.Put(record, 2, pool.mNow);
    }
    SUBCASE("the caching engine has become a prefill engine")
    {
      pool.mDirectory.Put(
        pool.Record("d2", EndpointRole::Prefill, "y"), 2, pool.mNow);
    }
    SUBCASE("the caching engine is out of memory")
    {
      pool.mScheduler.OnReservationRefused("d2", 3000, pool.mNow);
    }
    SUBCASE("the caching engine cannot be reached")
    {
      pool.mHealth.OnResult("s", "d2", SendResult::ConnectFailed, pool.mNow);
    }
    submit(1, 4000);
    REQUIRE(pool.Place().size() == 1);
    CHECK(pool.mPlacements[1].mDecode == "d1");
    CHECK_FALSE(pool.mPlacements[1].mPrefill.empty());
    CHECK(pool.mPlacements[1].mCachedTokens == 0);
  }
  SUBCASE("an engine that caches only a small part is not preferred")
  {
    pool.mCachedPrompts.OnInterrupted({ 1, "d2", 1000, pool.mNow });
    submit(1, 4000);
    REQUIRE(pool.Place().size() == 1);
    CHECK_FALSE(pool.mPlacements[1].mPrefill.empty());
  }
  SUBCASE("the tokens generated before count as used memory from the start")
  {
    submit(1, 4000);
    REQUIRE(pool.Place().size() == 1);
    CHECK(pool.mRuns.At(pool.mPlacements[1].mDecode)[0]->mPromptTokens == 7000);
  }
  SUBCASE("a few events need no turn")
  {
    for (std::uint64_t i = 1; i <= 3; ++i) {
      submit(i, 200);
    }
    CHECK(pool.Place().size() == 3);
  }
}

} // namespace bulrushfold
