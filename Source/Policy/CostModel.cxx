#include "Policy/CostModel.h"

#include <algorithm>

namespace bulrushfold {

namespace {
// Weight of one observation in a moving average: about 20 observations replace
// an initial value.
constexpr double kLearningRate = 0.05;
// Bounds of an endpoint's deviation from its model's mean.
constexpr double kMinFactor = 0.25;
constexpr double kMaxFactor = 4.0;

void
Learn(double& aValue, double aObserved)
{
  aValue += kLearningRate * (aObserved - aValue);
}
} // namespace

const CostModel::ModelCost&
CostModel::Of(const std::string& aModel) const
{
  const auto it = mModels.find(aModel);
  return it == mModels.end() ? mDefault : it->second;
}

Duration
CostModel::PrefillTime(const std::string& aModel,
                       const EndpointSpeed& aSpeed,
                       std::uint64_t aTokens) const
{
  const double rate = Of(aModel).mPrefillTokensPerSecond;
  return FromSeconds(static_cast<double>(aTokens) / rate *
                     aSpeed.mPrefillFactor);
}

double
CostModel::OutputTokens(const std::string& aModel,
                        std::uint64_t aMaxTokens) const
{
  return std::max(1.0,
                  Of(aModel).mOutputShare * static_cast<double>(aMaxTokens));
}

Duration
CostModel::DecodeTime(const std::string& aModel,
                      const EndpointSpeed& aSpeed,
                      std::uint64_t aMaxTokens) const
{
  return FromSeconds(OutputTokens(aModel, aMaxTokens) *
                     Of(aModel).mSecondsPerToken * aSpeed.mTokenFactor);
}

double
CostModel::CacheBytes(const std::string& aModel, std::uint64_t aTokens) const
{
  return Of(aModel).mBytesPerToken * static_cast<double>(aTokens);
}

Duration
CostModel::MeanPrefillTime(const std::string& aModel) const
{
  const auto& cost = Of(aModel);
  return FromSeconds(cost.mMeanPromptTokens / cost.mPrefillTokensPerSecond);
}

void
CostModel::ObservePrefill(const std::string& aModel,
                          EndpointSpeed& aSpeed,
                          std::uint64_t aTokens,
                          Duration aSpan)
{
  if (aTokens == 0 || aSpan <= Duration::zero()) {
    return;
  }
  auto& cost = mModels[aModel];
  const double rate = static_cast<double>(aTokens) / ToSeconds(aSpan);
  Learn(
    aSpeed.mPrefillFactor,
    std::clamp(cost.mPrefillTokensPerSecond / rate, kMinFactor, kMaxFactor));
  Learn(cost.mPrefillTokensPerSecond, rate);
}

void
CostModel::ObserveDecode(const std::string& aModel,
                         EndpointSpeed& aSpeed,
                         std::uint64_t aTokens,
                         std::uint64_t aMaxTokens,
                         Duration aSpan)
{
  if (aTokens == 0 || aMaxTokens == 0) {
    return;
  }
  auto& cost = mModels[aModel];
  Learn(cost.mOutputShare,
        static_cast<double>(aTokens) / static_cast<double>(aMaxTokens));
  const double span = ToSeconds(aSpan) / static_cast<double>(aTokens);
  if (span <= 0) {
    return;
  }
  Learn(aSpeed.mTokenFactor,
        std::clamp(span / cost.mSecondsPerToken, kMinFactor, kMaxFactor));
  Learn(cost.mSecondsPerToken, span);
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
    if (cost.mIsBytesKnown) {
      Learn(cost.mBytesPerToken, observed);
    } else {
      cost.mBytesPerToken = observed;
      cost.mIsBytesKnown = true;
    }
  }
}

void
CostModel::ObservePrompt(const std::string& aModel, std::uint64_t aTokens)
{
  Learn(mModels[aModel].mMeanPromptTokens, static_cast<double>(aTokens));
}

} // namespace bulrushfold
