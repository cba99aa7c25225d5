#include "Policy/CircuitBreaker.h"

#include <algorithm>

namespace bulrushfold {

namespace {
constexpr std::uint32_t kMaxDoublings = 10;
// A trial without a result after this time counts as lost, and another trial is
// admitted.
constexpr Duration kTrialTimeout = std::chrono::seconds(10);
} // namespace

CircuitBreaker::CircuitBreaker(const BreakerOptions& aOptions)
  : mOptions(aOptions)
{
}

CircuitBreaker::State
CircuitBreaker::CurrentState(Instant aNow) const
{
  if (!mIsOpen) {
    return State::Closed;
  }
  return aNow < mRetryAt ? State::Open : State::HalfOpen;
}

bool
CircuitBreaker::Allows(Instant aNow) const
{
  switch (CurrentState(aNow)) {
    case State::Closed:
      return true;
    case State::Open:
      return false;
    case State::HalfOpen:
      return !mIsTrialSent || aNow >= mTrialExpires;
  }
  return false;
}

void
CircuitBreaker::OnSent(Instant aNow)
{
  if (CurrentState(aNow) == State::HalfOpen) {
    mIsTrialSent = true;
    mTrialExpires = aNow + kTrialTimeout;
  }
}

void
CircuitBreaker::OnSuccess()
{
  // Work that was sent before the breaker opened does not show that the target
  // has recovered.
  if (mIsOpen && !mIsTrialSent) {
    return;
  }
  mIsOpen = false;
  mIsTrialSent = false;
  mFailures = 0;
  mConsecutiveOpenings = 0;
}

void
CircuitBreaker::OnFailure(Instant aNow, Random& aRandom)
{
  if (mIsOpen) {
    if (mIsTrialSent) {
      Open(aNow, aRandom);
    }
    return;
  }
  if (++mFailures >= mOptions.mFailureThreshold) {
    Open(aNow, aRandom);
  }
}

void
CircuitBreaker::Open(Instant aNow, Random& aRandom)
{
  const auto doublings = std::min(mConsecutiveOpenings, kMaxDoublings);
  const Duration full = std::min<Duration>(
    mOptions.mMaxOpenTime, mOptions.mOpenTime * (1LL << doublings));
  ++mConsecutiveOpenings;
  mIsOpen = true;
  mIsTrialSent = false;
  mFailures = 0;
  mRetryAt =
    aNow + FromSeconds(ToSeconds(full) * (0.5 + aRandom.UniformReal() / 2));
}

} // namespace bulrushfold
