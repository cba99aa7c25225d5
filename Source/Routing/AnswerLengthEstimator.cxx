#include "Routing/AnswerLengthEstimator.h"

#include <algorithm>
#include <cmath>

namespace bulrushfold {

namespace {
/** Answers after which what was seen counts. */
constexpr std::uint32_t kEnough = 5;
/** Answers of which the mean is taken; older ones fade. */
constexpr std::uint32_t kMemory = 200;
/** Weight of a caller's guess against the mean of the route. */
constexpr double kGuessWeight = 0.4;
/** Part of the most that is expected when nothing is known. */
constexpr double kUnknownPart = 0.6;
} // namespace

void
AnswerLengthEstimator::OnAnswer(const std::string& aRoute,
                                std::uint64_t aTokens)
{
  if (aTokens == 0) {
    return;
  }
  Seen& seen = mRoutes[aRoute];
  seen.mCount = std::min(seen.mCount + 1, kMemory);
  seen.mMeanLog +=
    (std::log(static_cast<double>(aTokens)) - seen.mMeanLog) / seen.mCount;
}

std::uint64_t
AnswerLengthEstimator::Estimate(const std::string& aRoute,
                                std::optional<std::uint64_t> aGuess,
                                std::uint64_t aMost) const
{
  const auto it = mRoutes.find(aRoute);
  const bool isKnown = it != mRoutes.end() && it->second.mCount >= kEnough;
  const bool hasGuess = aGuess && *aGuess > 0;
  double log =
    std::log(std::max(kUnknownPart * static_cast<double>(aMost), 1.0));
  if (isKnown) {
    log = it->second.mMeanLog;
  }
  if (hasGuess) {
    const double guess = std::log(static_cast<double>(*aGuess));
    log += kGuessWeight * (guess - log);
  }
  const auto expected = static_cast<std::uint64_t>(std::exp(log));
  return std::clamp<std::uint64_t>(
    expected, 1, std::max<std::uint64_t>(aMost, 1));
}

} // namespace bulrushfold
