#include "Routing/PromptCrashGuard.h"

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

/** Crashes aCount engines, each 200 ms after the other, with runs of the deadly
 * part and of a sound one. */
Instant
Crash(PromptCrashGuard& aGuard, std::uint64_t aCount)
{
  Instant now = kStart;
  for (std::uint64_t i = 0; i < aCount; ++i) {
    now += milliseconds(200);
    const std::uint64_t engine = 100 + i;
    aGuard.OnRunLost(engine, { kFirst, kDeadly }, now);
    aGuard.OnRunLost(engine, { kFirst, kSound }, now);
  }
  return now;
}
} // namespace

TEST_CASE("Different requests that share a deadly prompt part crashed one "
          "engine after the other")
{
  PromptCrashGuard guard;
  Instant now = Crash(guard, 2);
  CHECK_FALSE(guard.FindRefused({ kFirst, kDeadly }, now));
  guard.OnAnswered({ kFirst, kSound }, now);
  guard.OnRunLost(102, { kFirst, kDeadly }, now + milliseconds(200));
  now += milliseconds(200);

  const RefusedPart* refused = guard.FindRefused({ kFirst, kDeadly }, now);
  REQUIRE(refused);
  CHECK(refused->mPart == kDeadly);
  CHECK(refused->mCrashes == 3);
  CHECK(refused->mOwnRuns == 3);

  SUBCASE("requests that share only the other parts are served")
  {
    CHECK_FALSE(guard.FindRefused({ kFirst, kSound }, now));
    CHECK_FALSE(guard.FindRefused({ kFirst }, now));
  }
  SUBCASE("a whole answer ends the refusal")
  {
    guard.OnAnswered({ kFirst, kDeadly }, now + seconds(1));
    CHECK_FALSE(guard.FindRefused({ kFirst, kDeadly }, now + seconds(1)));
  }
  SUBCASE("the refusal ends with the lifetime of the lost runs")
  {
    CHECK_FALSE(guard.FindRefused({ kFirst, kDeadly }, now + seconds(61)));
  }
}

TEST_CASE("The first part was blocked because it stood beside the deadly one")
{
  PromptCrashGuard guard;
  const Instant now = Crash(guard, 4);
  // No request with the first part has been answered since.
  CHECK(guard.FindRefused({ kFirst, kDeadly }, now));
  int refused = 0;
  for (const std::uint64_t it : { kFirst, kDeadly, kSound }) {
    refused += guard.FindRefused({ it }, now) ? 1 : 0;
  }
  CHECK(refused == 1);
  CHECK_FALSE(guard.FindRefused({ kFirst }, now));
}

TEST_CASE("Engines that lose power at one moment do not make parts suspect")
{
  PromptCrashGuard guard;
  for (std::uint64_t i = 0; i < 8; ++i) {
    guard.OnRunLost(100 + i, { kFirst, kSound }, kStart + milliseconds(3 * i));
  }
  CHECK_FALSE(guard.FindRefused({ kFirst, kSound }, kStart + seconds(1)));
}

TEST_CASE("All daemons learn the crashes of a part, also after a restart")
{
  PromptCrashGuard first;
  PromptCrashGuard second;
  Instant now = Crash(first, 2);
  first.OnAnswered({ kFirst, kSound }, now);
  second.Merge(first.Lost(now), first.Answered(now), now);
  now += milliseconds(200);
  second.OnRunLost(102, { kFirst, kDeadly }, now);
  REQUIRE(second.FindRefused({ kDeadly }, now));
  CHECK(second.FindRefused({ kDeadly }, now)->mPeerRuns == 2);

  PromptCrashGuard restarted;
  restarted.Merge(second.Lost(now), second.Answered(now), now);
  CHECK(restarted.FindRefused({ kFirst, kDeadly }, now));
  CHECK_FALSE(restarted.FindRefused({ kFirst, kSound }, now));
  SUBCASE("a report that arrives again does not count again")
  {
    PromptCrashGuard other;
    for (int i = 0; i < 5; ++i) {
      other.Merge(first.Lost(now), {}, now + milliseconds(100 * i));
    }
    CHECK_FALSE(other.FindRefused({ kDeadly }, now + seconds(1)));
  }
}

// Guards against a daemon that reads the reports of a peer all at once, after a
// pause or a cut, and takes separate crashes for one.
TEST_CASE("Delayed reports of crashes keep their distance in time")
{
  PromptCrashGuard guard;
  const std::vector<std::uint64_t> parts{ kFirst, kDeadly };
  guard.Merge({ { 100, parts, seconds(0) } }, {}, kStart);
  guard.Merge(
    { { 100, parts, seconds(2) }, { 101, parts, seconds(0) } }, {}, kStart);
  CHECK_FALSE(guard.FindRefused(parts, kStart));
  guard.Merge({ { 100, parts, seconds(4) },
                { 101, parts, seconds(2) },
                { 102, parts, seconds(0) } },
              {},
              kStart);
  REQUIRE(guard.FindRefused(parts, kStart));
  CHECK(guard.FindRefused(parts, kStart)->mPart == kDeadly);
}

TEST_CASE("A part that only ran beside the deadly one is released")
{
  PromptCrashGuard guard;
  Instant now = kStart;
  for (std::uint64_t i = 0; i < 3; ++i) {
    now += milliseconds(200);
    guard.OnRunLost(100 + i, { kFirst, kOther, kSound }, now);
    guard.OnRunLost(100 + i, { kFirst, kDeadly }, now);
  }
  guard.OnRunLost(103, { kFirst, kDeadly }, now + milliseconds(200));
  now += milliseconds(200);
  guard.OnAnswered({ kFirst }, now);
  CHECK(guard.FindRefused({ kDeadly }, now));
  CHECK_FALSE(guard.FindRefused({ kFirst, kOther, kSound }, now));
}

TEST_CASE("Decisions are reported once")
{
  PromptCrashGuard guard;
  int decisions = 0;
  guard.OnDecision().connect(
    [&](const RefusedPart&, bool, Instant) { ++decisions; });
  const Instant now = Crash(guard, 5);
  CHECK(decisions == 1);
  guard.OnAnswered({ kDeadly }, now);
  CHECK_FALSE(guard.FindRefused({ kDeadly }, now));
}

TEST_CASE("The memory for lost runs and the reports are limited")
{
  PromptCrashGuard guard;
  for (std::uint64_t i = 0; i < 2000; ++i) {
    guard.OnRunLost(i, { i }, kStart + milliseconds(i));
  }
  CHECK(guard.Lost(kStart + seconds(2)).size() <= 32);
  CHECK(guard.Lost(kStart + seconds(2)).front().mEngine == 1999);
}

} // namespace bulrushfold
