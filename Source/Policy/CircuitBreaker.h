#ifndef BULRUSHFOLD_POLICY_CIRCUITBREAKER_H
#define BULRUSHFOLD_POLICY_CIRCUITBREAKER_H

#include <cstdint>

#include "Base/Clock.h"
#include "Base/Random.h"

namespace bulrushfold {

/** Settings of a circuit breaker. */
struct BreakerOptions
{
  /** Consecutive failures that open the breaker. */
  std::uint32_t mFailureThreshold = 3;
  /** Time for which the breaker first stays open; doubles with each failed
   * trial. */
  Duration mOpenTime = std::chrono::seconds(1);
  Duration mMaxOpenTime = std::chrono::seconds(30);
};

/**
 * Stops work to a target (an endpoint or a failure domain) that keeps failing.
 * After a time the breaker admits one trial, whose result closes the breaker or
 * opens it for longer.
 */
class CircuitBreaker
{
public:
  /** Which work the breaker admits. */
  enum class State
  {
    Closed,
    Open,
    /** One trial is admitted or in progress. */
    HalfOpen,
  };

  explicit CircuitBreaker(const BreakerOptions& aOptions = BreakerOptions());

  /** True when work may be sent to the target. */
  bool Allows(Instant aNow) const;
  /** Work was sent to the target; in state HalfOpen it becomes the trial. */
  void OnSent(Instant aNow);
  void OnSuccess();
  /** aRandom spreads the trials of different daemons over time. */
  void OnFailure(Instant aNow, Random& aRandom);
  State CurrentState(Instant aNow) const;

private:
  void Open(Instant aNow, Random& aRandom);

  BreakerOptions mOptions;
  std::uint32_t mFailures = 0;
  std::uint32_t mConsecutiveOpenings = 0;
  bool mIsOpen = false;
  bool mIsTrialSent = false;
  Instant mRetryAt;
  Instant mTrialExpires;
};

} // namespace bulrushfold

#endif
