#include "Serving/WorkspaceLimiter.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace bulrushfold {

namespace {
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kStep = std::chrono::milliseconds(10);

/** Daemons that use one workspace, with an owner that may be unreachable. */
class Fleet
{
public:
  Fleet(std::size_t aDaemons, WorkspaceLimits aLimits)
    : mLimits(aLimits)
    , mLimiters(aDaemons)
  {
    for (auto& it : mLimiters) {
      it.SetDaemons(aDaemons);
    }
  }

  /** Accepted requests in aSeconds when daemon i receives aLoad[i] a second. */
  std::uint64_t Run(int aSeconds, const std::vector<double>& aLoad)
  {
    std::uint64_t accepted = 0;
    for (int s = 0; s < aSeconds; ++s) {
      Exchange();
      for (int i = 0; i < kSecond / kStep; ++i) {
        mClock.Advance(kStep);
        accepted += Offer(aLoad);
      }
    }
    return accepted;
  }

  bool mIsOwnerReachable = true;

private:
  std::uint64_t Offer(const std::vector<double>& aLoad)
  {
    std::uint64_t accepted = 0;
    mDue.resize(aLoad.size());
    for (std::size_t i = 0; i < aLoad.size(); ++i) {
      for (mDue[i] += aLoad[i] * ToSeconds(kStep); mDue[i] >= 1; --mDue[i]) {
        if (mLimiters[i].Begin("w", mLimits, mClock.Now()) ==
            LimitVerdict::Accept) {
          ++accepted;
          mLimiters[i].End("w");
        }
      }
    }
    return accepted;
  }

  void Exchange()
  {
    for (std::size_t i = 0; i < mLimiters.size(); ++i) {
      for (const auto& it : mLimiters[i].CollectDemand(mClock.Now())) {
        if (mIsOwnerReachable) {
          mLimiters[i].OnLease(
            "w",
            mAllocator.Grant(std::to_string(i), it, mLimits, mClock.Now()));
        }
      }
    }
  }

  ManualClock mClock;
  WorkspaceLimits mLimits;
  LimitAllocator mAllocator;
  std::vector<WorkspaceLimiter> mLimiters;
  std::vector<double> mDue;
};
} // namespace

// Guards against a workspace that exceeds its limits by using several daemons,
// and against one that is refused what it may use.
TEST_CASE("A workspace's rate limit holds across daemons")
{
  const WorkspaceLimits limits{ 100, 10, 0 };

  SUBCASE("when the load is spread")
  {
    Fleet fleet(6, limits);
    fleet.Run(5, std::vector<double>(6, 50));
    const auto n = fleet.Run(20, std::vector<double>(6, 50));
    CHECK(n <= 20 * 100 + 10);
    CHECK(n >= 20 * 85);
  }
  SUBCASE("when one daemon receives it all")
  {
    Fleet fleet(6, limits);
    fleet.Run(5, { 300, 0, 0, 0, 0, 0 });
    const auto n = fleet.Run(20, { 300, 0, 0, 0, 0, 0 });
    CHECK(n <= 20 * 100 + 10);
    CHECK(n >= 20 * 85);
  }
  SUBCASE("when the load moves from one daemon to another")
  {
    Fleet fleet(2, limits);
    std::uint64_t n = 0;
    for (int i = 0; i < 5; ++i) {
      n += fleet.Run(4, { 300, 0 });
      n += fleet.Run(4, { 0, 300 });
    }
    CHECK(n <= 40 * 100 + 10 * 10);
  }
  SUBCASE("when the owner is unreachable")
  {
    Fleet fleet(6, limits);
    fleet.mIsOwnerReachable = false;
    const auto n = fleet.Run(20, std::vector<double>(6, 50));
    CHECK(n <= 20 * 100 * kUnleasedShare + 6);
    CHECK(n > 0);
  }
}

TEST_CASE("Leases never exceed the limit")
{
  CHECK(rc::check([] {
    ManualClock clock;
    LimitAllocator allocator;
    const WorkspaceLimits limits{ 50, 5, 20 };
    std::map<std::string, LimitLease> leases;
    const auto demands =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    for (const auto it : demands) {
      const std::string daemon = std::to_string(it % 5);
      leases[daemon] =
        allocator.Grant(daemon,
                        { "w", it * 0.2, static_cast<double>(it % 7) },
                        limits,
                        clock.Now());
      clock.Advance(std::chrono::milliseconds(it));
      double rate = 0;
      double concurrent = 0;
      for (const auto& [name, lease] : leases) {
        if (lease.mExpiry > clock.Now()) {
          rate += lease.mRequestsPerSecond;
          concurrent += lease.mConcurrent;
        }
      }
      RC_ASSERT(rate <= 50 * (1 - kUnleasedShare) + 1e-6);
      RC_ASSERT(concurrent <= 20 * (1 - kUnleasedShare) + 1e-6);
    }
  }));
}

TEST_CASE("A workspace's concurrency limit")
{
  WorkspaceLimiter limiter;
  ManualClock clock;
  const WorkspaceLimits limits{ 0, 0, 30 };
  limiter.OnLease("w", {});
  CHECK(limiter.Begin("w", limits, clock.Now()) == LimitVerdict::Accept);
  limiter.OnLease("w", { 0, 4, clock.Now() + kSecond });
  for (int i = 0; i < 6; ++i) {
    CHECK(limiter.Begin("w", limits, clock.Now()) == LimitVerdict::Accept);
  }
  CHECK(limiter.Begin("w", limits, clock.Now()) ==
        LimitVerdict::ConcurrencyLimited);
  limiter.End("w");
  CHECK(limiter.Begin("w", limits, clock.Now()) == LimitVerdict::Accept);
}

} // namespace bulrushfold
