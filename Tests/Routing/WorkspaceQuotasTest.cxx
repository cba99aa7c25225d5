#include "Routing/WorkspaceQuotas.h"

#include <algorithm>
#include <memory>

#include <doctest/doctest.h>

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 10'000;
constexpr double kBurst = 10'000;
/** Window and tolerance that the limit must keep. */
constexpr int kWindowSeconds = 8;
constexpr double kMaxInWindow = (kRate * kWindowSeconds + kBurst) * 1.1;

std::vector<Workspace>
MakeWorkspaces(double aRate = kRate, double aBurst = kBurst)
{
  Workspace workspace;
  workspace.mName = "w";
  workspace.mQuota.mRate = aRate;
  workspace.mQuota.mBurst = aBurst;
  return { workspace };
}

/** Daemons of which some decide for others, on a virtual clock. */
struct QuotaFleet
{
  explicit QuotaFleet(std::size_t aDaemons)
    : mShares(aDaemons, 0)
  {
    for (std::size_t i = 0; i < aDaemons; ++i) {
      mDaemons.push_back(
        std::make_unique<WorkspaceQuotas>([this, i] { return mShares[i]; }));
      mDaemons[i]->SetWorkspaces(MakeWorkspaces());
    }
  }

  /** Requests of aCost at aLoad units a second for aSpan, at daemon aDaemon. */
  void Run(std::size_t aDaemon, double aLoad, double aCost, Duration aSpan)
  {
    const Instant end = mNow + aSpan;
    const Duration step = FromSeconds(aCost / aLoad);
    while (mNow < end) {
      Request(aDaemon, aCost);
      mNow += step;
    }
  }
  void Request(std::size_t aDaemon, double aCost)
  {
    mAsked += aCost;
    if (!mDaemons[aDaemon]->Take({ "w", 0, aCost }, mNow)) {
      mAdmitted.emplace_back(mNow, aCost);
    }
  }
  double Admitted() const
  {
    double sum = 0;
    for (const auto& [time, cost] : mAdmitted) {
      sum += cost;
    }
    return sum;
  }
  double MaxInWindow() const
  {
    double sum = 0;
    double max = 0;
    std::size_t first = 0;
    for (const auto& [time, cost] : mAdmitted) {
      sum += cost;
      for (; time - mAdmitted[first].first > seconds(kWindowSeconds); ++first) {
        sum -= mAdmitted[first].second;
      }
      max = std::max(max, sum);
    }
    return max;
  }

  Instant mNow{ seconds(1000) };
  std::vector<double> mShares;
  std::vector<std::unique_ptr<WorkspaceQuotas>> mDaemons;
  std::vector<std::pair<Instant, double>> mAdmitted;
  double mAsked = 0;
};
} // namespace

// Guards against a workspace that gets more than its quota, and against one
// that is refused below it.
TEST_CASE("One daemon decides for all")
{
  QuotaFleet fleet(1);
  fleet.mShares = { 1 };
  SUBCASE("the whole quota is admitted at a load of 100%")
  {
    fleet.Run(0, kRate, 200, seconds(60));
    CHECK(fleet.Admitted() >= 0.97 * fleet.mAsked);
  }
  SUBCASE("six times the quota is cut to the quota")
  {
    fleet.Run(0, 6 * kRate, 200, seconds(60));
    CHECK(fleet.Admitted() >= 0.95 * kRate * 60);
  }
  SUBCASE("a request that costs more than the burst is admitted in its turn")
  {
    fleet.Run(0, 6 * kRate, 3 * kBurst, seconds(60));
    CHECK(fleet.Admitted() >= 0.9 * kRate * 60);
    CHECK(fleet.MaxInWindow() <= kMaxInWindow + 3 * kBurst);
    return;
  }
  CHECK(fleet.MaxInWindow() <= kMaxInWindow);
}

TEST_CASE("The time after which a request is admitted is stated")
{
  QuotaFleet fleet(1);
  fleet.mShares = { 1 };
  const PlacementTerms terms{ "w", 0, 4000 };
  while (!fleet.mDaemons[0]->Take(terms, fleet.mNow)) {
  }
  const auto wait = fleet.mDaemons[0]->Take(terms, fleet.mNow);
  REQUIRE(wait);
  CHECK(*wait > Duration::zero());
  CHECK(fleet.mDaemons[0]->Take(terms, fleet.mNow + *wait / 2));
  CHECK_FALSE(
    fleet.mDaemons[0]->Take(terms, fleet.mNow + *wait + milliseconds(1)));
}

// Guards against daemons that are cut off from the placement owner and give out
// the quota a second time.
TEST_CASE("The parts of all daemons add up to the quota")
{
  QuotaFleet fleet(20);
  const auto isolate = [&](std::size_t aCutOff) {
    for (std::size_t i = 0; i < 20; ++i) {
      fleet.mShares[i] = 1.0 / 20;
    }
    fleet.mShares[0] = (20.0 - static_cast<double>(aCutOff)) / 20;
  };
  const auto runAll = [&](Duration aSpan) {
    const Instant end = fleet.mNow + aSpan;
    while (fleet.mNow < end) {
      for (std::size_t i = 0; i < 20; ++i) {
        fleet.Request(i, 100);
      }
      fleet.mNow += milliseconds(20);
    }
  };
  SUBCASE("in a long partition")
  {
    isolate(19);
    runAll(seconds(40));
  }
  SUBCASE("while the partition comes and goes")
  {
    for (int i = 0; i < 20; ++i) {
      isolate(i % 2 == 0 ? 19 : 0);
      for (std::size_t j = 1; i % 2 != 0 && j < 20; ++j) {
        fleet.mDaemons[j]->Suspend();
      }
      if (i % 2 == 0) {
        runAll(seconds(1));
      } else {
        fleet.Run(0, 6 * kRate, 100, seconds(1));
      }
    }
  }
  SUBCASE("while the owner changes")
  {
    for (std::size_t i = 0; i < 10; ++i) {
      std::fill(fleet.mShares.begin(), fleet.mShares.end(), 1.0 / 20);
      fleet.mShares[i] = 1;
      fleet.Run(i, 6 * kRate, 100, seconds(5));
    }
  }
  CHECK(fleet.MaxInWindow() <= kMaxInWindow);
}

TEST_CASE("Daemons of a small fleet know each other's use")
{
  QuotaFleet fleet(3);
  fleet.mShares = { 1, 1, 1 };
  const auto exchange = [&] {
    for (std::size_t i = 0; i < 3; ++i) {
      for (std::size_t j = 0; j < 3; ++j) {
        if (i != j) {
          fleet.mDaemons[i]->SetPeer("d" + std::to_string(j),
                                     fleet.mDaemons[j]->OwnUses(fleet.mNow),
                                     fleet.mNow);
        }
      }
    }
  };
  exchange();
  double load = 6;
  SUBCASE("at six times the quota") {}
  SUBCASE("at 100% of it, from callers at one daemon")
  {
    load = 1;
  }
  const auto cost = load * kRate * 0.01;
  for (int i = 0; i < 6000; ++i) {
    fleet.Request(load > 1 ? static_cast<std::size_t>(i % 3) : 0, cost);
    fleet.mNow += milliseconds(10);
    if (i % 10 == 0) {
      exchange();
    }
  }
  CHECK(fleet.MaxInWindow() <= kMaxInWindow);
  CHECK(fleet.Admitted() >= 0.95 * kRate * 60);
}

TEST_CASE("Quotas follow the configuration")
{
  QuotaFleet fleet(1);
  fleet.mShares = { 1 };
  WorkspaceQuotas& quotas = *fleet.mDaemons[0];
  SUBCASE("a lower one holds at once")
  {
    quotas.SetWorkspaces(MakeWorkspaces(100, 100));
    fleet.Run(0, 6 * kRate, 100, seconds(8));
    CHECK(fleet.Admitted() <= 100 * 8 + 100 + 100);
  }
  SUBCASE("without one, everything is admitted")
  {
    quotas.SetWorkspaces(MakeWorkspaces(0, 0));
    fleet.Run(0, 6 * kRate, 100, seconds(8));
    CHECK(fleet.Admitted() == fleet.mAsked);
  }
  SUBCASE("a request that did not run gives its cost back")
  {
    for (int i = 0; i < 1000; ++i) {
      REQUIRE_FALSE(quotas.Take({ "w", 0, kBurst / 4 }, fleet.mNow));
      quotas.Refund({ "w", 0, kBurst / 4 });
    }
  }
}

} // namespace bulrushfold
