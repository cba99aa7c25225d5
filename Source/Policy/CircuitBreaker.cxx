#include "Policy/CircuitBreaker.h"

#include <algorithm>

namespace bulrushfold {

namespace {
constexpr std::uint32_t kMaxDoublings = 10;
// A trial without a result by then counts as lost, and another one may go.
constexpr Duration kTrialTime = std::chrono::seconds(10);
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
      return !mIsTrialSent || aNow >= mTrialEnds;
  }
  return false;
}

void
CircuitBreaker::OnSent(Instant aNow)
{
  if (CurrentState(aNow) == State::HalfOpen) {
    mIsTrialSent = true;
    mTrialEnds = aNow + kTrialTime;
  }
}

void
CircuitBreaker::OnSuccess()
{
  // A late success of work sent before the opening is no evidence.
  if (mIsOpen && !mIsTrialSent) {
    return;
  }
  mIsOpen = false;
  mIsTrialSent = false;
  mFailures = 0;
  mOpenings = 0;
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
  if (++mFailures >= mOptions.mFailures) {
    Open(aNow, aRandom);
  }
}

void
CircuitBreaker::Open(Instant aNow, Random& aRandom)
{
  const auto doublings = std::min(mOpenings, kMaxDoublings);
  const Duration full = std::min<Duration>(
    mOptions.mMaxOpenTime, mOptions.mOpenTime * (1LL << doublings));
  ++mOpenings;
  mIsOpen = true;
  mIsTrialSent = false;
  mFailures = 0;
  mRetryAt =
    aNow + FromSeconds(ToSeconds(full) * (0.5 + aRandom.UniformReal() / 2));
}

} // namespace bulrushfold
