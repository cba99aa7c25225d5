#include "Outcome/LatencyHistogram.h"

#include <boost/histogram.hpp>

namespace bulrushfold {

namespace {
namespace histogram = boost::histogram;

auto
MakeBuckets()
{
  return histogram::make_histogram(histogram::axis::variable<>(
    kHistogramBounds.begin(), kHistogramBounds.end()));
}
} // namespace

struct LatencyHistogram::Buckets
{
  decltype(MakeBuckets()) mCounts = MakeBuckets();
};

LatencyHistogram::LatencyHistogram()
  : mBuckets(std::make_unique<Buckets>())
{
}

LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;

LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept =
  default;

LatencyHistogram::~LatencyHistogram() = default;

void
LatencyHistogram::Record(Duration aValue)
{
  const double seconds = ToSeconds(aValue);
  // A Boost bucket excludes its upper bound, a Prometheus bucket includes it.
  // Durations are whole microseconds, so the shift by a nanosecond only moves
  // values that equal a bound.
  mBuckets->mCounts(seconds - 1e-9);
  mSumSeconds += seconds;
  ++mCount;
}

std::uint64_t
LatencyHistogram::CountUpTo(std::size_t aIndex) const
{
  double count = 0;
  // Index -1 is the bucket of the values below the first bound.
  for (int i = -1; i < static_cast<int>(aIndex); ++i) {
    count += static_cast<double>(mBuckets->mCounts.at(i));
  }
  return static_cast<std::uint64_t>(count);
}

} // namespace bulrushfold
