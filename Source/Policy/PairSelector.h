#ifndef BULRUSHFOLD_POLICY_PAIRSELECTOR_H
#define BULRUSHFOLD_POLICY_PAIRSELECTOR_H

#include <optional>
#include <string>
#include <vector>

#include "Base/Random.h"
#include "Policy/CostModel.h"
#include "Policy/EndpointTable.h"
#include "Policy/LinkSchedule.h"
#include "Policy/PolicyTypes.h"
#include "Policy/PrefixIndex.h"

namespace bulrushfold {

/** A prefill and a decode endpoint, which may be the same one. */
struct PairChoice
{
  EndpointView* mPrefill = nullptr;
  EndpointView* mDecode = nullptr;
  /** Expected time from now to the first token. */
  Duration mFirstToken{};
  /** Expected computing time of the prefill. */
  Duration mWork{};
  double mCost = 0;
};

/** A decode endpoint for a KV cache that exists or will exist. */
struct DecodeChoice
{
  EndpointView* mDecode = nullptr;
  /** Expected time from the cache being ready to the first token. */
  Duration mFirstToken{};
  double mCost = 0;
};

/**
 * Chooses endpoints by predicted cost. The candidates are a random sample of
 * limited size and the endpoints that cache the prompt's prefix, so that the
 * time of a decision does not grow with the number of endpoints. A random part
 * of the cost prevents daemons that received the same reports from choosing the
 * same endpoint.
 */
class PairSelector
{
public:
  PairSelector(EndpointTable& aEndpoints,
               const PrefixIndex& aPrefixes,
               const LinkSchedule& aLinks,
               const CostModel& aCosts,
               Random& aRandom);

  void SetPreset(const Preset& aPreset) { mPreset = aPreset; }
  /** The cheapest pair without the endpoints in aExcluded; empty when there is
   * none. aBudget is the time that is left until the first token is due. */
  std::optional<PairChoice> Choose(const ModelRequest& aRequest,
                                   const std::vector<std::string>& aExcluded,
                                   Duration aBudget,
                                   Instant aNow);
  /** The cheapest decode endpoint for a KV cache at aPrefill that is ready in
   * aReadyIn. The result may be aPrefill itself, which needs no transfer. */
  std::optional<DecodeChoice> ChooseDecode(
    const ModelRequest& aRequest,
    const EndpointView& aPrefill,
    Duration aReadyIn,
    const std::vector<std::string>& aExcluded,
    Duration aBudget,
    Instant aNow);

private:
  struct Candidate
  {
    EndpointView* mView = nullptr;
    Duration mReadyIn{};
    Duration mWork{};
    /** Part of the cost that does not depend on the other endpoint of a
     * pair. */
    double mCost = 0;
  };

  void Sample(const std::vector<EndpointView*>& aPool,
              const std::vector<std::string>& aExcluded,
              Instant aNow,
              std::vector<Candidate>& aCandidates);
  void AddCachingEndpoints(const std::vector<PrefixIndex::Hit>& aHits,
                           const ModelRequest& aRequest,
                           const std::vector<std::string>& aExcluded,
                           Instant aNow,
                           std::vector<Candidate>& aCandidates);
  bool IsUsable(const EndpointView& aView,
                const std::vector<std::string>& aExcluded,
                Instant aNow) const;
  void EstimatePrefill(const ModelRequest& aRequest,
                       const std::vector<PrefixIndex::Hit>& aHits,
                       Instant aNow,
                       Candidate& aCandidate);
  void EstimateDecode(const ModelRequest& aRequest,
                      Instant aNow,
                      Candidate& aCandidate);
  Duration EstimateFirstToken(const ModelRequest& aRequest,
                              const EndpointView& aPrefill,
                              const Candidate& aDecode,
                              Duration aReadyIn,
                              Instant aNow) const;
  double LatenessCost(Duration aFirstToken, Duration aBudget) const;

  EndpointTable& mEndpoints;
  const PrefixIndex& mPrefixes;
  const LinkSchedule& mLinks;
  const CostModel& mCosts;
  Random& mRandom;
  Preset mPreset;
  std::vector<Candidate> mPrefillCandidates;
  std::vector<Candidate> mDecodeCandidates;
};

} // namespace bulrushfold

#endif
