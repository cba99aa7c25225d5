#ifndef BULRUSHFOLD_OUTCOME_LATENCYHISTOGRAM_H
#define BULRUSHFOLD_OUTCOME_LATENCYHISTOGRAM_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "Base/Clock.h"

namespace bulrushfold {

/**
 * Upper bounds of the buckets of a LatencyHistogram, in seconds. One more
 * bucket, without an upper bound, follows.
 */
constexpr std::array<double, 13> kHistogramBounds{
  0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60
};

/** Counts durations by bucket, since the start of the process. */
class LatencyHistogram
{
public:
  LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;
  ~LatencyHistogram();

  void Record(Duration aValue);

  /** Returns the number of values up to kHistogramBounds[aIndex]. */
  std::uint64_t CountUpTo(std::size_t aIndex) const;
  std::uint64_t Count() const { return mCount; }
  double SumSeconds() const { return mSumSeconds; }

private:
  struct Buckets;

  std::uint64_t mCount = 0;
  double mSumSeconds = 0;
  std::unique_ptr<Buckets> mBuckets;
};

} // namespace bulrushfold

#endif
