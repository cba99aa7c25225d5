#include "Routing/MemoryForecast.h"

#include <algorithm>
#include <cmath>

namespace bulrushfold {

namespace {
/** Standard deviation of the logarithm of an answer's length around what is
 * expected. */
constexpr double kLengthSpread = 0.43;
/** Points in time at which a peak is looked for, and their distance. */
constexpr int kPeakPoints = 9;
constexpr Duration kPeakStep = std::chrono::milliseconds(350);

/** Probability that the answer of aRun is longer than aTokens. */
double
LongerThan(double aTokens, const StreamRun& aRun)
{
  if (aTokens <= 1) {
    return 1;
  }
  if (aTokens >= static_cast<double>(aRun.mMaxAnswerTokens)) {
    return 0;
  }
  const double expected =
    std::max(static_cast<double>(aRun.mAnswerTokens), 1.0);
  const double distance = std::log(aTokens / expected) / kLengthSpread;
  return 0.5 * std::erfc(distance / std::sqrt(2.0));
}
} // namespace

MemoryForecast::MemoryForecast(double aTokensPerMillisecond)
  : mRate(aTokensPerMillisecond)
{
}

double
MemoryForecast::Generated(const StreamRun& aRun, Instant aNow) const
{
  return aRun.mStartedAt
           ? std::max(0.0, ToMilliseconds(aNow - *aRun.mStartedAt) * mRate)
           : 0;
}

MemoryNeed
MemoryForecast::NeedAfter(const std::vector<const StreamRun*>& aRuns,
                          Duration aAhead,
                          Instant aNow) const
{
  MemoryNeed need;
  double variance = 0;
  const double growth = ToMilliseconds(aAhead) * mRate;
  for (const StreamRun* it : aRuns) {
    // A run that is there has not reached its last token.
    const double generated =
      std::min(Generated(*it, aNow),
               std::max(static_cast<double>(it->mMaxAnswerTokens) - 1, 0.0));
    const double now = std::max(LongerThan(generated, *it), 1e-9);
    const double alive =
      std::min(1.0, LongerThan(generated + growth, *it) / now);
    const double size =
      static_cast<double>(it->mPromptTokens) + generated + growth;
    need.mMean += alive * size;
    variance += alive * (1 - alive) * size * size;
  }
  need.mDeviation = std::sqrt(variance);
  return need;
}

double
MemoryForecast::Peak(const std::vector<const StreamRun*>& aRuns,
                     double aDeviations,
                     Instant aNow) const
{
  double peak = 0;
  for (int i = 0; i < kPeakPoints; ++i) {
    const MemoryNeed need = NeedAfter(aRuns, i * kPeakStep, aNow);
    peak = std::max(peak, need.mMean + aDeviations * need.mDeviation);
  }
  return peak;
}

} // namespace bulrushfold
