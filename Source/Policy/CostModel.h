#ifndef BULRUSHFOLD_POLICY_COSTMODEL_H
#define BULRUSHFOLD_POLICY_COSTMODEL_H

#include <cstdint>
#include <string>
#include <unordered_map>

#include "Base/Clock.h"

namespace bulrushfold {

/** Speed of one endpoint relative to the mean of its model. */
struct EndpointSpeed
{
  double mPrefillFactor = 1;
  double mTokenFactor = 1;
};

/**
 * Predicts how long the steps of a request take. Starts from assumed rates and
 * keeps a moving average of the observed values, in which one outlier changes
 * little.
 */
class CostModel
{
public:
  /** Time to compute aTokens of prompt that are not cached. */
  Duration PrefillTime(const std::string& aModel,
                       const EndpointSpeed& aSpeed,
                       std::uint64_t aTokens) const;
  /** Expected number of tokens of an answer limited to aMaxTokens. */
  double OutputTokens(const std::string& aModel,
                      std::uint64_t aMaxTokens) const;
  /** Expected time in a decode slot. */
  Duration DecodeTime(const std::string& aModel,
                      const EndpointSpeed& aSpeed,
                      std::uint64_t aMaxTokens) const;
  /** Expected size of a KV cache. */
  double CacheBytes(const std::string& aModel, std::uint64_t aTokens) const;
  /** Mean time of one prefill, to estimate the wait in a queue of which only
   * the length is reported. */
  Duration MeanPrefillTime(const std::string& aModel) const;

  /** A prefill computed aTokens uncached tokens in aElapsed, after its queueing
   * time. */
  void ObservePrefill(const std::string& aModel,
                      EndpointSpeed& aSpeed,
                      std::uint64_t aTokens,
                      Duration aElapsed);
  /** A decode, limited to aMaxTokens, produced aTokens tokens in aElapsed. */
  void ObserveDecode(const std::string& aModel,
                     EndpointSpeed& aSpeed,
                     std::uint64_t aTokens,
                     std::uint64_t aMaxTokens,
                     Duration aElapsed);
  /** The KV cache of aTokens tokens had a size of aBytes. */
  void ObserveTransfer(const std::string& aModel,
                       std::uint64_t aTokens,
                       double aBytes);
  /** A request with aTokens uncached prompt tokens was dispatched. */
  void ObservePrompt(const std::string& aModel, std::uint64_t aTokens);

private:
  /** Estimates for one model. The initial values fit a model of about 8
   * billion parameters; observations correct them. */
  struct ModelCost
  {
    double mPrefillTokensPerSecond = 12000;
    double mSecondsPerToken = 0.03;
    /** Mean tokens of an answer as a share of its limit. */
    double mOutputShare = 0.5;
    double mBytesPerToken = 100e3;
    bool mHasObservedBytes = false;
    double mMeanPromptTokens = 1500;
  };

  const ModelCost& CostOf(const std::string& aModel) const;

  std::unordered_map<std::string, ModelCost> mModels;
  ModelCost mDefault;
};

} // namespace bulrushfold

#endif
