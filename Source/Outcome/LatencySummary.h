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
 * current window and the one before it, so that they follow a change of load;
 * count and sum cover everything since the start.
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
   * Estimate of quantile aIndex of kSummaryQuantiles, in seconds: of the last
   * complete window if it was not empty, else of the current one. NaN when
   * nothing was recorded in either.
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
