#ifndef BULRUSHFOLD_ROUTING_MOVINGESTIMATE_H
#define BULRUSHFOLD_ROUTING_MOVINGESTIMATE_H

#include <algorithm>
#include <cstdint>

namespace bulrushfold {

/** Mean of the last readings of a quantity. The first readings count as much
 * as their number says, so that an assumed start is forgotten soon. */
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
  /** Readings of which the mean is taken; older ones fade. */
  static constexpr std::uint32_t kMemory = 10;

  double mValue;
  std::uint32_t mReadings = 0;
};

} // namespace bulrushfold

#endif
