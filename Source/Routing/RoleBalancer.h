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

/** Mean needs of the streams, and the speed of the engines. */
struct StreamNeeds
{
  double mPromptTokens = 0;
  double mAnswerTokens = 0;
  /** Prompt tokens that a prefill engine computes in a millisecond. */
  double mPrefillRate = 0;
  /** Tokens by which a run grows in a millisecond. */
  double mGrowth = 0;
};

/** A proposed change of an engine's role. */
struct RoleChange
{
  std::string mEndpoint;
  EndpointRole mRole = EndpointRole::Decode;
  /** Streams per second that the pools sustain now, and with the best division
   * of the engines. */
  double mRateBefore = 0;
  double mRateAfter = 0;
  /** The engine has runs, which must end or move before the change. */
  bool mMustDrain = false;
};

/**
 * Decides when an engine moves between the prefill and the decode pool, so that
 * both pools sustain the same rate of streams. The decision uses the streams of
 * all daemons.
 */
class RoleBalancer
{
public:
  RoleBalancer(const EndpointDirectory& aDirectory,
               const EndpointLoads& aLoads,
               const StreamRuns& aRuns,
               const EndpointHealth& aHealth);

  /** Samples the present streams of aService. */
  void Sample(const std::string& aService, Instant aNow);
  /** Returns a role change, or empty if the pools should stay as they are.
   * aGrowth, aPrefillRate: see StreamNeeds. */
  std::optional<RoleChange> Decide(const std::string& aService,
                                   const EngineProfile& aProfile,
                                   double aGrowth,
                                   double aPrefillRate,
                                   Instant aNow);
  /** True while aChange still improves the rate of streams and its engine can
   * still change its role. */
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
  /** The order of the last decision was sent, or sending it failed. */
  void OnOrdered(const std::string& aService, Instant aNow);

  /** Streams per second that aPrefills and aDecodes engines sustain. */
  static double Rate(const StreamNeeds& aNeeds,
                     const EngineProfile& aProfile,
                     std::size_t aPrefills,
                     std::size_t aDecodes);

private:
  /** Minimum time between changes, so that the effect of one is visible before
   * the next. */
  static constexpr Duration kChangeInterval = std::chrono::seconds(15);

  struct ServiceState
  {
    /** Decaying number of samples, and sums over them. */
    double mSamples = 0;
    double mPromptSum = 0;
    double mAnswerSum = 0;
    /** Engines of the present batch of changes that are still to be ordered. */
    std::size_t mRemainingInBatch = 0;
    Instant mNextChange;
    /** Role to which the last decisions would move an engine, and the number of
     * successive decisions with this result. */
    std::optional<EndpointRole> mProposedRole;
    std::uint32_t mConfirmations = 0;
  };
  /** Records the role that one decision results in, or none. True when enough
   * successive decisions had the same result. */
  static bool Confirm(ServiceState& aState, std::optional<EndpointRole> aRole);
  /** Number of engines in both pools. */
  struct Pools
  {
    std::size_t mPrefills = 0;
    std::size_t mDecodes = 0;
  };
  /** The best division of the engines between the pools. */
  struct Division
  {
    std::size_t mPrefills = 0;
    double mRateBefore = 0;
    double mRateAfter = 0;
  };
  /** True unless aEngine is missing in the registry or avoided. */
  bool IsCounted(const EndpointRecord& aEngine, Instant aNow) const;
  /** An engine whose role is changing counts in its new pool, but aExcluded in
   * its old one. */
  Pools CountPools(const std::string& aService,
                   const std::string& aExcluded,
                   Instant aNow) const;
  static Division BestDivision(const ServiceState& aState,
                               const Pools& aPools,
                               const EngineProfile& aProfile,
                               double aGrowth,
                               double aPrefillRate);
  /** The engine with role aFrom whose change costs least; empty when there is
   * none. */
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
