#include "Routing/SharedRetryBudget.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
/** Part of the bound that is used; the rest covers the age of what is known
 * of the peers. */
constexpr double kUsedPart = 0.9;
/** Part of the baseRetries that is used in the first window of a process. */
constexpr double kFirstPart = 0.5;
} // namespace

WindowCount::WindowCount(Duration aWindow)
  : mStep(std::max(aWindow / static_cast<std::int64_t>(kSteps), Duration(1)))
{
}

std::int64_t
WindowCount::StepOf(Instant aTime) const
{
  return aTime.time_since_epoch() / mStep;
}

void
WindowCount::Add(Instant aNow, std::uint32_t aCount)
{
  const std::int64_t number = StepOf(aNow);
  Step& step = mRing[static_cast<std::size_t>(number) % mRing.size()];
  if (step.mNumber != number) {
    step = { number, 0 };
  }
  step.mCount += aCount;
}

std::uint32_t
WindowCount::Sum(Instant aNow, std::int64_t aSteps) const
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
WindowCount::AtMost(Instant aNow) const
{
  return Sum(aNow, kSteps + 1);
}

std::uint32_t
WindowCount::Since(Duration aSpan, Instant aNow) const
{
  return Sum(aNow, aSpan / mStep + 2);
}

std::uint32_t
WindowCount::AtLeast(Instant aNow) const
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
  // What the process before this one used is not known.
  return aNow - mStart < mLimits.mWindow ? kFirstPart * mLimits.mBaseRetries
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
SharedRetryBudget::TryConsume(const std::string& aService,
                              std::uint32_t aSends,
                              Instant aNow)
{
  Use& use = UseOf(aService);
  const bool hearsAll = mPeers.size() + 1 >= mDaemons;
  const bool fits = hearsAll ? FitsTotal(aService, use, aSends, aNow)
                             : FitsOwnPart(use, aSends, aNow);
  if (aSends > 0 && !fits) {
    return false;
  }
  use.mRetries.Add(aNow, aSends);
  return true;
}

bool
SharedRetryBudget::FitsOwnPart(const Use& aUse,
                               std::uint32_t aSends,
                               Instant aNow) const
{
  const double baseRetries = BaseRetries(aNow) / static_cast<double>(mDaemons);
  const double allowed =
    kUsedPart * (mLimits.mRatio * aUse.mRequests.AtLeast(aNow) + baseRetries);
  return aUse.mRetries.AtMost(aNow) + aSends <= allowed;
}

bool
SharedRetryBudget::FitsTotal(const std::string& aService,
                             const Use& aUse,
                             std::uint32_t aSends,
                             Instant aNow) const
{
  double requests = aUse.mRequests.AtLeast(aNow);
  double retries = aUse.mRetries.AtMost(aNow);
  for (const auto& [peer, uses] : mPeers) {
    if (const auto it = uses.find(aService); it != uses.end()) {
      requests += it->second.mRequests;
      retries += it->second.mRetries;
    }
  }
  // The peers see the same rest and take their parts of it at the same time.
  const double recent = aUse.mRetries.Since(kNewsAge, aNow);
  const double left =
    kUsedPart * (mLimits.mRatio * requests + BaseRetries(aNow)) - retries +
    recent;
  return recent + aSends <= left / static_cast<double>(mDaemons);
}

void
SharedRetryBudget::SetDaemons(std::size_t aCount)
{
  mDaemons = std::max<std::size_t>(aCount, 1);
}

void
SharedRetryBudget::SetPeer(const std::string& aPeer, RetryUses aUses)
{
  mPeers[aPeer] = std::move(aUses);
}

void
SharedRetryBudget::RemovePeer(const std::string& aPeer)
{
  mPeers.erase(aPeer);
}

RetryUses
SharedRetryBudget::OwnUses(Instant aNow) const
{
  RetryUses uses;
  for (const auto& [service, use] : mUses) {
    const RetryUse own{ use.mRequests.AtLeast(aNow),
                        use.mRetries.AtMost(aNow) };
    if (own.mRequests > 0 || own.mRetries > 0) {
      uses[service] = own;
    }
  }
  return uses;
}

} // namespace bulrushfold
