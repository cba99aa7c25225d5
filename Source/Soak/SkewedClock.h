#ifndef BULRUSHFOLD_SOAK_SKEWEDCLOCK_H
#define BULRUSHFOLD_SOAK_SKEWEDCLOCK_H

#include "Base/Clock.h"

namespace bulrushfold {

/** Clock of one simulated process. Its wall time differs from the common time
 * by a skew. */
class SkewedClock : public Clock
{
public:
  explicit SkewedClock(const Clock& aCommonClock)
    : mCommonClock(aCommonClock)
  {
  }

  Instant Now() const override { return mCommonClock.Now(); }
  WallTime Wall() const override { return mCommonClock.Wall() + mSkew; }
  void SetSkew(std::chrono::milliseconds aSkew) { mSkew = aSkew; }

private:
  const Clock& mCommonClock;
  std::chrono::milliseconds mSkew{};
};

} // namespace bulrushfold

#endif
