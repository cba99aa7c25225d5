#include "Routing/AnswerLengthEstimator.h"

#include <algorithm>
#include <cmath>

namespace bulrushfold {

namespace {
/** Answers of a route after which their mean is used. */
constexpr std::uint32_t kMinAnswers = 5;
/** Number of answers in the mean; the weight of older ones decays. */
constexpr std::uint32_t kAveragedAnswers = 200;
/** Weight of the caller's estimate; the mean of the route has the rest. */
constexpr double kCallerEstimateWeight = 0.4;
/** Fraction of the maximum length that is expected without other data. */
constexpr double kDefaultFraction = 0.6;
} // namespace

void
AnswerLengthEstimator::OnAnswer(const std::string& aRoute,
                                std::uint64_t aTokens)
{
  if (aTokens == 0) {
    return;
  }
  RouteStats& stats = mRoutes[aRoute];
  stats.mCount = std::min(stats.mCount + 1, kAveragedAnswers);
  stats.mMeanLog +=
    (std::log(static_cast<double>(aTokens)) - stats.mMeanLog) / stats.mCount;
}

std::uint64_t
AnswerLengthEstimator::Estimate(const std::string& aRoute,
                                std::optional<std::uint64_t> aCallerEstimate,
                                std::uint64_t aMaxTokens) const
{
  const auto it = mRoutes.find(aRoute);
  const bool hasMean = it != mRoutes.end() && it->second.mCount >= kMinAnswers;
  const bool hasEstimate = aCallerEstimate && *aCallerEstimate > 0;
  double log =
    std::log(std::max(kDefaultFraction * static_cast<double>(aMaxTokens), 1.0));
  if (hasMean) {
    log = it->second.mMeanLog;
  }
  if (hasEstimate) {
    const double estimate = std::log(static_cast<double>(*aCallerEstimate));
    log += kCallerEstimateWeight * (estimate - log);
  }
  const auto expected = static_cast<std::uint64_t>(std::exp(log));
  return std::clamp<std::uint64_t>(
    expected, 1, std::max<std::uint64_t>(aMaxTokens, 1));
}

} // namespace bulrushfold
