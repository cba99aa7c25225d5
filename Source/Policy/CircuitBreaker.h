#ifndef BULRUSHFOLD_POLICY_CIRCUITBREAKER_H
#define BULRUSHFOLD_POLICY_CIRCUITBREAKER_H

#include <cstdint>

#include "Base/Clock.h"
#include "Base/Random.h"

namespace bulrushfold {

/** Constants of a breaker. */
struct BreakerOptions
{
  /** Consecutive failures that open it. */
  std::uint32_t mFailures = 3;
  /** First time open; doubles with each failed trial. */
  Duration mOpenTime = std::chrono::seconds(1);
  Duration mMaxOpenTime = std::chrono::seconds(30);
};

/**
 * Stops work to a target (an endpoint or a failure domain) that keeps failing.
 * After a time it lets one trial through; the trial's result closes it or
 * opens it for longer.
 */
class CircuitBreaker
{
public:
  /** What the breaker lets through. */
  enum class State
  {
    Closed,
    Open,
    /** One trial may go through, or is on its way. */
    HalfOpen,
  };

  explicit CircuitBreaker(const BreakerOptions& aOptions = BreakerOptions());

  /** True when work may go to the target. */
  bool Allows(Instant aNow) const;
  /** Work was sent; while half-open this uses up the trial. */
  void OnSent(Instant aNow);
  void OnSuccess();
  /** aRandom spreads the trials of different daemons. */
  void OnFailure(Instant aNow, Random& aRandom);
  State CurrentState(Instant aNow) const;

private:
  void Open(Instant aNow, Random& aRandom);

  BreakerOptions mOptions;
  std::uint32_t mFailures = 0;
  std::uint32_t mOpenings = 0;
  bool mIsOpen = false;
  bool mIsTrialSent = false;
  Instant mRetryAt;
  Instant mTrialEnds;
};

} // namespace bulrushfold

#endif
