#include "Routing/SharedRetryBudget.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
/** Fraction of the limit that is used; the rest is a margin for outdated
 * reports of the peers. */
constexpr double kUsedFraction = 0.9;
/** Fraction of the base retries that a process uses in its first window. */
constexpr double kInitialBaseFraction = 0.5;
} // namespace

SlidingWindowCounter::SlidingWindowCounter(Duration aWindow)
  : mStep(std::max(aWindow / static_cast<std::int64_t>(kSteps), Duration(1)))
{
}

std::int64_t
SlidingWindowCounter::StepOf(Instant aTime) const
{
  return aTime.time_since_epoch() / mStep;
}

void
SlidingWindowCounter::Add(Instant aNow, std::uint32_t aCount)
{
  const std::int64_t number = StepOf(aNow);
  Step& step = mRing[static_cast<std::size_t>(number) % mRing.size()];
  if (step.mNumber != number) {
    step = { number, 0 };
  }
  step.mCount += aCount;
}

std::uint32_t
SlidingWindowCounter::Sum(Instant aNow, std::int64_t aSteps) const
{
  const std::int64_t newest = StepOf(aNow);
  std::uint32_t sum = 0;
  for (const auto& it : mRing) {
    if (it.mNumber > newest - aSteps && it.mNumber <= newest) {
      sum += it.mCount;
    }
  }
  return sum;
}

std::uint32_t
SlidingWindowCounter::UpperBound(Instant aNow) const
{
  return Sum(aNow, kSteps + 1);
}

std::uint32_t
SlidingWindowCounter::CountSince(Duration aSpan, Instant aNow) const
{
  return Sum(aNow, aSpan / mStep + 2);
}

std::uint32_t
SlidingWindowCounter::LowerBound(Instant aNow) const
{
  return Sum(aNow, kSteps);
}

SharedRetryBudget::SharedRetryBudget(const RetryLimits& aLimits, Instant aStart)
  : mLimits(aLimits)
  , mStart(aStart)
{
}

double
SharedRetryBudget::BaseRetries(Instant aNow) const
{
  // The use of an earlier process in the same window is unknown.
  return aNow - mStart < mLimits.mWindow
           ? kInitialBaseFraction * mLimits.mBaseRetries
           : mLimits.mBaseRetries;
}

SharedRetryBudget::Use&
SharedRetryBudget::UseOf(const std::string& aService)
{
  return mUses.try_emplace(aService, mLimits.mWindow).first->second;
}

void
SharedRetryBudget::OnRequest(const std::string& aService, Instant aNow)
{
  UseOf(aService).mRequests.Add(aNow);
}

bool
SharedRetryBudget::Allows(const std::string& aService,
                          std::uint32_t aSends,
                          Instant aNow)
{
  if (aSends == 0) {
    return true;
  }
  const Use& use = UseOf(aService);
  const bool hasAllReports = ReportedDaemons() + 1 >= mDaemons;
  return hasAllReports ? FitsSharedBudget(aService, use, aSends, aNow)
                       : FitsOwnShare(use, aSends, aNow);
}

bool
SharedRetryBudget::TryConsume(const std::string& aService,
                              std::uint32_t aSends,
                              Instant aNow)
{
  if (!Allows(aService, aSends, aNow)) {
    return false;
  }
  UseOf(aService).mRetries.Add(aNow, aSends);
  return true;
}

bool
SharedRetryBudget::FitsOwnShare(const Use& aUse,
                                std::uint32_t aSends,
                                Instant aNow) const
{
  const double baseRetries = BaseRetries(aNow) / static_cast<double>(mDaemons);
  const double allowed =
    kUsedFraction *
    (mLimits.mRatio * aUse.mRequests.LowerBound(aNow) + baseRetries);
  return aUse.mRetries.UpperBound(aNow) + aSends <= allowed;
}

bool
SharedRetryBudget::FitsSharedBudget(const std::string& aService,
                                    const Use& aUse,
                                    std::uint32_t aSends,
                                    Instant aNow) const
{
  double requests = aUse.mRequests.LowerBound(aNow);
  double retries = aUse.mRetries.UpperBound(aNow);
  for (const auto& [peer, uses] : mPeers) {
    if (const auto it = uses.find(aService); it != uses.end()) {
      requests += it->second.mRequests;
      retries += it->second.mRetries;
    }
  }
  // The peers calculate the same remainder and may use their parts of it at the
  // same time. Retries since the last update are not in the peers' reports.
  const double recent = aUse.mRetries.CountSince(kMaxUpdateInterval, aNow);
  const double remaining =
    kUsedFraction * (mLimits.mRatio * requests + BaseRetries(aNow)) - retries +
    recent;
  return recent + aSends <= remaining / static_cast<double>(mDaemons);
}

void
SharedRetryBudget::SetDaemons(std::size_t aCount)
{
  mDaemons = std::max<std::size_t>(aCount, 1);
}

void
SharedRetryBudget::SetPeer(const std::string& aPeer, RetryUses aUses)
{
  if (mFleetDaemons) {
    mPeers.clear();
    mFleetDaemons.reset();
  }
  mPeers[aPeer] = std::move(aUses);
}

void
SharedRetryBudget::SetFleet(const std::string& aPeer,
                            RetryUses aUses,
                            std::size_t aDaemons)
{
  mPeers.clear();
  mPeers[aPeer] = std::move(aUses);
  mFleetDaemons = aDaemons;
  SetDaemons(aDaemons + 1);
}

RetryUses
SharedRetryBudget::AllUses(Instant aNow) const
{
  RetryUses sum = OwnUses(aNow);
  for (const auto& [peer, uses] : mPeers) {
    for (const auto& [service, use] : uses) {
      sum[service].mRequests += use.mRequests;
      sum[service].mRetries += use.mRetries;
    }
  }
  return sum;
}

void
SharedRetryBudget::RemovePeer(const std::string& aPeer)
{
  if (mPeers.erase(aPeer) > 0) {
    mFleetDaemons.reset();
  }
}

RetryUses
SharedRetryBudget::OwnUses(Instant aNow) const
{
  RetryUses uses;
  for (const auto& [service, use] : mUses) {
    const RetryUse own{ use.mRequests.LowerBound(aNow),
                        use.mRetries.UpperBound(aNow) };
    if (own.mRequests > 0 || own.mRetries > 0) {
      uses[service] = own;
    }
  }
  return uses;
}

} // namespace bulrushfold
