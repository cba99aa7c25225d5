#ifndef BULRUSHFOLD_ROUTING_ANSWERLENGTHESTIMATOR_H
#define BULRUSHFOLD_ROUTING_ANSWERLENGTHESTIMATOR_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bulrushfold {

/**
 * Estimates the length of answers. A caller's estimate is right on average but
 * single ones are often far off, so it is combined with the mean length of the
 * route's earlier answers.
 */
class AnswerLengthEstimator
{
public:
  void OnAnswer(const std::string& aRoute, std::uint64_t aTokens);
  /**
   * Expected length of an answer, in tokens. aCallerEstimate: estimate of the
   * caller. aMaxTokens: maximum length of the answer.
   */
  std::uint64_t Estimate(const std::string& aRoute,
                         std::optional<std::uint64_t> aCallerEstimate,
                         std::uint64_t aMaxTokens) const;

private:
  struct RouteStats
  {
    double mMeanLog = 0;
    std::uint32_t mCount = 0;
  };
  std::map<std::string, RouteStats> mRoutes;
};

} // namespace bulrushfold

#endif
