#include "Serving/WorkspaceLimiter.h"

#include <algorithm>

namespace bulrushfold {

namespace {

/** Part of aTotal for a demand of aOwn among aAll. */
double
Proportion(double aTotal, double aOwn, double aAll)
{
  return aAll > 0 ? aTotal * aOwn / aAll : aTotal;
}

} // namespace

LimitLease
LimitAllocator::Grant(const std::string& aDaemon,
                      const LimitDemand& aDemand,
                      const WorkspaceLimits& aLimits,
                      Instant aNow)
{
  mReplicas[aDaemon].mDemand = aDemand;
  double leasedRate = 0;
  double leasedConcurrent = 0;
  double allRate = aDemand.mRequestsPerSecond;
  double allConcurrent = aDemand.mConcurrent;
  for (auto it = mReplicas.begin(); it != mReplicas.end();) {
    const auto& [name, holder] = *it;
    if (name != aDaemon && holder.mLease.mExpiry <= aNow) {
      it = mReplicas.erase(it);
      continue;
    }
    if (name != aDaemon) {
      leasedRate += holder.mLease.mRequestsPerSecond;
      leasedConcurrent += holder.mLease.mConcurrent;
      allRate += holder.mDemand.mRequestsPerSecond;
      allConcurrent += holder.mDemand.mConcurrent;
    }
    ++it;
  }
  const double rate = aLimits.mRequestsPerSecond * (1 - kUnleasedShare);
  const double concurrent =
    static_cast<double>(aLimits.mMaxConcurrent) * (1 - kUnleasedShare);
  LimitLease lease;
  lease.mRequestsPerSecond =
    std::clamp(Proportion(rate, aDemand.mRequestsPerSecond, allRate),
               0.0,
               std::max(0.0, rate - leasedRate));
  lease.mConcurrent =
    std::clamp(Proportion(concurrent, aDemand.mConcurrent, allConcurrent),
               0.0,
               std::max(0.0, concurrent - leasedConcurrent));
  lease.mExpiry = aNow + kLimitLeaseTime;
  mReplicas[aDaemon].mLease = lease;
  return lease;
}

void
WorkspaceLimiter::SetDaemons(std::size_t aCount)
{
  mDaemons = std::max<std::size_t>(1, aCount);
}

double
WorkspaceLimiter::RateOf(const State& aState, Instant aNow) const
{
  const double unleased = aState.mLimits.mRequestsPerSecond * kUnleasedShare /
                          static_cast<double>(mDaemons);
  return aState.mLease.mExpiry > aNow
           ? aState.mLease.mRequestsPerSecond + unleased
           : unleased;
}

double
WorkspaceLimiter::ConcurrencyOf(const State& aState, Instant aNow) const
{
  const double unleased = static_cast<double>(aState.mLimits.mMaxConcurrent) *
                          kUnleasedShare / static_cast<double>(mDaemons);
  const double leased =
    aState.mLease.mExpiry > aNow ? aState.mLease.mConcurrent : 0;
  return std::max(1.0, leased + unleased);
}

void
WorkspaceLimiter::Refill(State& aState, Instant aNow) const
{
  const double rate = RateOf(aState, aNow);
  const double share = rate / aState.mLimits.mRequestsPerSecond;
  const double capacity = std::max(1.0, aState.mLimits.mBurst * share);
  const double elapsed = ToSeconds(aNow - aState.mRefilled);
  aState.mTokens = std::min(capacity, aState.mTokens + elapsed * rate);
  aState.mRefilled = aNow;
}

LimitVerdict
WorkspaceLimiter::Begin(const std::string& aWorkspace,
                        const WorkspaceLimits& aLimits,
                        Instant aNow)
{
  const auto [it, isNew] = mWorkspaces.try_emplace(aWorkspace);
  State& state = it->second;
  state.mLimits = aLimits;
  if (isNew) {
    state.mRefilled = aNow;
  }
  ++state.mArrived;
  if (aLimits.mMaxConcurrent > 0 &&
      static_cast<double>(state.mInProgress) + 1 > ConcurrencyOf(state, aNow)) {
    ++state.mRefusedForConcurrency;
    return LimitVerdict::ConcurrencyLimited;
  }
  if (aLimits.mRequestsPerSecond > 0) {
    Refill(state, aNow);
    if (state.mTokens < 1) {
      return LimitVerdict::RateLimited;
    }
    state.mTokens -= 1;
  }
  ++state.mInProgress;
  state.mPeak = std::max(state.mPeak, state.mInProgress);
  return LimitVerdict::Accept;
}

void
WorkspaceLimiter::End(const std::string& aWorkspace)
{
  if (const auto it = mWorkspaces.find(aWorkspace);
      it != mWorkspaces.end() && it->second.mInProgress > 0) {
    --it->second.mInProgress;
  }
}

void
WorkspaceLimiter::OnLease(const std::string& aWorkspace,
                          const LimitLease& aLease)
{
  if (const auto it = mWorkspaces.find(aWorkspace); it != mWorkspaces.end()) {
    it->second.mLease = aLease;
  }
}

std::vector<LimitDemand>
WorkspaceLimiter::CollectDemand(Instant aNow)
{
  const double elapsed = std::max(0.001, ToSeconds(aNow - mDemandTaken));
  mDemandTaken = aNow;
  std::vector<LimitDemand> demand;
  for (auto it = mWorkspaces.begin(); it != mWorkspaces.end();) {
    auto& [name, state] = *it;
    const bool isIdle = state.mArrived == 0 && state.mInProgress == 0;
    if (isIdle && state.mLease.mExpiry <= aNow) {
      it = mWorkspaces.erase(it);
      continue;
    }
    const bool isLimited =
      state.mLimits.mRequestsPerSecond > 0 || state.mLimits.mMaxConcurrent > 0;
    if (isLimited && !isIdle) {
      demand.push_back(
        { name,
          static_cast<double>(state.mArrived) / elapsed,
          static_cast<double>(state.mPeak + state.mRefusedForConcurrency) });
    }
    state.mArrived = 0;
    state.mPeak = state.mInProgress;
    state.mRefusedForConcurrency = 0;
    ++it;
  }
  return demand;
}

} // namespace bulrushfold
