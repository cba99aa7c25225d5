#ifndef BULRUSHFOLD_ROUTING_ROLEBALANCER_H
#define BULRUSHFOLD_ROUTING_ROLEBALANCER_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Routing/EndpointDirectory.h"
#include "Routing/EndpointHealth.h"
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
  /** The engine runs streams, which have to end or move first. */
  bool mMustDrain = false;
};

/**
 * Decides when an engine moves between the prefill and the decode pool, from
 * the streams of all daemons: the pools should carry the same rate of streams.
 */
class RoleBalancer
{
public:
  RoleBalancer(const EndpointDirectory& aDirectory,
               const EndpointLoads& aLoads,
               const StreamRuns& aRuns,
               const EndpointHealth& aHealth);

  /** Takes a sample of the present streams of aService. */
  void Sample(const std::string& aService, Instant aNow);
  /** aGrowth, aPrefillRate: see StreamNeeds. Empty: the pools stay. */
  std::optional<RoleChange> Decide(const std::string& aService,
                                   const EngineProfile& aProfile,
                                   double aGrowth,
                                   double aPrefillRate,
                                   Instant aNow);
  /** True while aChange is still worth it, and its engine still there. */
  bool IsStillValid(const RoleChange& aChange,
                    const std::string& aService,
                    const EngineProfile& aProfile,
                    double aGrowth,
                    double aPrefillRate,
                    Instant aNow) const;
  /** Streams that run at aEndpoint. */
  std::size_t RunsAt(const std::string& aEndpoint) const
  {
    return mRuns.CountAt(aEndpoint);
  }
  /** The order of the last decision was sent, or could not be. */
  void OnOrdered(const std::string& aService, Instant aNow);

  /** Streams per second that aPrefills and aDecodes engines carry. */
  static double Rate(const StreamNeeds& aNeeds,
                     const EngineProfile& aProfile,
                     std::size_t aPrefills,
                     std::size_t aDecodes);

private:
  /** Time in which a change shows its effect before the next one. */
  static constexpr Duration kChangeInterval = std::chrono::seconds(15);

  struct ServiceState
  {
    /** Decaying sums over the samples. */
    double mSamples = 0;
    double mPromptSum = 0;
    double mAnswerSum = 0;
    /** Engines that the last decision still wants to change. */
    std::size_t mLeftOfBatch = 0;
    Instant mNextChange;
    /** Role that engines should take, and for how many decisions in a row. */
    std::optional<EndpointRole> mWanted;
    std::uint32_t mConfirmations = 0;
  };
  /** aRole is wanted, or none: true when that was so for long enough. */
  static bool Confirm(ServiceState& aState, std::optional<EndpointRole> aRole);
  /** Engines of both pools. */
  struct Pools
  {
    std::size_t mPrefills = 0;
    std::size_t mDecodes = 0;
  };
  /** The best division of the engines. */
  struct Division
  {
    std::size_t mPrefills = 0;
    double mRateBefore = 0;
    double mRateAfter = 0;
  };
  /** Engines that change count where they go, unless it is aExcept; those in
   * doubt or avoided do not count. */
  bool Counts(const EndpointRecord& aEngine, Instant aNow) const;
  Pools CountPools(const std::string& aService,
                   const std::string& aExcept,
                   Instant aNow) const;
  static Division BestDivision(const ServiceState& aState,
                               const Pools& aPools,
                               const EngineProfile& aProfile,
                               double aGrowth,
                               double aPrefillRate);
  /** The engine of aFrom that gives its role up most easily; empty when there
   * is none. */
  std::string ChooseEngine(const std::string& aService,
                           EndpointRole aFrom,
                           Instant aNow) const;

  const EndpointDirectory& mDirectory;
  const EndpointLoads& mLoads;
  const StreamRuns& mRuns;
  const EndpointHealth& mHealth;
  std::map<std::string, ServiceState> mServices;
};

} // namespace bulrushfold

#endif
