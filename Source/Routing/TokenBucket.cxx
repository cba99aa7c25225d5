#include "Routing/TokenBucket.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

void
TokenBucket::Grow(const BucketLimits& aLimits, double aSeconds)
{
  const double half = aLimits.mBurst / 2;
  mRecentGrowth =
    std::max(mRecentGrowth - aSeconds / ToSeconds(kGrowthTime) * half, 0.0);
  const double growth = std::clamp(
    (aLimits.mBurst - mBurst) / 2, 0.0, std::max(half - mRecentGrowth, 0.0));
  mLevel += growth;
  mRecentGrowth += growth;
  mBurst = aLimits.mBurst;
}

void
TokenBucket::Refill(const BucketLimits& aLimits, Instant aNow)
{
  const Duration span =
    std::exchange(mIsSuspended, false) ? Duration::zero() : aNow - mRefilledAt;
  const double seconds = std::max(ToSeconds(span), 0.0);
  mRefilledAt = std::max(mRefilledAt, aNow);
  Grow(aLimits, seconds);
  mLevel = std::min(mLevel + seconds * aLimits.mRate, aLimits.mBurst);
}

void
TokenBucket::Suspend()
{
  mIsSuspended = true;
  mLevel = std::min(mLevel, 0.0);
  mBurst = 0;
}

bool
TokenBucket::TryTake(double aCost, const BucketLimits& aLimits, Instant aNow)
{
  Refill(aLimits, aNow);
  if (mLevel < std::min(aCost, aLimits.mBurst)) {
    return false;
  }
  mLevel -= aCost;
  return true;
}

Duration
TokenBucket::WaitFor(double aCost, const BucketLimits& aLimits) const
{
  const double missing = std::min(aCost, aLimits.mBurst) - mLevel;
  if (missing <= 0) {
    return Duration::zero();
  }
  const double longest = ToSeconds(kLongestWait);
  return aLimits.mRate * longest <= missing
           ? kLongestWait
           : FromSeconds(missing / aLimits.mRate);
}

} // namespace bulrushfold
