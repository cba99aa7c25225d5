#ifndef BULRUSHFOLD_OUTCOME_LATENCYSUMMARY_H
#define BULRUSHFOLD_OUTCOME_LATENCYSUMMARY_H

#include <array>
#include <cstdint>
#include <memory>

#include "Base/Clock.h"

namespace bulrushfold {

/** Quantiles that a LatencySummary estimates. */
constexpr std::array<double, 3> kSummaryQuantiles{ 0.5, 0.95, 0.99 };

/**
 * Count, sum and estimated quantiles of durations. The quantiles cover the
 * previous or the current window, so that they follow a change of load. The
 * count and the sum cover all values since the start of the process.
 */
class LatencySummary
{
public:
  explicit LatencySummary(Duration aWindow = std::chrono::minutes(1));
  LatencySummary(LatencySummary&&) noexcept;
  LatencySummary& operator=(LatencySummary&&) noexcept;
  ~LatencySummary();

  void Record(Duration aValue, Instant aNow);

  std::uint64_t Count() const { return mCount; }
  double SumSeconds() const { return mSumSeconds; }
  /**
   * Estimates the quantile kSummaryQuantiles[aIndex], in seconds. The estimate
   * covers the last complete window if one with values is recent enough,
   * otherwise the current window. NaN when neither has values.
   */
  double QuantileSeconds(std::size_t aIndex, Instant aNow) const;

private:
  struct Window;
  void Rotate(Instant aNow);

  Duration mWindow;
  std::uint64_t mCount = 0;
  double mSumSeconds = 0;
  std::unique_ptr<Window> mCurrent;
  std::unique_ptr<Window> mPrevious;
};

} // namespace bulrushfold

#endif
