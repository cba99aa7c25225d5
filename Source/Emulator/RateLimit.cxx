#include "Emulator/RateLimit.h"

#include <algorithm>

namespace bulrushfold {

RateLimit::RateLimit(const Clock& aClock)
  : mClock(aClock)
  , mRefilledAt(aClock.Now())
{
}

void
RateLimit::SetRate(double aRate)
{
  mRate = aRate;
  mAvailable = std::max(1.0, aRate);
  mRefilledAt = mClock.Now();
}

bool
RateLimit::TryAcquire()
{
  if (mRate <= 0) {
    return true;
  }
  const Instant now = mClock.Now();
  mAvailable = std::min(std::max(1.0, mRate),
                        mAvailable + mRate * ToSeconds(now - mRefilledAt));
  mRefilledAt = now;
  if (mAvailable < 1) {
    return false;
  }
  mAvailable -= 1;
  return true;
}

} // namespace bulrushfold
