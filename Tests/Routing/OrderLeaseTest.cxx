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

/** An order that the engine carried out. */
struct AppliedOrder
{
  std::string mHolder;
  std::uint64_t mFencing = 0;
  Instant mAt;
};

/** One engine, a store, and daemons that send orders to the engine. */
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
  /** One step of a daemon that always has another order to send. */
  void Step(const std::string& aName)
  {
    OrderLease& lease = *mDaemons.at(aName);
    const Instant now = mClock.Now();
    if (aName != mCutOff) {
      lease.OnEra(mStore.Era(), now);
    }
    if (lease.CanSendOrder(now)) {
      Order(aName, lease);
    }
    const LeaseStep step = lease.Tick(true, mChecksFencing, now);
    if (aName == mCutOff) {
      // The call gets no answer.
      return;
    }
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
  /** The engine gets an order and checks its fencing number if it can. */
  void Order(const std::string& aName, OrderLease& aLease)
  {
    if (mChecksFencing && aLease.FencingNumber() < mHighestFencing) {
      aLease.OnStaleFencing(mClock.Now());
      return;
    }
    mHighestFencing = std::max(mHighestFencing, aLease.FencingNumber());
    mApplied.push_back({ aName, aLease.FencingNumber(), mClock.Now() });
  }
  void RunFor(Duration aSpan)
  {
    const Instant end = mClock.Now() + aSpan;
    while (mClock.Now() < end) {
      mClock.Advance(milliseconds(100));
      for (const auto& [name, lease] : mDaemons) {
        if (name != mPaused) {
          Step(name);
        }
      }
    }
  }
  std::size_t AppliedBy(const std::string& aName) const
  {
    return static_cast<std::size_t>(std::count_if(
      mApplied.begin(), mApplied.end(), [&](const AppliedOrder& aItem) {
        return aItem.mHolder == aName;
      }));
  }
  void CheckNoStaleOrder() const
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
  std::uint64_t mHighestFencing = 0;
  std::vector<AppliedOrder> mApplied;
  std::map<std::string, std::unique_ptr<OrderLease>> mDaemons;
  std::string mPaused;
  /** A daemon that does not reach the store. */
  std::string mCutOff;
};

/** Checks that the orders of two holders are not closer together than aLimit,
 * and that fencing numbers never fall. */
void
CheckTurns(const LeaseFixture& aFixture, Duration aLimit)
{
  aFixture.CheckNoStaleOrder();
  const auto& orders = aFixture.mApplied;
  for (std::size_t i = 1; i < orders.size(); ++i) {
    const bool isOther = orders[i].mHolder != orders[i - 1].mHolder;
    CHECK((!isOther || orders[i].mAt - orders[i - 1].mAt > aLimit));
    CHECK((!isOther || orders[i].mFencing > orders[i - 1].mFencing));
  }
}

/** Pauses a holder that has orders to send until another daemon has the lease,
 * and checks that the engine carries out no order of the earlier lease. */
void
PauseAndReplaceHolder(LeaseFixture& aFixture, Duration aPause)
{
  OrderLease& old = aFixture.Add("a");
  aFixture.RunFor(seconds(3));
  const std::size_t before = aFixture.AppliedBy("a");
  REQUIRE(before > 0);
  aFixture.mPaused = "a";
  aFixture.Add("b");
  aFixture.RunFor(aPause);
  REQUIRE(aFixture.AppliedBy("b") > 0);
  // The first step after the pause, before the daemon has detected the pause.
  aFixture.Step("a");
  CHECK(aFixture.AppliedBy("a") == before);
  aFixture.CheckNoStaleOrder();
  // The daemon still has orders to send and acquires the lease again.
  old.OnClockGap(aFixture.mClock.Now());
  aFixture.mPaused.clear();
  aFixture.RunFor(minutes(2));
  aFixture.CheckNoStaleOrder();
}
} // namespace

// Guards against orders of two holders that reach the engine alternately.
TEST_CASE(
  "A paused lease holder is replaced, the engine checks fencing numbers")
{
  LeaseFixture fixture(true);
  PauseAndReplaceHolder(fixture, seconds(5));
}

TEST_CASE(
  "A paused lease holder is replaced, the engine ignores fencing numbers")
{
  LeaseFixture fixture(false);
  PauseAndReplaceHolder(fixture, seconds(30));
  const auto first =
    std::find_if(fixture.mApplied.begin(),
                 fixture.mApplied.end(),
                 [](const auto& aItem) { return aItem.mHolder == "b"; });
  const auto last = std::find_if(
    fixture.mApplied.rbegin(), fixture.mApplied.rend(), [&](const auto& aItem) {
      return aItem.mHolder == "a" && aItem.mAt < first->mAt;
    });
  // An order that the old holder sent last must have arrived before the new
  // holder sends one.
  CHECK(first->mAt - last->mAt > fixture.mTiming.mOrderTimeout);
}

TEST_CASE("A lease holder may send orders after a pause shorter than its lease")
{
  LeaseFixture fixture(false);
  fixture.Add("a");
  fixture.RunFor(seconds(3));
  const std::size_t before = fixture.AppliedBy("a");
  fixture.mClock.Advance(milliseconds(800));
  fixture.RunFor(seconds(2));
  CHECK(fixture.AppliedBy("a") > before);
}

// Guards against mistaking the answer to a call from before a pause for the
// answer to a later call.
TEST_CASE("A late reply of the store does not grant a lease")
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

TEST_CASE("Orders during faults of the store")
{
  LeaseFixture fixture(false);
  fixture.Add("a");

  SUBCASE("no order is sent while the store is down")
  {
    fixture.mStore.mIsUp = false;
    fixture.RunFor(seconds(30));
    CHECK(fixture.mApplied.empty());
    fixture.mStore.mIsUp = true;
    fixture.RunFor(seconds(3));
    CHECK(fixture.AppliedBy("a") > 0);
  }
  SUBCASE("orders are sent after a lost reply of the store")
  {
    fixture.mStore.mLosesReplies = true;
    fixture.RunFor(seconds(5));
    CHECK(fixture.AppliedBy("a") > 0);
  }
}

// Guards against orders of two holders that follow too closely, where the
// platform wants a long time between them.
TEST_CASE("Orders of two holders are at least the set interval apart")
{
  LeaseFixture fixture(false);
  fixture.mTiming.mHolderInterval = seconds(30);
  fixture.mTiming.mLease = seconds(31);
  fixture.Add("a");
  fixture.RunFor(seconds(20));
  REQUIRE(fixture.AppliedBy("a") > 0);
  fixture.mCutOff = "a";
  fixture.Add("b");
  fixture.RunFor(minutes(2));
  REQUIRE(fixture.AppliedBy("b") > 0);
  CheckTurns(fixture, fixture.mTiming.mHolderInterval);
}

// Guards against two holders that send orders at the same time: the store came
// back from a copy without the lease, so that the next holder found none to
// wait for.
TEST_CASE("The next holder waits for a lease that the store has lost")
{
  LeaseFixture fixture(false);
  const OrderTiming& timing = fixture.mTiming;
  const FakeStore empty = fixture.mStore;
  fixture.Add("a");
  fixture.RunFor(seconds(20));
  REQUIRE(fixture.AppliedBy("a") > 0);

  SUBCASE("while the former holder does not hear of it")
  {
    fixture.mCutOff = "a";
    SUBCASE("and the copy has no lease")
    {
      fixture.mStore.ReturnFrom(empty);
    }
    SUBCASE("and the copy has an older lease of the next holder")
    {
      LeaseFixture earlier(false);
      earlier.Add("b");
      earlier.RunFor(seconds(20));
      fixture.mStore.ReturnFrom(earlier.mStore);
    }
    SUBCASE("and the store returns twice")
    {
      fixture.mStore.ReturnFrom(empty);
      fixture.Add("b");
      fixture.RunFor(seconds(5));
      fixture.mStore.ReturnFrom(empty);
    }
    fixture.Add("b");
    fixture.RunFor(seconds(30));
    CHECK(fixture.AppliedBy("b") > 0);
    CheckTurns(fixture, timing.mOrderTimeout);
  }
  SUBCASE("and the former holder gives it up as soon as it hears of it")
  {
    const std::size_t before = fixture.AppliedBy("a");
    fixture.mStore.ReturnFrom(empty);
    fixture.RunFor(timing.mLease);
    CHECK(fixture.AppliedBy("a") == before);
    fixture.RunFor(timing.mLease);
    CHECK(fixture.AppliedBy("a") > before);
    CheckTurns(fixture, timing.mOrderTimeout);
  }
  SUBCASE("and does not wait for what was written since")
  {
    fixture.mStore.ReturnFrom(empty);
    fixture.RunFor(seconds(30));
    // A new process of the same daemon.
    fixture.Add("a");
    const std::size_t before = fixture.AppliedBy("a");
    fixture.RunFor(seconds(2));
    CHECK(fixture.AppliedBy("a") > before);
  }
}

// Guards against a lease that a daemon takes for its own because a write of an
// earlier era reached the store after its return.
TEST_CASE("A write from before the store came back grants no lease")
{
  const OrderTiming timing;
  OrderLease lease("a/1", timing);
  ManualClock clock;
  lease.OnEra(1, clock.Now());
  clock.Advance(minutes(1));
  CHECK(lease.Tick(true, false, clock.Now()).mNeedsRead);
  lease.OnRead(absl::NotFoundError(""), clock.Now());
  const auto write = lease.Tick(true, false, clock.Now());
  REQUIRE(write.mBodyToWrite);
  lease.OnEra(2, clock.Now());

  SUBCASE("when its answer is late")
  {
    lease.OnWritten(write.mWriteNumber, ToVersion({ 1, 7 }), clock.Now());
    CHECK_FALSE(lease.CanSendOrder(clock.Now()));
  }
  SUBCASE("when it is read")
  {
    CHECK(lease.Tick(true, false, clock.Now()).mNeedsRead);
    lease.OnRead(StoredObject{ kKey, ToVersion({ 2, 3 }), *write.mBodyToWrite },
                 clock.Now());
    CHECK_FALSE(lease.CanSendOrder(clock.Now()));
    CHECK_FALSE(lease.Tick(true, false, clock.Now()).mBodyToWrite);
    clock.Advance(timing.mLease + timing.mClockGapLimit + timing.mOrderTimeout);
    CHECK(lease.Tick(true, false, clock.Now()).mBodyToWrite);
  }
}

} // namespace bulrushfold
