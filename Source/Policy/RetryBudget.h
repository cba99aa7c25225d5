#ifndef BULRUSHFOLD_POLICY_RETRYBUDGET_H
#define BULRUSHFOLD_POLICY_RETRYBUDGET_H

#include <cstdint>

#include "Base/Clock.h"
#include "Base/Random.h"

namespace bulrushfold {

/**
 * Limits retries to a share of the requests, so that failures cannot multiply
 * the load. Unused budget accumulates only up to a limit.
 */
class RetryBudget
{
public:
  /** aShare: retries allowed per request, 0 to 1. */
  RetryBudget(double aShare, Random& aRandom);

  /** Adds the share of a new request to the budget. */
  void OnRequest();
  /** Subtracts one retry from the budget; returns false when none is left. */
  bool TryConsume();
  /** Wait before retry number aRetry, counted from 1: random between zero and a
   * maximum that doubles with each retry. */
  Duration Backoff(std::uint32_t aRetry);

private:
  double mShare;
  Random& mRandom;
  double mAvailable;
};

} // namespace bulrushfold

#endif
