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
 * learns from what was observed; each observation moves a value by a small
 * share, so that one outlier changes little.
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
  /** Mean time of one prefill, for queues known only by their length. */
  Duration MeanPrefillTime(const std::string& aModel) const;

  /** A prefill of aTokens uncached tokens took aSpan without waiting. */
  void ObservePrefill(const std::string& aModel,
                      EndpointSpeed& aSpeed,
                      std::uint64_t aTokens,
                      Duration aSpan);
  /** A stream gave aTokens tokens in aSpan, of at most aMaxTokens. */
  void ObserveDecode(const std::string& aModel,
                     EndpointSpeed& aSpeed,
                     std::uint64_t aTokens,
                     std::uint64_t aMaxTokens,
                     Duration aSpan);
  /** A transfer of a cache of aTokens had aBytes. */
  void ObserveTransfer(const std::string& aModel,
                       std::uint64_t aTokens,
                       double aBytes);
  /** A request with aTokens uncached prompt tokens was dispatched. */
  void ObservePrompt(const std::string& aModel, std::uint64_t aTokens);

private:
  /** What is known of one model. Initial values fit a model of about 8
   * billion parameters and are corrected by observations. */
  struct ModelCost
  {
    double mPrefillTokensPerSecond = 12000;
    double mSecondsPerToken = 0.03;
    /** Mean tokens of an answer as a share of its limit. */
    double mOutputShare = 0.5;
    double mBytesPerToken = 100e3;
    bool mIsBytesKnown = false;
    double mMeanPromptTokens = 1500;
  };

  const ModelCost& Of(const std::string& aModel) const;

  std::unordered_map<std::string, ModelCost> mModels;
  ModelCost mDefault;
};

} // namespace bulrushfold

#endif
