#include "Routing/AnswerLengthEstimator.h"
#include "Routing/DeferredRequests.h"
#include "Routing/PeerTable.h"
#include "Routing/StreamAdmission.h"

#include <cmath>

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;
} // namespace

TEST_CASE("The retry of a refused request is recognised")
{
  DeferredRequests table;
  const Instant first{ seconds(100) };
  Instant now = first + seconds(1);
  table.OnDeferred(7, first, now);
  CHECK(table.FirstArrival(7, now) == first);
  CHECK_FALSE(table.FirstArrival(8, now));

  SUBCASE("the retry is recognised at another daemon")
  {
    DeferredRequests other;
    other.SetPeer("p", table.Own(now), now);
    CHECK(other.FirstArrival(7, now) == first);
    other.RemovePeer("p");
    CHECK_FALSE(other.FirstArrival(7, now));
  }
  SUBCASE("the entry expires")
  {
    CHECK_FALSE(table.FirstArrival(7, first + seconds(9)));
    CHECK(table.Own(first + seconds(9)).empty());
  }
  SUBCASE("the number of reported requests is limited")
  {
    for (std::uint64_t i = 0; i < 1000; ++i) {
      table.OnDeferred(i, first, now);
    }
    CHECK(table.Own(now).size() <= 128);
  }
}

TEST_CASE("The peer table finds peers and detects dead ones")
{
  PeerTable peers;
  Instant now{ seconds(100) };
  const SocketAddress address{ "10.0.0.1", 7000 };
  peers.OnRegistered("a", address, now);
  CHECK(peers.LiveCount() == 0);
  CHECK(peers.CollectTargets(now).size() == 1);

  SUBCASE("a peer that does not answer is probed at increasing intervals")
  {
    int probes = 0;
    for (int i = 0; i < 400; ++i) {
      now += milliseconds(100);
      probes += static_cast<int>(peers.CollectTargets(now).size());
    }
    CHECK(probes > 3);
    CHECK(probes < 15);
    SUBCASE("it is removed after a time without messages")
    {
      peers.CollectDead(now + seconds(61));
      CHECK(peers.Count() == 0);
    }
  }
  SUBCASE("a peer is live after its first message")
  {
    CHECK(peers.OnMessage("a", address, now));
    CHECK_FALSE(peers.OnMessage("a", address, now));
    CHECK(peers.LiveCount() == 1);
    CHECK(peers.HasLowestName("a"));
    CHECK_FALSE(peers.HasLowestName("b"));
    SUBCASE("it is not live after a pause, but stays in the table")
    {
      now += seconds(2);
      CHECK(peers.CollectDead(now) == std::vector<std::string>{ "a" });
      CHECK(peers.CollectDead(now).empty());
      CHECK(peers.LiveCount() == 0);
      CHECK(peers.Count() == 1);
      CHECK(peers.HasLowestName("b"));
    }
    SUBCASE("it is removed when it announces that it stops")
    {
      peers.OnStopped("a");
      CHECK(peers.Count() == 0);
    }
  }
  SUBCASE("a new address of the same name replaces the old one")
  {
    const SocketAddress moved{ "10.0.0.2", 7000 };
    peers.OnRegistered("a", moved, now);
    CHECK(peers.CollectTargets(now).front().mAddress == moved);
  }
}

TEST_CASE("The expected length of an answer combines the caller's estimate and "
          "earlier answers")
{
  AnswerLengthEstimator lengths;
  SUBCASE("it is a fraction of the maximum length without other information")
  {
    CHECK(lengths.Estimate("r", std::nullopt, 1000) == 600);
    CHECK(lengths.Estimate("r", std::nullopt, 0) == 1);
  }
  SUBCASE("it lies between both, and never above the maximum length")
  {
    for (int i = 0; i < 50; ++i) {
      lengths.OnAnswer("r", 1000);
    }
    CHECK(lengths.Estimate("r", std::nullopt, 9000) ==
          doctest::Approx(1000).epsilon(0.01));
    const auto expected = lengths.Estimate("r", 4000, 9000);
    CHECK(expected > 1500);
    CHECK(expected < 2500);
    CHECK(lengths.Estimate("r", 100'000, 2000) == 2000);
  }
}

TEST_CASE("A stream that cannot begin in time is refused on arrival")
{
  const Instant start{ seconds(100) };
  StreamAdmission admission(start);
  Instant now = start + seconds(10);
  // Two placements a second.
  for (int i = 0; i < 10; ++i) {
    admission.OnPlaced(now);
    now += milliseconds(500);
  }
  SUBCASE("it may wait when no other stream waits")
  {
    CHECK(admission.Admits(0, milliseconds(10), now));
  }
  SUBCASE("it may not wait when the expected wait is longer than the time left")
  {
    CHECK(admission.Admits(1, seconds(2), now));
    CHECK_FALSE(admission.Admits(5, seconds(1), now));
    CHECK(admission.ExpectedWait(6, now) >= seconds(2));
  }
  // Guards against refusing a retry for the second time: requests that an
  // earlier process refused are unknown after a restart.
  SUBCASE("all streams may wait shortly after the start of the process")
  {
    StreamAdmission fresh(now);
    CHECK(fresh.Admits(50, milliseconds(1), now + seconds(1)));
    CHECK_FALSE(fresh.Admits(50, milliseconds(1), now + seconds(5)));
  }
}

} // namespace bulrushfold
