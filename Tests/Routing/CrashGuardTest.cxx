#include "Routing/CrashGuard.h"

#include <doctest/doctest.h>

#include "Routing/CrashGuardFixture.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;
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

} // namespace bulrushfold
