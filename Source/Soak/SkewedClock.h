#ifndef BULRUSHFOLD_SOAK_SKEWEDCLOCK_H
#define BULRUSHFOLD_SOAK_SKEWEDCLOCK_H

#include "Base/Clock.h"

namespace bulrushfold {

/** Clock of one simulated process. Its wall time differs from the common time
 * by a skew. */
class SkewedClock : public Clock
{
public:
  explicit SkewedClock(const Clock& aTrue)
    : mTrue(aTrue)
  {
  }

  Instant Now() const override { return mTrue.Now(); }
  WallTime Wall() const override { return mTrue.Wall() + mSkew; }
  void SetSkew(std::chrono::milliseconds aSkew) { mSkew = aSkew; }

private:
  const Clock& mTrue;
  std::chrono::milliseconds mSkew{};
};

} // namespace bulrushfold

#endif
