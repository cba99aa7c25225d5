#include "Routing/MemoryForecast.h"

#include <algorithm>
#include <cmath>

namespace bulrushfold {

namespace {
/** Standard deviation of the logarithm of an answer's length; the mean is the
 * logarithm of the expected length. */
constexpr double kLogLengthDeviation = 0.43;

/**
 * Probability that an answer is longer than aRatio times its expected length:
 * that of a log-normal distribution, from a table with linear interpolation.
 * The logarithm and the error function took most of the time of a decision.
 */
class SurvivalTable
{
public:
  SurvivalTable()
  {
    for (std::size_t i = 0; i < mValues.size(); ++i) {
      const double ratio = static_cast<double>(i) / kStepsPerUnit;
      mValues[i] = i == 0
                     ? 1
                     : 0.5 * std::erfc(std::log(ratio) / kLogLengthDeviation /
                                       std::sqrt(2.0));
    }
  }
  double At(double aRatio) const
  {
    const double place = aRatio * kStepsPerUnit;
    const auto i = static_cast<std::size_t>(place);
    if (i + 1 >= mValues.size()) {
      return 0;
    }
    return mValues[i] +
           (mValues[i + 1] - mValues[i]) * (place - static_cast<double>(i));
  }

private:
  static constexpr std::size_t kStepsPerUnit = 128;
  /** Ratio beyond which the probability is below 1e-6. */
  static constexpr std::size_t kMaxRatio = 8;

  std::array<double, kStepsPerUnit * kMaxRatio + 1> mValues{};
};

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
  static const SurvivalTable sTable;
  return sTable.At(aTokens / expected);
}
} // namespace

MemoryForecast::MemoryForecast(double aTokensPerMillisecond)
  : mRate(aTokensPerMillisecond)
{
}

double
MemoryForecast::Growth(const StreamRun& aRun, Instant aNow) const
{
  return aRun.mStartedAt ? ToMilliseconds(aNow - *aRun.mStartedAt) * mRate : 0;
}

double
MemoryForecast::Generated(const StreamRun& aRun, Instant aNow) const
{
  return std::max(0.0, Growth(aRun, aNow));
}

MemoryForecast::RunState
MemoryForecast::StateOf(const StreamRun& aRun, Instant aNow) const
{
  // A run that still exists has not generated its last possible token.
  const double generated =
    std::min(Growth(aRun, aNow),
             std::max(static_cast<double>(aRun.mMaxAnswerTokens) - 1, 0.0));
  return { generated, std::max(LongerThan(generated, aRun), 1e-9) };
}

MemoryForecast::RunNeed
MemoryForecast::NeedOf(const StreamRun& aRun,
                       const RunState& aState,
                       Duration aHorizon) const
{
  const double generated =
    std::max(0.0, aState.mGenerated + ToMilliseconds(aHorizon) * mRate);
  const double survival =
    std::min(1.0, LongerThan(generated, aRun) / aState.mPresent);
  const double size = static_cast<double>(aRun.mPromptTokens) + generated;
  return { survival * size, survival * (1 - survival) * size * size };
}

MemoryNeed
MemoryForecast::NeedAfter(const std::vector<const StreamRun*>& aRuns,
                          Duration aHorizon,
                          Instant aNow) const
{
  RunNeed sum;
  for (const StreamRun* it : aRuns) {
    const RunNeed need = NeedOf(*it, StateOf(*it, aNow), aHorizon);
    sum.mMean += need.mMean;
    sum.mVariance += need.mVariance;
  }
  return { sum.mMean, std::sqrt(sum.mVariance) };
}

double
MemoryProfile::PeakWith(const MemoryProfile& aOther, double aDeviations) const
{
  double peak = 0;
  for (std::size_t i = 0; i < kPoints; ++i) {
    // Sums that shares were subtracted from may be slightly below zero.
    const double deviation =
      std::sqrt(std::max(0.0, mVariance[i] + aOther.mVariance[i]));
    peak = std::max(peak, mMean[i] + aOther.mMean[i] + aDeviations * deviation);
  }
  return peak;
}

MemoryProfile
MemoryProfile::After(Duration aSpan) const
{
  const double part = std::clamp(ToSeconds(aSpan) / ToSeconds(kStep), 0.0, 1.0);
  MemoryProfile later = *this;
  for (std::size_t i = 0; i + 1 < kPoints; ++i) {
    later.mMean[i] += part * (mMean[i + 1] - mMean[i]);
    later.mVariance[i] += part * (mVariance[i + 1] - mVariance[i]);
  }
  return later;
}

MemoryProfile&
MemoryProfile::operator+=(const MemoryProfile& aOther)
{
  for (std::size_t i = 0; i < kPoints; ++i) {
    mMean[i] += aOther.mMean[i];
    mVariance[i] += aOther.mVariance[i];
  }
  return *this;
}

MemoryProfile&
MemoryProfile::operator-=(const MemoryProfile& aOther)
{
  for (std::size_t i = 0; i < kPoints; ++i) {
    mMean[i] -= aOther.mMean[i];
    mVariance[i] -= aOther.mVariance[i];
  }
  return *this;
}

MemoryProfile
MemoryForecast::ProfileOf(const StreamRun& aRun, Instant aNow) const
{
  MemoryProfile profile;
  const RunState state = StateOf(aRun, aNow);
  for (std::size_t i = 0; i < MemoryProfile::kPoints; ++i) {
    const RunNeed need =
      NeedOf(aRun, state, static_cast<int>(i) * MemoryProfile::kStep);
    profile.mMean[i] = need.mMean;
    profile.mVariance[i] = need.mVariance;
  }
  return profile;
}

MemoryProfile
MemoryForecast::Profile(const std::vector<const StreamRun*>& aRuns,
                        Instant aNow) const
{
  MemoryProfile profile;
  for (const StreamRun* it : aRuns) {
    profile += ProfileOf(*it, aNow);
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
