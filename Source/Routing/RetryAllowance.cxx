#include "Routing/RetryAllowance.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
/** Part of the limit that is used; the rest is a margin for outdated reports of
 * the peers. */
constexpr double kUsedFraction = 0.9;
/** Part of the slack that a process uses in its first window. */
constexpr double kInitialSlackFraction = 0.5;
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

RetryAllowance::RetryAllowance(const RetryBounds& aBounds, Instant aStart)
  : mBounds(aBounds)
  , mStart(aStart)
{
}

double
RetryAllowance::Slack(Instant aNow) const
{
  // The use of an earlier process in the same window is unknown.
  return aNow - mStart < mBounds.mWindow
           ? kInitialSlackFraction * mBounds.mSlack
           : mBounds.mSlack;
}

RetryAllowance::Use&
RetryAllowance::UseOf(const std::string& aService)
{
  return mUses.try_emplace(aService, mBounds.mWindow).first->second;
}

void
RetryAllowance::OnRequest(const std::string& aService, Instant aNow)
{
  UseOf(aService).mRequests.Add(aNow);
}

bool
RetryAllowance::Take(const std::string& aService,
                     std::uint32_t aSends,
                     Instant aNow)
{
  Use& use = UseOf(aService);
  const bool hasAllReports = mPeers.size() + 1 >= mDaemons;
  const bool fits = hasAllReports
                      ? FitsSharedBudget(aService, use, aSends, aNow)
                      : FitsOwnShare(use, aSends, aNow);
  if (aSends > 0 && !fits) {
    return false;
  }
  use.mRetries.Add(aNow, aSends);
  return true;
}

bool
RetryAllowance::FitsOwnShare(const Use& aUse,
                             std::uint32_t aSends,
                             Instant aNow) const
{
  const double slack = Slack(aNow) / static_cast<double>(mDaemons);
  const double allowed =
    kUsedFraction * (mBounds.mRatio * aUse.mRequests.LowerBound(aNow) + slack);
  return aUse.mRetries.UpperBound(aNow) + aSends <= allowed;
}

bool
RetryAllowance::FitsSharedBudget(const std::string& aService,
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
    kUsedFraction * (mBounds.mRatio * requests + Slack(aNow)) - retries +
    recent;
  return recent + aSends <= remaining / static_cast<double>(mDaemons);
}

void
RetryAllowance::SetDaemons(std::size_t aCount)
{
  mDaemons = std::max<std::size_t>(aCount, 1);
}

void
RetryAllowance::SetPeer(const std::string& aPeer, RetryUses aUses)
{
  mPeers[aPeer] = std::move(aUses);
}

void
RetryAllowance::RemovePeer(const std::string& aPeer)
{
  mPeers.erase(aPeer);
}

RetryUses
RetryAllowance::OwnUses(Instant aNow) const
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
