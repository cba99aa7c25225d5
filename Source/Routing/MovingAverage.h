#ifndef BULRUSHFOLD_ROUTING_MOVINGAVERAGE_H
#define BULRUSHFOLD_ROUTING_MOVINGAVERAGE_H

#include <algorithm>
#include <cstdint>

namespace bulrushfold {

/**
 * Moving average of a quantity. The first reading replaces the assumed initial
 * value. The first ten have equal weights; later the weight of old ones decays.
 */
class MovingAverage
{
public:
  explicit MovingAverage(double aInitial)
    : mValue(aInitial)
  {
  }

  void Add(double aSample)
  {
    mSampleCount = std::min(mSampleCount + 1, kWindow);
    mValue += (aSample - mValue) / mSampleCount;
  }
  double Value() const { return mValue; }

private:
  /** Number of readings in the average; the weight of older ones decays. */
  static constexpr std::uint32_t kWindow = 10;

  double mValue;
  std::uint32_t mSampleCount = 0;
};

} // namespace bulrushfold

#endif
