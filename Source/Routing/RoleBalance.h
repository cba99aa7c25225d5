#ifndef BULRUSHFOLD_ROUTING_ROLEBALANCE_H
#define BULRUSHFOLD_ROUTING_ROLEBALANCE_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Routing/EndpointDirectory.h"
#include "Routing/EndpointLoads.h"
#include "Routing/RoutingConfig.h"
#include "Routing/StreamRuns.h"

namespace bulrushfold {

/** What streams need of engines, on average. */
struct StreamNeeds
{
  double mPromptTokens = 0;
  double mAnswerTokens = 0;
  /** Prompt tokens that a prefill engine computes in a millisecond. */
  double mPrefillRate = 0;
  /** Tokens by which a run grows in a millisecond. */
  double mGrowth = 0;
};

/** Another role for an engine. */
struct RoleChange
{
  std::string mEndpoint;
  EndpointRole mRole = EndpointRole::Decode;
  /** Streams per second that the pools carry now and after the change. */
  double mRateBefore = 0;
  double mRateAfter = 0;
  Instant mDecidedAt;
};

/**
 * Decides when an engine moves between the prefill and the decode pool, from
 * the streams of all daemons: the pools should carry the same rate of streams.
 */
class RoleBalance
{
public:
  RoleBalance(const EndpointDirectory& aDirectory,
              const EndpointLoads& aLoads,
              const StreamRuns& aRuns);

  /** Takes a sample of the present streams of aService. */
  void Observe(const std::string& aService, Instant aNow);
  /** aGrowth, aPrefillRate: see StreamNeeds. Empty: the pools stay. */
  std::optional<RoleChange> Decide(const std::string& aService,
                                   const EngineProfile& aProfile,
                                   double aGrowth,
                                   double aPrefillRate,
                                   Instant aNow);
  /** False when the streams may have changed since aChange was decided. */
  static bool Holds(const RoleChange& aChange, Instant aNow)
  {
    return aNow - aChange.mDecidedAt <= kDecisionLifetime;
  }
  /** The order of the last decision was sent, or could not be. */
  void OnOrdered(Instant aNow);

  /** Streams per second that aPrefills and aDecodes engines carry. */
  static double Rate(const StreamNeeds& aNeeds,
                     const EngineProfile& aProfile,
                     std::size_t aPrefills,
                     std::size_t aDecodes);

private:
  /** Time in which a change shows its effect before the next one. */
  static constexpr Duration kChangeInterval = std::chrono::seconds(15);

  /** Engines of both pools, those included that change to one. */
  struct Pools
  {
    std::size_t mPrefills = 0;
    std::size_t mDecodes = 0;
  };
  Pools CountPools(const std::string& aService, Instant aNow) const;
  /** A store that is away can delay an order for as long as it likes. */
  static constexpr Duration kDecisionLifetime = std::chrono::seconds(2);

  /** Empty when no engine can be spared now. */
  std::string ChooseEngine(const std::string& aService,
                           EndpointRole aFrom) const;

  const EndpointDirectory& mDirectory;
  const EndpointLoads& mLoads;
  const StreamRuns& mRuns;
  /** Decaying sums over the samples. */
  double mSamples = 0;
  double mPromptSum = 0;
  double mAnswerSum = 0;
  /** Engines that the last decision still wants to change. */
  std::size_t mLeftOfBatch = 0;
  Instant mNextChange;
};

} // namespace bulrushfold

#endif
