#include "Policy/CostModel.h"

#include <algorithm>

namespace bulrushfold {

namespace {
// Weight of one observation in a moving average: about 20 observations replace
// an initial value.
constexpr double kSmoothingFactor = 0.05;
// Limits of an endpoint's deviation from its model's mean.
constexpr double kMinFactor = 0.25;
constexpr double kMaxFactor = 4.0;

void
UpdateAverage(double& aAverage, double aObserved)
{
  aAverage += kSmoothingFactor * (aObserved - aAverage);
}
} // namespace

const CostModel::ModelCost&
CostModel::CostOf(const std::string& aModel) const
{
  const auto it = mModels.find(aModel);
  return it == mModels.end() ? mDefault : it->second;
}

Duration
CostModel::PrefillTime(const std::string& aModel,
                       const EndpointSpeed& aSpeed,
                       std::uint64_t aTokens) const
{
  const double rate = CostOf(aModel).mPrefillTokensPerSecond;
  return FromSeconds(static_cast<double>(aTokens) / rate *
                     aSpeed.mPrefillFactor);
}

double
CostModel::OutputTokens(const std::string& aModel,
                        std::uint64_t aMaxTokens) const
{
  return std::max(
    1.0, CostOf(aModel).mOutputShare * static_cast<double>(aMaxTokens));
}

Duration
CostModel::DecodeTime(const std::string& aModel,
                      const EndpointSpeed& aSpeed,
                      std::uint64_t aMaxTokens) const
{
  return FromSeconds(OutputTokens(aModel, aMaxTokens) *
                     CostOf(aModel).mSecondsPerToken * aSpeed.mTokenFactor);
}

double
CostModel::CacheBytes(const std::string& aModel, std::uint64_t aTokens) const
{
  return CostOf(aModel).mBytesPerToken * static_cast<double>(aTokens);
}

Duration
CostModel::MeanPrefillTime(const std::string& aModel) const
{
  const auto& cost = CostOf(aModel);
  return FromSeconds(cost.mMeanPromptTokens / cost.mPrefillTokensPerSecond);
}

void
CostModel::ObservePrefill(const std::string& aModel,
                          EndpointSpeed& aSpeed,
                          std::uint64_t aTokens,
                          Duration aElapsed)
{
  if (aTokens == 0 || aElapsed <= Duration::zero()) {
    return;
  }
  auto& cost = mModels[aModel];
  const double rate = static_cast<double>(aTokens) / ToSeconds(aElapsed);
  UpdateAverage(
    aSpeed.mPrefillFactor,
    std::clamp(cost.mPrefillTokensPerSecond / rate, kMinFactor, kMaxFactor));
  UpdateAverage(cost.mPrefillTokensPerSecond, rate);
}

void
CostModel::ObserveDecode(const std::string& aModel,
                         EndpointSpeed& aSpeed,
                         std::uint64_t aTokens,
                         std::uint64_t aMaxTokens,
                         Duration aElapsed)
{
  if (aTokens == 0 || aMaxTokens == 0) {
    return;
  }
  auto& cost = mModels[aModel];
  UpdateAverage(cost.mOutputShare,
                static_cast<double>(aTokens) / static_cast<double>(aMaxTokens));
  const double secondsPerToken =
    ToSeconds(aElapsed) / static_cast<double>(aTokens);
  if (secondsPerToken <= 0) {
    return;
  }
  UpdateAverage(aSpeed.mTokenFactor,
                std::clamp(secondsPerToken / cost.mSecondsPerToken,
                           kMinFactor,
                           kMaxFactor));
  UpdateAverage(cost.mSecondsPerToken, secondsPerToken);
}

void
CostModel::ObserveTransfer(const std::string& aModel,
                           std::uint64_t aTokens,
                           double aBytes)
{
  if (aTokens > 0 && aBytes > 0) {
    // The cache size per token is a constant of the model, so the first
    // transfer replaces the initial value. An initial value that is far off
    // would otherwise make the policy reject requests for a long time.
    ModelCost& cost = mModels[aModel];
    const double observed = aBytes / static_cast<double>(aTokens);
    if (cost.mHasObservedBytes) {
      UpdateAverage(cost.mBytesPerToken, observed);
    } else {
      cost.mBytesPerToken = observed;
      cost.mHasObservedBytes = true;
    }
  }
}

void
CostModel::ObservePrompt(const std::string& aModel, std::uint64_t aTokens)
{
  UpdateAverage(mModels[aModel].mMeanPromptTokens,
                static_cast<double>(aTokens));
}

} // namespace bulrushfold
