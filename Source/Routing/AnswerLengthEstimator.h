#ifndef BULRUSHFOLD_ROUTING_ANSWERLENGTHESTIMATOR_H
#define BULRUSHFOLD_ROUTING_ANSWERLENGTHESTIMATOR_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bulrushfold {

/**
 * Expects the length of answers. A caller's guess is right on average but
 * often far off, so it counts as much as what the route's answers were.
 */
class AnswerLengthEstimator
{
public:
  void OnAnswer(const std::string& aRoute, std::uint64_t aTokens);
  /** aMost: tokens after which the answer ends in any case. */
  std::uint64_t Estimate(const std::string& aRoute,
                         std::optional<std::uint64_t> aGuess,
                         std::uint64_t aMost) const;

private:
  struct Seen
  {
    double mMeanLog = 0;
    std::uint32_t mCount = 0;
  };
  std::map<std::string, Seen> mRoutes;
};

} // namespace bulrushfold

#endif
