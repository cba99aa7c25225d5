#ifndef BULRUSHFOLD_ROUTING_WORKSPACEQUOTAS_H
#define BULRUSHFOLD_ROUTING_WORKSPACEQUOTAS_H

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/Clock.h"
#include "Routing/PlacementTerms.h"
#include "Routing/RoutingConfig.h"
#include "Routing/TokenBucket.h"

namespace bulrushfold {

/** Units that a daemon has admitted since its start, by workspace. */
using QuotaUses = std::map<std::string, double>;

/**
 * Admits requests within the quotas of their workspaces, which hold for all
 * daemons together. This daemon gives out the part of each quota that belongs
 * to the daemons for which it decides: its own requests, those of its placement
 * clients, and those of the peers whose use it knows. The parts of all daemons
 * add up to the quota, also when they are cut off from each other.
 */
class WorkspaceQuotas
{
public:
  /** aShare: the part of each quota that this daemon gives out, 0 to 1.
   * aExtraBurst: units that are added to the burst of each workspace. */
  explicit WorkspaceQuotas(std::function<double()> aShare,
                           double aExtraBurst = 0)
    : mShare(std::move(aShare))
    , mExtraBurst(aExtraBurst)
  {
  }

  /** Applies the quotas of a configuration; those that are lowered hold at
   * once. */
  void SetWorkspaces(const std::vector<Workspace>& aWorkspaces);
  /** Takes the cost of a request; if the quota does not allow it, the time
   * until it does. */
  std::optional<Duration> Take(const PlacementTerms& aTerms, Instant aNow);
  /** Another daemon decides for this one until the next call of Take. */
  void Suspend();
  /** The request was refused for another reason and has not run. */
  void Refund(const PlacementTerms& aTerms);

  /** Use of this daemon, of the workspaces that were used recently. */
  QuotaUses OwnUses(Instant aNow) const;
  /** Subtracts what aPeer has used since its last report. */
  void SetPeer(const std::string& aPeer, const QuotaUses& aUses, Instant aNow);
  void RemovePeer(const std::string& aPeer) { mPeers.erase(aPeer); }

private:
  struct State
  {
    TokenBucket mBucket;
    /** Units that this daemon has admitted. */
    double mUsed = 0;
    Instant mUsedAt;
  };

  /** Limits of this daemon's part; empty when there is no quota. */
  std::optional<BucketLimits> LimitsOf(const std::string& aWorkspace) const;
  State& StateOf(const std::string& aWorkspace,
                 const BucketLimits& aLimits,
                 Instant aNow);

  std::function<double()> mShare;
  double mExtraBurst;
  std::unordered_map<std::string, WorkspaceQuota> mQuotas;
  std::unordered_map<std::string, State> mStates;
  std::map<std::string, QuotaUses> mPeers;
};

} // namespace bulrushfold

#endif
