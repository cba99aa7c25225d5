#include "Routing/CrashGuard.h"

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kFirst = 1;
constexpr std::uint64_t kDeadly = 2;
constexpr std::uint64_t kSound = 3;
constexpr std::uint64_t kOther = 4;
const Instant kStart{ seconds(100) };
Random random{ 1 };

/** A run with these prompt parts, sent 10 ms before, is lost. */
void
Lose(CrashGuard& aGuard,
     std::uint64_t aEngine,
     const std::vector<std::uint64_t>& aParts,
     Instant aNow)
{
  aGuard.OnRunLost(aEngine, { aParts, 0, 0 }, aNow - milliseconds(10), aNow);
}

/** A run of a whole request, sent aTook before, is lost. */
void
LoseRequest(CrashGuard& aGuard,
            std::uint64_t aEngine,
            std::uint64_t aRequest,
            Instant aNow,
            Duration aTook = milliseconds(1))
{
  aGuard.OnRunLost(aEngine, { {}, aRequest, 0 }, aNow - aTook, aNow);
}

bool
IsRefused(CrashGuard& aGuard, std::uint64_t aRequest, Instant aNow)
{
  return aGuard.FindRefused({ {}, aRequest, 0 }, aNow) != nullptr;
}

CrashReport
OnlyLost(CrashReport aReport)
{
  aReport.mAnswered.clear();
  return aReport;
}

/** Crashes aCount engines, each 200 ms after the other, with runs of the deadly
 * part and of a sound one. */
Instant
Crash(CrashGuard& aGuard, std::uint64_t aCount)
{
  Instant now = kStart;
  for (std::uint64_t i = 0; i < aCount; ++i) {
    now += milliseconds(200);
    const std::uint64_t engine = 100 + i;
    Lose(aGuard, engine, { kFirst, kDeadly }, now);
    Lose(aGuard, engine, { kFirst, kSound }, now);
  }
  return now;
}
} // namespace

TEST_CASE("Different requests that share a deadly prompt part crashed one "
          "engine after the other")
{
  CrashGuard guard(random);
  Instant now = Crash(guard, 2);
  CHECK_FALSE(guard.FindRefused({ { kFirst, kDeadly }, 0, 0 }, now));
  guard.OnAnswered({ { kFirst, kSound }, 0, 0 }, now);
  Lose(guard, 102, { kFirst, kDeadly }, now + milliseconds(200));
  now += milliseconds(200);

  const RefusedPart* refused =
    guard.FindRefused({ { kFirst, kDeadly }, 0, 0 }, now);
  REQUIRE(refused);
  CHECK(refused->mPart == kDeadly);
  CHECK(refused->mCrashes == 3);
  CHECK(refused->mOwnRuns == 3);

  SUBCASE("requests that share only the other parts are served")
  {
    CHECK_FALSE(guard.FindRefused({ { kFirst, kSound }, 0, 0 }, now));
    CHECK_FALSE(guard.FindRefused({ { kFirst }, 0, 0 }, now));
  }
  SUBCASE("a whole answer ends the refusal")
  {
    guard.OnAnswered({ { kFirst, kDeadly }, 0, 0 }, now + seconds(1));
    CHECK_FALSE(
      guard.FindRefused({ { kFirst, kDeadly }, 0, 0 }, now + seconds(1)));
  }
  SUBCASE("the refusal ends with the lifetime of the lost runs")
  {
    CHECK_FALSE(
      guard.FindRefused({ { kFirst, kDeadly }, 0, 0 }, now + seconds(61)));
  }
}

TEST_CASE("The first part was blocked because it stood beside the deadly one")
{
  CrashGuard guard(random);
  const Instant now = Crash(guard, 4);
  // No request with the first part has been answered since.
  CHECK(guard.FindRefused({ { kFirst, kDeadly }, 0, 0 }, now));
  int refused = 0;
  for (const std::uint64_t it : { kFirst, kDeadly, kSound }) {
    refused += guard.FindRefused({ { it }, 0 }, now) ? 1 : 0;
  }
  CHECK(refused == 1);
  CHECK_FALSE(guard.FindRefused({ { kFirst }, 0, 0 }, now));
}

TEST_CASE("Engines that lose power at one moment do not make parts suspect")
{
  CrashGuard guard(random);
  for (std::uint64_t i = 0; i < 8; ++i) {
    Lose(guard, 100 + i, { kFirst, kSound }, kStart + milliseconds(3 * i));
  }
  CHECK_FALSE(
    guard.FindRefused({ { kFirst, kSound }, 0, 0 }, kStart + seconds(1)));
}

TEST_CASE("All daemons learn the crashes of a part, also after a restart")
{
  CrashGuard first(random);
  CrashGuard second(random);
  Instant now = Crash(first, 2);
  first.OnAnswered({ { kFirst, kSound }, 0, 0 }, now);
  second.Merge(first.Report(now), now);
  now += milliseconds(200);
  Lose(second, 102, { kFirst, kDeadly }, now);
  REQUIRE(second.FindRefused({ { kDeadly }, 0, 0 }, now));
  CHECK(second.FindRefused({ { kDeadly }, 0, 0 }, now)->mPeerRuns == 2);

  CrashGuard restarted(random);
  restarted.Merge(second.Report(now), now);
  CHECK(restarted.FindRefused({ { kFirst, kDeadly }, 0, 0 }, now));
  CHECK_FALSE(restarted.FindRefused({ { kFirst, kSound }, 0, 0 }, now));
  SUBCASE("a report that arrives again does not count again")
  {
    CrashGuard other(random);
    for (int i = 0; i < 5; ++i) {
      other.Merge(OnlyLost(first.Report(now)), now + milliseconds(100 * i));
    }
    CHECK_FALSE(other.FindRefused({ { kDeadly }, 0, 0 }, now + seconds(1)));
  }
}

// Guards against a daemon that reads the reports of a peer all at once, after a
// pause or a cut, and takes separate crashes for one.
TEST_CASE("Delayed reports of crashes keep their distance in time")
{
  CrashGuard guard(random);
  const std::vector<std::uint64_t> parts{ kFirst, kDeadly };
  const auto merge = [&](std::vector<Duration> aAges) {
    CrashReport report;
    for (std::uint64_t i = 0; i < aAges.size(); ++i) {
      report.mLost.push_back(
        { i + 1, 100 + i, { parts, 0, 0 }, aAges[i], milliseconds(10) });
    }
    guard.Merge(report, kStart);
  };
  merge({ seconds(0) });
  merge({ seconds(2), seconds(0) });
  CHECK_FALSE(guard.FindRefused({ parts, 0, 0 }, kStart));
  merge({ seconds(4), seconds(2), seconds(0) });
  REQUIRE(guard.FindRefused({ parts, 0, 0 }, kStart));
  CHECK(guard.FindRefused({ parts, 0, 0 }, kStart)->mPart == kDeadly);
}

TEST_CASE("A part that only ran beside the deadly one is released")
{
  CrashGuard guard(random);
  Instant now = kStart;
  for (std::uint64_t i = 0; i < 3; ++i) {
    now += milliseconds(200);
    Lose(guard, 100 + i, { kFirst, kOther, kSound }, now);
    Lose(guard, 100 + i, { kFirst, kDeadly }, now);
  }
  Lose(guard, 103, { kFirst, kDeadly }, now + milliseconds(200));
  now += milliseconds(200);
  guard.OnAnswered({ { kFirst }, 0, 0 }, now);
  CHECK(guard.FindRefused({ { kDeadly }, 0, 0 }, now));
  CHECK_FALSE(guard.FindRefused({ { kFirst, kOther, kSound }, 0, 0 }, now));
}

TEST_CASE("Decisions are reported once")
{
  CrashGuard guard(random);
  int decisions = 0;
  guard.OnDecision().connect(
    [&](const RefusedPart&, bool, Instant) { ++decisions; });
  const Instant now = Crash(guard, 5);
  CHECK(decisions == 1);
  guard.OnAnswered({ { kDeadly }, 0, 0 }, now);
  CHECK_FALSE(guard.FindRefused({ { kDeadly }, 0, 0 }, now));
}

TEST_CASE("The memory for lost runs and the reports are limited")
{
  CrashGuard guard(random);
  for (std::uint64_t i = 0; i < 2000; ++i) {
    Lose(guard, i, { i }, kStart + milliseconds(i));
  }
  CHECK(guard.Report(kStart + seconds(2)).mLost.size() <= 48);
  CHECK(guard.LostRuns() <= 512);
  CHECK(guard.Report(kStart + seconds(2)).mLost.front().mEngine == 1999);
}

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
