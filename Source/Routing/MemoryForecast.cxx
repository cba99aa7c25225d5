#include "Routing/MemoryForecast.h"

#include <algorithm>
#include <cmath>

namespace bulrushfold {

namespace {
/** Standard deviation of the logarithm of an answer's length; the mean is the
 * logarithm of the expected length. */
constexpr double kLogLengthDeviation = 0.43;
/** Distance between the times of a profile. */
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
  const double distance = std::log(aTokens / expected) / kLogLengthDeviation;
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
                          Duration aHorizon,
                          Instant aNow) const
{
  MemoryNeed need;
  double variance = 0;
  const double growth = ToMilliseconds(aHorizon) * mRate;
  for (const StreamRun* it : aRuns) {
    // A run that still exists has not generated its last possible token.
    const double generated =
      std::min(Generated(*it, aNow),
               std::max(static_cast<double>(it->mMaxAnswerTokens) - 1, 0.0));
    const double present = std::max(LongerThan(generated, *it), 1e-9);
    const double survival =
      std::min(1.0, LongerThan(generated + growth, *it) / present);
    const double size =
      static_cast<double>(it->mPromptTokens) + generated + growth;
    need.mMean += survival * size;
    variance += survival * (1 - survival) * size * size;
  }
  need.mDeviation = std::sqrt(variance);
  return need;
}

double
MemoryProfile::PeakWith(const MemoryProfile& aOther, double aDeviations) const
{
  double peak = 0;
  for (std::size_t i = 0; i < kPoints; ++i) {
    const double deviation = std::sqrt(mVariance[i] + aOther.mVariance[i]);
    peak = std::max(peak, mMean[i] + aOther.mMean[i] + aDeviations * deviation);
  }
  return peak;
}

MemoryProfile
MemoryForecast::Profile(const std::vector<const StreamRun*>& aRuns,
                        Instant aNow) const
{
  MemoryProfile profile;
  for (std::size_t i = 0; i < MemoryProfile::kPoints; ++i) {
    const MemoryNeed need =
      NeedAfter(aRuns, static_cast<int>(i) * kPeakStep, aNow);
    profile.mMean[i] = need.mMean;
    profile.mVariance[i] = need.mDeviation * need.mDeviation;
  }
  return profile;
}

double
MemoryForecast::Peak(const std::vector<const StreamRun*>& aRuns,
                     double aDeviations,
                     Instant aNow) const
{
  return Profile(aRuns, aNow).PeakWith({}, aDeviations);
}

} // namespace bulrushfold
