#include "Routing/KeptPrompts.h"
#include "Routing/ReadTurns.h"

#include <set>

#include <doctest/doctest.h>

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
  KeptPrompts kept(runs);
  CHECK(kept.Find(kKey, now).empty());

  SUBCASE("is known from this daemon's runs for a while")
  {
    kept.OnBroken({ kKey, "d1", 5000, now });
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
    kept.OnBroken({ kKey, "d1", 3000, now });
    kept.OnListed("d2", { { kKey, 5000 } }, now);
    kept.OnListed("d1", { { kKey, 2000 } }, now);
    const auto found = kept.Find(kKey, now);
    REQUIRE(found.size() == 2);
    CHECK(found[0].mEndpoint == "d2");
    CHECK(found[1].mTokens == 3000);
  }
  SUBCASE("is not known of a prompt without a key")
  {
    kept.OnBroken({ 0, "d1", 3000, now });
    CHECK(kept.Find(0, now).empty());
  }
  SUBCASE("is bounded")
  {
    for (std::uint64_t i = 1; i <= 1000; ++i) {
      kept.OnBroken({ i, "d1", 3000, now });
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
      ReadTurns daemon(loads, it);
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
    ReadTurns daemon(loads, "z");
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
    ReadTurns daemon(loads, "a");
    daemon.Observe("d1", start);
    CHECK(daemon.NextTurn("d1", start, start) == start);
    loads.SetPeer("b", { { "d1", { 1, 4000 } } });
    daemon.Observe("d1", start + milliseconds(10));
    CHECK(daemon.NextTurn("d1", start, start + milliseconds(10)) >
          start + milliseconds(10));
    loads.SetPeer("b", {});
    const Instant end = start + milliseconds(150);
    daemon.Observe("d1", end);
    CHECK(daemon.NextTurn("d1", start, end) >= end + milliseconds(70));
    CHECK(daemon.NextTurn("d1", start, end) <= end + milliseconds(100));
    CHECK(daemon.NextTurn("d2", start, end) == start);
  }
}

} // namespace bulrushfold
