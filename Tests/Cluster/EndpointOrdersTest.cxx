#include "Cluster/EndpointOrders.h"

#include <algorithm>
#include <memory>

#include <doctest/doctest.h>

#include "Cluster/EndpointCancels.h"
#include "FakeStore.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/** An order that the engine carried out. */
struct Applied
{
  std::string mHolder;
  OrderAction mOrder;
  Instant mAt;
};

/** One engine, a store and the daemons that may hold its orders. */
class OrderFixture
{
public:
  explicit OrderFixture(bool aChecksFencing)
    : mChecksFencing(aChecksFencing)
  {
    mClock.Advance(minutes(1));
    mReported.mIncarnation = "e1";
    mReported.mRole = EngineRole::Prefill;
  }

  EndpointOrders& Add(const std::string& aName, EngineRole aRole)
  {
    auto& orders = mDaemons[aName];
    orders = std::make_unique<EndpointOrders>(aName + "/1", mTiming);
    DesiredState desired;
    desired.mRole = aRole;
    desired.mChecksFencing = mChecksFencing;
    orders->SetDesired("e", desired);
    return *orders;
  }

  /** One turn of every daemon that is not paused. */
  void Turn()
  {
    mClock.Advance(milliseconds(100));
    for (auto& [name, orders] : mDaemons) {
      if (name == mPaused) {
        continue;
      }
      orders->OnReported("e", mReported);
      Perform(name, *orders, orders->Tick(mClock.Now()));
    }
  }

  void RunFor(Duration aSpan)
  {
    const Instant end = mClock.Now() + aSpan;
    while (mClock.Now() < end) {
      Turn();
    }
  }

  /** Carries out aResult at the engine and in the store. */
  void Perform(const std::string& aName,
               EndpointOrders& aOrders,
               const OrderResult& aResult)
  {
    const Instant now = mClock.Now();
    for (const auto& it : aResult.mReads) {
      aOrders.OnRead(it, mStore.Get(EndpointOrders::ObjectKey(it)), now);
    }
    for (const auto& it : aResult.mWrites) {
      const auto version = mStore.Put(
        EndpointOrders::ObjectKey(it.mEndpoint), it.mBody, it.mExpected);
      aOrders.OnWritten(it.mEndpoint, it.mNumber, version, now);
    }
    for (const auto& it : aResult.mOrders) {
      aOrders.OnOrderDone(it, Apply(aName, it), now);
    }
  }

  absl::Status Apply(const std::string& aName, const OrderAction& aOrder)
  {
    if (mChecksFencing && aOrder.mFencing < mHighest) {
      return absl::FailedPreconditionError("stale_fencing");
    }
    mHighest = std::max(mHighest, aOrder.mFencing);
    mApplied.push_back({ aName, aOrder, mClock.Now() });
    if (aOrder.mKind == OrderKind::Role && mObeys) {
      mReported.mRole = aOrder.mRole;
    }
    return absl::OkStatus();
  }

  std::size_t AppliedBy(const std::string& aName) const
  {
    return std::count_if(
      mApplied.begin(), mApplied.end(), [&](const Applied& aItem) {
        return aItem.mHolder == aName;
      });
  }

  ManualClock mClock;
  OrderTiming mTiming;
  FakeStore mStore;
  bool mChecksFencing;
  bool mObeys = true;
  std::uint64_t mHighest = 0;
  ReportedState mReported;
  std::vector<Applied> mApplied;
  std::map<std::string, std::unique_ptr<EndpointOrders>> mDaemons;
  std::string mPaused;
};

void
CheckNoOldOrder(const OrderFixture& aFixture)
{
  std::uint64_t highest = 0;
  for (const auto& it : aFixture.mApplied) {
    CHECK(it.mOrder.mFencing >= highest);
    highest = std::max(highest, it.mOrder.mFencing);
  }
}

/** A holder is paused while it has orders to send, and another one follows. */
void
PauseAndDepose(OrderFixture& aFixture, Duration aPause)
{
  aFixture.mObeys = false;
  auto& old = aFixture.Add("a", EngineRole::Decode);
  aFixture.RunFor(seconds(3));
  const auto before = aFixture.AppliedBy("a");
  REQUIRE(before > 0);
  aFixture.mPaused = "a";
  aFixture.Add("b", EngineRole::Both);
  aFixture.RunFor(aPause);
  REQUIRE(aFixture.AppliedBy("b") > 0);
  // The turn in which the daemon wakes, before it notices its pause.
  aFixture.Perform("a", old, old.Tick(aFixture.mClock.Now()));
  CHECK(aFixture.AppliedBy("a") == before);
  CheckNoOldOrder(aFixture);
  // It still believes to be the owner and asks for the lease again.
  old.OnClockGap(aFixture.mClock.Now());
  aFixture.mPaused.clear();
  aFixture.RunFor(minutes(2));
  CheckNoOldOrder(aFixture);
}
} // namespace

TEST_CASE("Orders to an endpoint")
{
  OrderFixture fixture(false);

  SUBCASE("the difference to the desired state is ordered until it is gone")
  {
    fixture.Add("a", EngineRole::Decode);
    fixture.RunFor(seconds(2));
    CHECK(fixture.mReported.mRole == EngineRole::Decode);
    CHECK(fixture.AppliedBy("a") == 1);
    const auto writes = fixture.mStore.Objects().at("orders/e").mVersion;
    fixture.RunFor(minutes(1));
    CHECK(fixture.AppliedBy("a") == 1);
    // Guards against store writes for leases that nobody needs.
    CHECK(fixture.mStore.Objects().at("orders/e").mVersion == writes);
  }

  SUBCASE("an engine that forgot an order receives it again")
  {
    fixture.Add("a", EngineRole::Decode);
    fixture.RunFor(seconds(2));
    fixture.mReported.mRole = EngineRole::Both;
    fixture.RunFor(seconds(2));
    CHECK(fixture.mReported.mRole == EngineRole::Decode);
  }

  SUBCASE("a drain is ordered once for each process of the engine")
  {
    auto& orders = fixture.Add("a", EngineRole::Prefill);
    DesiredState desired;
    desired.mRole = EngineRole::Prefill;
    desired.mIsDraining = true;
    orders.SetDesired("e", desired);
    fixture.RunFor(seconds(20));
    REQUIRE(fixture.AppliedBy("a") == 1);
    CHECK(fixture.mApplied[0].mOrder.mKind == OrderKind::Drain);
    fixture.mReported.mIncarnation = "e2";
    fixture.RunFor(seconds(20));
    CHECK(fixture.AppliedBy("a") == 2);
  }

  SUBCASE("a new holder resumes an engine that an earlier holder drained")
  {
    fixture.Add("a", EngineRole::Prefill);
    fixture.mReported.mIsDraining = true;
    fixture.RunFor(seconds(2));
    REQUIRE(fixture.AppliedBy("a") >= 1);
    CHECK(fixture.mApplied[0].mOrder.mKind == OrderKind::Resume);
  }

  SUBCASE("with the store down nothing is ordered")
  {
    fixture.mStore.mIsUp = false;
    fixture.Add("a", EngineRole::Decode);
    fixture.RunFor(seconds(30));
    CHECK(fixture.mApplied.empty());
    fixture.mStore.mIsUp = true;
    fixture.RunFor(seconds(3));
    CHECK(fixture.AppliedBy("a") == 1);
  }

  SUBCASE("a lost answer of the store does not stop the orders")
  {
    fixture.mStore.mLosesAnswers = true;
    fixture.Add("a", EngineRole::Decode);
    fixture.RunFor(seconds(5));
    CHECK(fixture.AppliedBy("a") == 1);
  }
}

// Guards against two holders whose orders reach the engine in turns.
TEST_CASE("An order holder is paused and deposed, numbers are checked")
{
  OrderFixture fixture(true);
  PauseAndDepose(fixture, seconds(5));
}

TEST_CASE("An order holder is paused and deposed, numbers are ignored")
{
  OrderFixture fixture(false);
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
  OrderFixture fixture(false);
  fixture.mObeys = false;
  fixture.Add("a", EngineRole::Decode);
  fixture.RunFor(seconds(3));
  const auto before = fixture.AppliedBy("a");
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
  CHECK(lease.Tick(true, false, clock.Now()).mReads);
  lease.OnRead(absl::NotFoundError(""), clock.Now());
  const auto first = lease.Tick(true, false, clock.Now());
  REQUIRE(first.mWritten);
  lease.OnClockGap(clock.Now());
  CHECK(lease.Tick(true, false, clock.Now()).mReads);
  lease.OnRead(StoredObject{ "orders/e", 9, R"({"holder":"b/1"})" },
               clock.Now());
  lease.OnWritten(first.mWrite, 7, clock.Now());
  CHECK_FALSE(lease.CanOrder(clock.Now()));
}

TEST_CASE("Cancels and holdings")
{
  ManualClock clock;
  std::map<std::string, IncarnationState> states;
  const OrderTiming timing;
  EndpointCancels cancels(
    timing, [&](const std::string& aDaemon, const std::string&) {
      const auto it = states.find(aDaemon);
      return it == states.end() ? IncarnationState::Unknown : it->second;
    });
  const EndpointCancel cancel{ "e", "r1", 1, "d/1" };

  // Guards against memory that stays held because one cancel was lost (I1).
  SUBCASE("a cancel is repeated until it is confirmed")
  {
    CHECK(cancels.Cancel(cancel, clock.Now()).size() == 1);
    CHECK(cancels.Cancel(cancel, clock.Now()).empty());
    clock.Advance(seconds(1));
    CHECK(cancels.Tick(clock.Now()).size() == 1);
    clock.Advance(seconds(2));
    CHECK(cancels.Tick(clock.Now()).size() == 1);
    cancels.OnConfirmed(cancel);
    clock.Advance(minutes(1));
    CHECK(cancels.Tick(clock.Now()).empty());
  }

  SUBCASE("an endpoint that restarted holds nothing")
  {
    cancels.Cancel(cancel, clock.Now());
    cancels.OnEndpointGone("e");
    CHECK(cancels.Open() == 0);
  }

  SUBCASE("holdings of a process that is gone are cancelled after the grace")
  {
    states["d"] = IncarnationState::Gone;
    states["live"] = IncarnationState::Live;
    const std::vector<Holding> holdings{ { "r1", 1, "d/1" },
                                         { "r2", 1, "live/2" },
                                         { "r3", 1, "new/3" },
                                         { "r4", 1, "" } };
    auto result = cancels.OnHoldings("e", holdings, clock.Now());
    CHECK(result.mCancels.empty());
    CHECK(result.mUnknown == std::vector<std::string>{ "new", "" });
    clock.Advance(timing.mHoldingGrace);
    result = cancels.OnHoldings("e", holdings, clock.Now());
    REQUIRE(result.mCancels.size() == 1);
    CHECK(result.mCancels[0].mRequest == "r1");
  }

  // Guards against a cancel of live work after a wrong death.
  SUBCASE("a process that comes back within the grace keeps its work")
  {
    const std::vector<Holding> holdings{ { "r1", 1, "d/1" } };
    states["d"] = IncarnationState::Gone;
    cancels.OnHoldings("e", holdings, clock.Now());
    clock.Advance(timing.mHoldingGrace - seconds(1));
    states["d"] = IncarnationState::Live;
    CHECK(cancels.OnHoldings("e", holdings, clock.Now()).mCancels.empty());
    states["d"] = IncarnationState::Gone;
    clock.Advance(seconds(2));
    CHECK(cancels.OnHoldings("e", holdings, clock.Now()).mCancels.empty());
  }
}

} // namespace bulrushfold
