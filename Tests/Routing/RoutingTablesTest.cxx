#include "Routing/AnswerLengthEstimator.h"
#include "Routing/CrashGuard.h"
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

TEST_CASE("A request that crashes endpoints is refused everywhere")
{
  CrashGuard guard;
  CrashGuard other;
  const Instant now{ seconds(100) };
  guard.OnConnectionLost(7, now);
  other.OnConnectionLost(7, now);
  CHECK_FALSE(guard.IsRefused(7, now));

  SUBCASE("after three broken runs, whichever daemon saw them")
  {
    guard.OnConnectionLost(7, now);
    CHECK_FALSE(guard.IsRefused(7, now));
    guard.SetPeer("other", other.OwnSuspects(now), now);
    CHECK(guard.IsRefused(7, now));
    CHECK_FALSE(guard.IsRefused(8, now));
    SUBCASE("until it stayed away for long")
    {
      CHECK_FALSE(guard.IsRefused(7, now + seconds(61)));
    }
    SUBCASE("or its peer's count is gone")
    {
      guard.RemovePeer("other");
      CHECK_FALSE(guard.IsRefused(7, now));
    }
  }
  SUBCASE("but not one that was answered")
  {
    guard.OnConnectionLost(7, now);
    guard.OnAnswered(7);
    guard.OnConnectionLost(7, now);
    guard.SetPeer("other", other.OwnSuspects(now), now);
    CHECK_FALSE(guard.IsRefused(7, now));
  }
  SUBCASE("and memory stays bounded")
  {
    for (std::uint64_t i = 0; i < 10'000; ++i) {
      guard.OnConnectionLost(i, now);
    }
    CHECK(guard.OwnSuspects(now).size() <= 64);
  }
}

TEST_CASE("A request that was told to come back is known when it does")
{
  DeferredRequests table;
  const Instant first{ seconds(100) };
  Instant now = first + seconds(1);
  table.OnDeferred(7, first, now);
  CHECK(table.FirstArrival(7, now) == first);
  CHECK_FALSE(table.FirstArrival(8, now));

  SUBCASE("also at another daemon")
  {
    DeferredRequests other;
    other.SetPeer("p", table.Own(now), now);
    CHECK(other.FirstArrival(7, now) == first);
    other.RemovePeer("p");
    CHECK_FALSE(other.FirstArrival(7, now));
  }
  SUBCASE("but not for ever")
  {
    CHECK_FALSE(table.FirstArrival(7, first + seconds(9)));
    CHECK(table.Own(first + seconds(9)).empty());
  }
  SUBCASE("and messages stay small")
  {
    for (std::uint64_t i = 0; i < 1000; ++i) {
      table.OnDeferred(i, first, now);
    }
    CHECK(table.Own(now).size() <= 128);
  }
}

TEST_CASE("The daemons find each other")
{
  PeerTable peers;
  Instant now{ seconds(100) };
  const SocketAddress address{ "10.0.0.1", 7000 };
  peers.OnRegistered("a", address, now);
  CHECK(peers.LiveCount() == 0);
  CHECK(peers.CollectTargets(now).size() == 1);

  SUBCASE("one that is not heard is tried less and less often")
  {
    int trials = 0;
    for (int i = 0; i < 400; ++i) {
      now += milliseconds(100);
      trials += static_cast<int>(peers.CollectTargets(now).size());
    }
    CHECK(trials > 3);
    CHECK(trials < 15);
    SUBCASE("and forgotten in the end")
    {
      peers.CollectDead(now + seconds(61));
      CHECK(peers.Count() == 0);
    }
  }
  SUBCASE("one that speaks is live")
  {
    CHECK(peers.OnMessage("a", address, now));
    CHECK_FALSE(peers.OnMessage("a", address, now));
    CHECK(peers.LiveCount() == 1);
    CHECK(peers.HasLowestName("a"));
    CHECK_FALSE(peers.HasLowestName("b"));
    SUBCASE("until it is silent, but stays known")
    {
      now += seconds(2);
      CHECK(peers.CollectDead(now) == std::vector<std::string>{ "a" });
      CHECK(peers.CollectDead(now).empty());
      CHECK(peers.LiveCount() == 0);
      CHECK(peers.Count() == 1);
      CHECK(peers.HasLowestName("b"));
    }
    SUBCASE("or leaves")
    {
      peers.OnStopped("a");
      CHECK(peers.Count() == 0);
    }
  }
  SUBCASE("a new address of a known name replaces the old one")
  {
    const SocketAddress moved{ "10.0.0.2", 7000 };
    peers.OnRegistered("a", moved, now);
    CHECK(peers.CollectTargets(now).front().mAddress == moved);
  }
}

TEST_CASE("The length of an answer is expected from the guess and the past")
{
  AnswerLengthEstimator lengths;
  SUBCASE("without knowledge from the most that is allowed")
  {
    CHECK(lengths.Estimate("r", std::nullopt, 1000) == 600);
    CHECK(lengths.Estimate("r", std::nullopt, 0) == 1);
  }
  SUBCASE("with both between them, and never above the most")
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

TEST_CASE("A stream that cannot begin in time is not kept waiting")
{
  const Instant start{ seconds(100) };
  StreamAdmission admission(start);
  Instant now = start + seconds(10);
  // Two placements a second.
  for (int i = 0; i < 10; ++i) {
    admission.OnPlaced(now);
    now += milliseconds(500);
  }
  SUBCASE("nobody waits: it may")
  {
    CHECK(admission.Admits(0, milliseconds(10), now));
  }
  SUBCASE("the wait is longer than the time left: it is told to come back")
  {
    CHECK(admission.Admits(1, seconds(2), now));
    CHECK_FALSE(admission.Admits(5, seconds(1), now));
    CHECK(admission.ExpectedWait(6, now) >= seconds(2));
  }
  // Callers of the process before this one come back and are not known.
  SUBCASE("just after a start all may wait")
  {
    StreamAdmission fresh(now);
    CHECK(fresh.Admits(50, milliseconds(1), now + seconds(1)));
    CHECK_FALSE(fresh.Admits(50, milliseconds(1), now + seconds(5)));
  }
}

} // namespace bulrushfold
