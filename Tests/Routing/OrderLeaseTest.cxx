#include "Routing/OrderLease.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "Cluster/FakeStore.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr const char* kKey = "orders/e";

struct Applied
{
  std::string mHolder;
  std::uint64_t mFencing = 0;
  Instant mAt;
};

/** One engine, a store and the daemons that want to order. */
class LeaseFixture
{
public:
  explicit LeaseFixture(bool aChecksFencing)
    : mChecksFencing(aChecksFencing)
  {
  }

  OrderLease& Add(const std::string& aName)
  {
    auto& lease = mDaemons[aName];
    lease = std::make_unique<OrderLease>(aName + "/1", mTiming);
    return *lease;
  }
  /** A turn of a daemon, whose order is never done. */
  void Turn(const std::string& aName)
  {
    OrderLease& lease = *mDaemons.at(aName);
    const Instant now = mClock.Now();
    if (lease.CanSendOrder(now)) {
      Order(aName, lease);
    }
    const LeaseStep step = lease.Tick(true, mChecksFencing, now);
    if (step.mNeedsRead) {
      lease.OnRead(mStore.Get(kKey), now);
    }
    if (step.mBodyToWrite) {
      lease.OnWritten(
        step.mWriteNumber,
        mStore.Put(kKey, *step.mBodyToWrite, step.mExpectedVersion),
        now);
    }
  }
  void Order(const std::string& aName, OrderLease& aLease)
  {
    if (mChecksFencing && aLease.FencingNumber() < mHighest) {
      aLease.OnStaleFencing(mClock.Now());
      return;
    }
    mHighest = std::max(mHighest, aLease.FencingNumber());
    mApplied.push_back({ aName, aLease.FencingNumber(), mClock.Now() });
  }
  void RunFor(Duration aSpan)
  {
    const Instant end = mClock.Now() + aSpan;
    while (mClock.Now() < end) {
      mClock.Advance(milliseconds(100));
      for (const auto& [name, lease] : mDaemons) {
        if (name != mPaused) {
          Turn(name);
        }
      }
    }
  }
  std::size_t AppliedBy(const std::string& aName) const
  {
    return static_cast<std::size_t>(std::count_if(
      mApplied.begin(), mApplied.end(), [&](const Applied& aItem) {
        return aItem.mHolder == aName;
      }));
  }
  void CheckNoOldOrder() const
  {
    std::uint64_t highest = 0;
    for (const auto& it : mApplied) {
      CHECK(it.mFencing >= highest);
      highest = std::max(highest, it.mFencing);
    }
  }

  ManualClock mClock;
  OrderTiming mTiming;
  FakeStore mStore;
  bool mChecksFencing;
  std::uint64_t mHighest = 0;
  std::vector<Applied> mApplied;
  std::map<std::string, std::unique_ptr<OrderLease>> mDaemons;
  std::string mPaused;
};

/** A holder is paused while it has orders to send, and another one follows. */
void
PauseAndDepose(LeaseFixture& aFixture, Duration aPause)
{
  OrderLease& old = aFixture.Add("a");
  aFixture.RunFor(seconds(3));
  const std::size_t before = aFixture.AppliedBy("a");
  REQUIRE(before > 0);
  aFixture.mPaused = "a";
  aFixture.Add("b");
  aFixture.RunFor(aPause);
  REQUIRE(aFixture.AppliedBy("b") > 0);
  // The turn in which the daemon wakes, before it notices its pause.
  aFixture.Turn("a");
  CHECK(aFixture.AppliedBy("a") == before);
  aFixture.CheckNoOldOrder();
  // It still wants to order and asks for the lease again.
  old.OnClockGap(aFixture.mClock.Now());
  aFixture.mPaused.clear();
  aFixture.RunFor(minutes(2));
  aFixture.CheckNoOldOrder();
}
} // namespace

// Guards against two holders whose orders reach the engine in turns.
TEST_CASE("An order holder is paused and deposed, numbers are checked")
{
  LeaseFixture fixture(true);
  PauseAndDepose(fixture, seconds(5));
}

TEST_CASE("An order holder is paused and deposed, numbers are ignored")
{
  LeaseFixture fixture(false);
  PauseAndDepose(fixture, seconds(30));
  const auto first =
    std::find_if(fixture.mApplied.begin(),
                 fixture.mApplied.end(),
                 [](const auto& aItem) { return aItem.mHolder == "b"; });
  const auto last = std::find_if(
    fixture.mApplied.rbegin(), fixture.mApplied.rend(), [&](const auto& aItem) {
      return aItem.mHolder == "a" && aItem.mAt < first->mAt;
    });
  // An order sent at the last moment must have arrived by then.
  CHECK(first->mAt - last->mAt > fixture.mTiming.mOrderTimeout);
}

TEST_CASE("An order holder that wakes before its lease ends may go on")
{
  LeaseFixture fixture(false);
  fixture.Add("a");
  fixture.RunFor(seconds(3));
  const std::size_t before = fixture.AppliedBy("a");
  fixture.mClock.Advance(milliseconds(800));
  fixture.RunFor(seconds(2));
  CHECK(fixture.AppliedBy("a") > before);
}

// Guards against an answer to a call from before a pause that is taken for the
// answer to a later call.
TEST_CASE("A late store answer does not give a lease")
{
  OrderLease lease("a/1", OrderTiming{});
  ManualClock clock;
  CHECK(lease.Tick(true, false, clock.Now()).mNeedsRead);
  lease.OnRead(absl::NotFoundError(""), clock.Now());
  const auto first = lease.Tick(true, false, clock.Now());
  REQUIRE(first.mBodyToWrite);
  lease.OnClockGap(clock.Now());
  CHECK(lease.Tick(true, false, clock.Now()).mNeedsRead);
  lease.OnRead(StoredObject{ kKey, 9, R"({"holder":"b/1"})" }, clock.Now());
  lease.OnWritten(first.mWriteNumber, 7, clock.Now());
  CHECK_FALSE(lease.CanSendOrder(clock.Now()));
}

TEST_CASE("A lease and the faults of the store")
{
  LeaseFixture fixture(false);
  fixture.Add("a");

  SUBCASE("with the store down nothing is ordered")
  {
    fixture.mStore.mIsUp = false;
    fixture.RunFor(seconds(30));
    CHECK(fixture.mApplied.empty());
    fixture.mStore.mIsUp = true;
    fixture.RunFor(seconds(3));
    CHECK(fixture.AppliedBy("a") > 0);
  }
  SUBCASE("a lost answer of the store does not stop the orders")
  {
    fixture.mStore.mLosesAnswers = true;
    fixture.RunFor(seconds(5));
    CHECK(fixture.AppliedBy("a") > 0);
  }
}

} // namespace bulrushfold
