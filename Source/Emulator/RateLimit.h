#ifndef BULRUSHFOLD_EMULATOR_RATELIMIT_H
#define BULRUSHFOLD_EMULATOR_RATELIMIT_H

#include "Base/Clock.h"

namespace bulrushfold {

/** Token bucket that holds at most the calls of one second. */
class RateLimit
{
public:
  explicit RateLimit(const Clock& aClock);

  /** Calls a second; 0 lifts the limit. */
  void SetRate(double aRate);
  /** True when one more call is within the limit; counts it. */
  bool Take();

private:
  const Clock& mClock;
  double mRate = 0;
  double mAvailable = 0;
  Instant mFilledAt;
};

} // namespace bulrushfold

#endif
