#include "Net/BodyMemory.h"

#include <map>
#include <vector>

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMegabyte = 1024 * 1024;

/** An account for bodies; records the decisions on them. */
struct BodyMemoryFixture
{
  BodyMemory::BodyId Add()
  {
    const std::size_t index = mVerdicts.size();
    mVerdicts.emplace_back();
    return mMemory.Add(
      [this, index](BodyVerdict aVerdict) {
        mVerdicts[index].push_back(aVerdict);
      },
      mNow);
  }
  BodyVerdict Request(BodyMemory::BodyId aBody, std::size_t aBytes)
  {
    return mMemory.Request(aBody, aBytes, mNow);
  }
  /** Adds a body that is granted aBytes. */
  BodyMemory::BodyId Granted(std::size_t aBytes)
  {
    const auto body = Add();
    CHECK(Request(body, aBytes) == BodyVerdict::Granted);
    return body;
  }
  void Decide() { mMemory.Decide(mNow); }
  /** Decisions on the body that was added as number aIndex. */
  const std::vector<BodyVerdict>& Verdicts(std::size_t aIndex) const
  {
    return mVerdicts[aIndex];
  }

  Instant mNow{ seconds(1000) };
  int mChanges = 0;
  std::vector<std::vector<BodyVerdict>> mVerdicts;
  // Bodies count twice: four of one megabyte use it up.
  BodyMemory mMemory{ 8 * kMegabyte, [this] { ++mChanges; } };
};

using Verdicts = std::vector<BodyVerdict>;
} // namespace

TEST_CASE("Bodies of requests share an account of memory")
{
  BodyMemoryFixture fixture;
  const auto first = fixture.Granted(kMegabyte);
  const auto second = fixture.Granted(kMegabyte);
  const auto third = fixture.Granted(kMegabyte);
  CHECK(fixture.mMemory.Used() == 6 * kMegabyte);
  const auto waiting = fixture.Add();
  CHECK(fixture.Request(waiting, kMegabyte) == BodyVerdict::Waits);
  CHECK(fixture.mChanges == 1);

  SUBCASE("a large one waits until another one has ended")
  {
    fixture.mMemory.OnComplete(first);
    fixture.Decide();
    CHECK(fixture.Verdicts(3).empty());
    fixture.mMemory.Remove(first);
    CHECK(fixture.mChanges == 2);
    fixture.Decide();
    CHECK(fixture.Verdicts(3) == Verdicts{ BodyVerdict::Granted });
    CHECK(fixture.mMemory.Used() == 6 * kMegabyte);
  }
  SUBCASE("a small one does not wait behind it")
  {
    fixture.Granted(64 * 1024);
  }
  SUBCASE("one that makes no progress is ended for one that waits")
  {
    fixture.mMemory.OnComplete(first);
    fixture.mNow += milliseconds(900);
    fixture.mMemory.OnReceived(second, 4096, fixture.mNow);
    // A byte now and then is no progress.
    fixture.mMemory.OnReceived(third, 1, fixture.mNow);
    fixture.Decide();
    CHECK(fixture.Verdicts(2).empty());
    CHECK(fixture.mMemory.NextWake() <= fixture.mNow + milliseconds(100));
    fixture.mNow += milliseconds(100);
    fixture.Decide();
    CHECK(fixture.Verdicts(0).empty());
    CHECK(fixture.Verdicts(1).empty());
    CHECK(fixture.Verdicts(2) == Verdicts{ BodyVerdict::Refused });
    CHECK(fixture.Verdicts(3) == Verdicts{ BodyVerdict::Granted });
  }
  SUBCASE("one that has waited for long is refused")
  {
    for (const auto it : { first, second, third }) {
      fixture.mMemory.OnComplete(it);
    }
    fixture.mNow += milliseconds(1999);
    fixture.Decide();
    CHECK(fixture.Verdicts(3).empty());
    fixture.mNow = *fixture.mMemory.NextWake();
    fixture.Decide();
    CHECK(fixture.Verdicts(3) == Verdicts{ BodyVerdict::Refused });
    CHECK_FALSE(fixture.mMemory.NextWake());
  }
  SUBCASE("and none waits when too many do")
  {
    for (int i = 0; i < 63; ++i) {
      CHECK(fixture.Request(fixture.Add(), kMegabyte) == BodyVerdict::Waits);
    }
    CHECK(fixture.Request(fixture.Add(), kMegabyte) == BodyVerdict::Refused);
  }
  SUBCASE("and one that has ended decides nothing")
  {
    fixture.mMemory.Remove(waiting);
    fixture.mMemory.Remove(first);
    fixture.Decide();
    CHECK(fixture.Verdicts(3).empty());
    CHECK(fixture.mMemory.Used() == 4 * kMegabyte);
  }
}

// Guards against two growing bodies that wait for each other for good.
TEST_CASE("Bodies that wait for each other's memory do not wait for good")
{
  BodyMemoryFixture fixture;
  const auto first = fixture.Granted(kMegabyte + kMegabyte / 4);
  const auto second = fixture.Granted(kMegabyte + kMegabyte / 2);
  CHECK(fixture.Request(first, 2 * kMegabyte) == BodyVerdict::Waits);
  CHECK(fixture.Request(second, 3 * kMegabyte) == BodyVerdict::Waits);
  fixture.mNow += seconds(1);
  fixture.Decide();
  CHECK(fixture.Verdicts(0) == Verdicts{ BodyVerdict::Refused });
  CHECK(fixture.Verdicts(1) == Verdicts{ BodyVerdict::Granted });
}

TEST_CASE("A single body gets its memory even if it exceeds the account")
{
  BodyMemoryFixture fixture;
  const auto small = fixture.Granted(kMegabyte);
  const auto large = fixture.Granted(16 * kMegabyte);
  CHECK(fixture.Request(fixture.Add(), kMegabyte) == BodyVerdict::Waits);
  fixture.mMemory.Remove(large);
  fixture.mMemory.Remove(small);
  CHECK(fixture.mMemory.Used() == 0);
}

} // namespace bulrushfold
