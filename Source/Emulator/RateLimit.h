#ifndef BULRUSHFOLD_EMULATOR_RATELIMIT_H
#define BULRUSHFOLD_EMULATOR_RATELIMIT_H

#include "Base/Clock.h"

namespace bulrushfold {

/** Token bucket with a capacity of one second of calls, at least one call. */
class RateLimit
{
public:
  explicit RateLimit(const Clock& aClock);

  /** Sets the limit in calls a second and fills the bucket; 0: no limit. */
  void SetRate(double aRate);
  /** Consumes a token; false when the bucket is empty. */
  bool TryAcquire();

private:
  const Clock& mClock;
  double mRate = 0;
  double mAvailable = 0;
  Instant mRefilledAt;
};

} // namespace bulrushfold

#endif
