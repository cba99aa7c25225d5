#include "Outcome/LatencySummary.h"

#include <cmath>
#include <limits>
#include <utility>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace bulrushfold {

namespace {
namespace accumulators = boost::accumulators;
using Quantile = accumulators::accumulator_set<
  double,
  accumulators::stats<accumulators::tag::p_square_quantile,
                      accumulators::tag::count>>;
} // namespace

struct LatencySummary::Window
{
  explicit Window(Instant aStart)
    : mStart(aStart)
  {
    for (const double q : kSummaryQuantiles) {
      mQuantiles.emplace_back(accumulators::quantile_probability = q);
    }
  }

  Instant mStart;
  std::vector<Quantile> mQuantiles;
};

LatencySummary::LatencySummary(Duration aWindow)
  : mWindow(aWindow)
{
}

LatencySummary::LatencySummary(LatencySummary&&) noexcept = default;
LatencySummary& LatencySummary::operator=(LatencySummary&&) noexcept = default;
LatencySummary::~LatencySummary() = default;

void
LatencySummary::Record(Duration aValue, Instant aNow)
{
  Rotate(aNow);
  const double seconds = ToSeconds(aValue);
  ++mCount;
  mSumSeconds += seconds;
  for (auto& it : mCurrent->mQuantiles) {
    it(seconds);
  }
}

double
LatencySummary::QuantileSeconds(std::size_t aIndex, Instant aNow) const
{
  // A window is too old when it started two or more window lengths ago.
  for (const Window* it : { mPrevious.get(), mCurrent.get() }) {
    if (it != nullptr && aNow - it->mStart < 2 * mWindow) {
      return accumulators::p_square_quantile(it->mQuantiles[aIndex]);
    }
  }
  return std::numeric_limits<double>::quiet_NaN();
}

void
LatencySummary::Rotate(Instant aNow)
{
  if (!mCurrent) {
    mCurrent = std::make_unique<Window>(aNow);
  } else if (aNow - mCurrent->mStart >= mWindow) {
    mPrevious = std::exchange(mCurrent, std::make_unique<Window>(aNow));
  }
}

} // namespace bulrushfold
