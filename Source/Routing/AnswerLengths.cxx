#include "Routing/AnswerLengths.h"

#include <algorithm>
#include <cmath>

namespace bulrushfold {

namespace {
/** Answers of a route after which their mean is used. */
constexpr std::uint32_t kEnough = 5;
/** Number of answers in the mean; the weight of older ones decays. */
constexpr std::uint32_t kMemory = 200;
/** Weight of the caller's estimate; the mean of the route has the rest. */
constexpr double kGuessWeight = 0.4;
/** Part of the maximum length that is expected without other information. */
constexpr double kUnknownPart = 0.6;
} // namespace

void
AnswerLengths::OnAnswer(const std::string& aRoute, std::uint64_t aTokens)
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
AnswerLengths::Expect(const std::string& aRoute,
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
