#include "Routing/CrashGuard.h"

#include <doctest/doctest.h>

#include "Routing/CrashGuardFixture.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;
} // namespace

// Guards against a request that comes again at other daemons, or after the
// daemon that saw its crashes has ended, and crashes one endpoint after
// another.
TEST_CASE("A request that crashed three endpoints is refused at all daemons")
{
  CrashGuard first(random);
  CrashGuard second(random);
  Instant now = kStart;
  LoseRequest(first, 100, kDeadly, now);
  second.Merge(first.Report(now), now);
  now += seconds(1);
  LoseRequest(second, 101, kDeadly, now);
  CHECK_FALSE(IsRefused(second, kDeadly, now));
  now += seconds(1);
  LoseRequest(second, 102, kDeadly, now);
  REQUIRE(IsRefused(second, kDeadly, now));
  CHECK(second.FindRefused({ {}, kDeadly, 0 }, now)->mKind ==
        CrashKeyKind::Request);
  CHECK_FALSE(IsRefused(second, kSound, now));

  SUBCASE("a daemon that starts later learns it")
  {
    CrashGuard third(random);
    third.Merge(second.Report(now + seconds(1)), now + seconds(1));
    CHECK(IsRefused(third, kDeadly, now + seconds(1)));
  }
  SUBCASE("a good answer to the request ends the refusal")
  {
    second.OnAnswered({ {}, kDeadly, 0 }, now + milliseconds(1));
    CHECK_FALSE(IsRefused(second, kDeadly, now + milliseconds(1)));
  }
  SUBCASE("it is still refused after the lifetime of a single loss")
  {
    CHECK(IsRefused(second, kDeadly, now + seconds(300)));
    CHECK_FALSE(IsRefused(second, kDeadly, now + seconds(700)));
  }
  SUBCASE("the losses of many other requests do not replace the evidence")
  {
    for (std::uint64_t i = 0; i < 5000; ++i) {
      LoseRequest(second, 1000 + i, 1000 + i, now + milliseconds(i));
    }
    now += seconds(6);
    CHECK(IsRefused(second, kDeadly, now));
    CrashGuard third(random);
    third.Merge(second.Report(now), now);
    CHECK(IsRefused(third, kDeadly, now));
  }
}

// Guards against refusing a poller because an endpoint that is down closes each
// of its connections.
TEST_CASE("Requests to endpoints that are down are no evidence")
{
  CrashGuard guard(random);
  Instant now = kStart;
  // All three endpoints are down, and the caller repeats its request.
  for (int i = 0; i < 300; ++i) {
    LoseRequest(guard, 100 + i % 3, kSound, now);
    now += milliseconds(5);
  }
  CHECK_FALSE(IsRefused(guard, kSound, now));

  SUBCASE("also if another request crashed them")
  {
    for (std::uint64_t i = 0; i < 3; ++i) {
      LoseRequest(guard, 200 + i, kDeadly, now);
      for (int j = 0; j < 20; ++j) {
        now += milliseconds(30);
        LoseRequest(guard, 200 + i, kOther, now);
      }
    }
    CHECK(IsRefused(guard, kDeadly, now));
    CHECK_FALSE(IsRefused(guard, kOther, now));
  }
  SUBCASE("a crash after an answer counts, at the same incarnation too")
  {
    for (int i = 0; i < 3; ++i) {
      now += milliseconds(100);
      guard.OnEngineAnswered(100, now - milliseconds(40), now);
      now += milliseconds(100);
      LoseRequest(guard, 100, kDeadly, now);
    }
    CHECK(IsRefused(guard, kDeadly, now));
  }
}

// Guards against refusing the requests that ran beside the one that crashes.
TEST_CASE("Of twenty requests on crashed endpoints, the repeated one is found")
{
  CrashGuard guard(random);
  Instant now = kStart;
  for (std::uint64_t i = 0; i < 3; ++i) {
    for (std::uint64_t j = 0; j < 19; ++j) {
      // The pollers run on each endpoint that crashes.
      LoseRequest(guard, 100 + i, 500 + j, now, milliseconds(50 + j));
    }
    LoseRequest(guard, 100 + i, kDeadly, now, milliseconds(2));
    now += milliseconds(400);
  }
  CHECK(IsRefused(guard, kDeadly, now));
  for (std::uint64_t j = 0; j < 19; ++j) {
    CHECK_FALSE(IsRefused(guard, 500 + j, now));
  }
}

TEST_CASE("An endpoint that still answers its other requests did not crash")
{
  CrashGuard guard(random);
  Instant now = kStart;
  for (std::uint64_t i = 0; i < 5; ++i) {
    LoseRequest(guard, 100 + i, kSound, now);
    guard.OnEngineAnswered(
      100 + i, now - milliseconds(30), now + milliseconds(100));
    now += seconds(1);
  }
  CHECK_FALSE(IsRefused(guard, kSound, now));
}

TEST_CASE("Runs that fell silent at engines that then left were lost")
{
  CrashGuard guard(random);
  Instant now = kStart;
  for (std::uint64_t i = 0; i < 3; ++i) {
    const std::string endpoint = "e" + std::to_string(i);
    guard.OnRunSilent(
      endpoint, 100 + i, { {}, kDeadly, 0 }, now - seconds(1), now);
    guard.OnRunSilent("up", 99, { {}, kSound, 0 }, now - seconds(1), now);
    CHECK_FALSE(IsRefused(guard, kDeadly, now));
    now += seconds(2);
    guard.OnEngineGone(endpoint, now);
  }
  CHECK(IsRefused(guard, kDeadly, now));
  guard.OnEngineGone("up", now);
  CHECK_FALSE(IsRefused(guard, kSound, now));
}

// Guards against a deadly request that many callers send, each once or twice.
TEST_CASE("A content that crashes endpoints is refused for all callers")
{
  CrashGuard guard(random);
  Instant now = kStart;
  for (std::uint64_t i = 0; i < 3; ++i) {
    guard.OnRunLost(
      100 + i, { {}, 500 + i, kDeadly }, now - milliseconds(5), now);
    guard.OnRunLost(
      100 + i, { {}, 600 + i, kSound }, now - milliseconds(9), now);
    guard.OnAnswered({ {}, 700, kSound }, now + milliseconds(50));
    now += milliseconds(300);
  }
  const RefusedPart* refused = guard.FindRefused({ {}, 800, kDeadly }, now);
  REQUIRE(refused);
  CHECK(refused->mKind == CrashKeyKind::Content);
  CHECK_FALSE(guard.FindRefused({ {}, 601, kSound }, now));
  CHECK_FALSE(guard.FindRefused({ {}, 500, kOther }, now));

  SUBCASE("until it is answered well, whoever asks")
  {
    guard.OnAnswered({ {}, 900, kDeadly }, now);
    CHECK_FALSE(guard.FindRefused({ {}, 800, kDeadly }, now));
  }
}

// A request of one caller may be deadly for a reason that is not in its
// content.
TEST_CASE("A request of one caller is refused before others with its content")
{
  CrashGuard guard(random);
  Instant now = kStart;
  for (std::uint64_t i = 0; i < 3; ++i) {
    guard.OnRunLost(100 + i, { {}, 500, kDeadly }, now - milliseconds(5), now);
    now += milliseconds(300);
  }
  CHECK(guard.FindRefused({ {}, 500, kDeadly }, now));
  CHECK_FALSE(guard.FindRefused({ {}, 501, kDeadly }, now));
  guard.OnRunLost(200, { {}, 501, kDeadly }, now - milliseconds(5), now);
  CHECK(guard.FindRefused({ {}, 502, kDeadly }, now));
}

// Guards against a slow run, given up before its engine crashed, that makes the
// request which crashed the engine look as if it had been sent to one that was
// down already.
TEST_CASE("A silent run does not hide the crash that followed it")
{
  CrashGuard guard(random);
  Instant now = kStart;
  for (std::uint64_t i = 0; i < 3; ++i) {
    guard.OnRunSilent("e" + std::to_string(i),
                      100 + i,
                      { {}, kSound, 0 },
                      now - seconds(1),
                      now);
    now += milliseconds(200);
    LoseRequest(guard, 100 + i, kDeadly, now);
    now += milliseconds(200);
  }
  REQUIRE(IsRefused(guard, kDeadly, now));
  for (std::uint64_t i = 0; i < 3; ++i) {
    guard.OnEngineGone("e" + std::to_string(i), now);
  }
  CHECK(IsRefused(guard, kDeadly, now));
  CHECK_FALSE(IsRefused(guard, kSound, now));
}

} // namespace bulrushfold
