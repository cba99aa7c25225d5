#ifndef BULRUSHFOLD_ROUTING_MOVINGESTIMATE_H
#define BULRUSHFOLD_ROUTING_MOVINGESTIMATE_H

#include <algorithm>
#include <cstdint>

namespace bulrushfold {

/**
 * Moving average of a quantity. The first reading replaces the assumed initial
 * value. The first ten have equal weights; later the weight of old ones decays.
 */
class MovingEstimate
{
public:
  explicit MovingEstimate(double aAssumed)
    : mValue(aAssumed)
  {
  }

  void Add(double aReading)
  {
    mReadings = std::min(mReadings + 1, kMemory);
    mValue += (aReading - mValue) / mReadings;
  }
  double Value() const { return mValue; }

private:
  /** Number of readings in the average; the weight of older ones decays. */
  static constexpr std::uint32_t kMemory = 10;

  double mValue;
  std::uint32_t mReadings = 0;
};

} // namespace bulrushfold

#endif
