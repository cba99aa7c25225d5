#ifndef BULRUSHFOLD_CLUSTER_CONFIGCOVERAGE_H
#define BULRUSHFOLD_CLUSTER_CONFIGCOVERAGE_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Cluster/Dissemination.h"
#include "Cluster/Membership.h"

namespace bulrushfold {

/** Where a version is in force. */
struct CoverageStatus
{
  std::string mKey;
  std::uint64_t mVersion = 0;
  /** Daemons that hold the version or a higher one. */
  std::size_t mInForce = 0;
  /** Live daemons that have not confirmed it. */
  std::vector<std::string> mMissing;
  /** Daemons that the VM list names but that are believed dead; a region that
   * is cut off appears here. */
  std::vector<std::string> mUnreachable;
  /** True when every live daemon has confirmed, or the time to wait is over.
   */
  bool mIsFinal = false;
};

/**
 * Answers "in force everywhere, or where not" for accepted changes: asks every
 * other daemon for its version of the object, kQueriesPerTick daemons at a
 * time, again after kQueryInterval, for at most kTimeout. The first query waits
 * kFirstQueryDelay, in which the change normally spreads.
 *
 * Events to deliver: Start when a change is accepted; OnDigest with each
 * CONFIG_DIGEST; Tick every Dissemination::kTickInterval. Find gives the state
 * at any time; an entry is dropped kRetention after its end.
 */
class ConfigCoverage
{
public:
  static constexpr Duration kFirstQueryDelay = std::chrono::milliseconds(500);
  static constexpr Duration kQueryInterval = std::chrono::seconds(1);
  static constexpr Duration kTimeout = std::chrono::seconds(30);
  static constexpr Duration kRetention = std::chrono::minutes(10);
  /** Questions a tick; at 100 ms a tick 3,500 daemons are asked in 1.2 s. */
  static constexpr std::size_t kQueriesPerTick = 300;

  ConfigCoverage(const Membership& aMembership,
                 const Dissemination& aDissemination);

  void Start(const std::string& aChangeId,
             const std::string& aKey,
             std::uint64_t aVersion,
             Instant aNow);
  void OnDigest(const std::string& aFrom, const wire::ConfigDigest& aMessage);
  Outbox Tick(Instant aNow);
  /** State of the change; null when it is not known. */
  const CoverageStatus* Find(const std::string& aChangeId) const;

private:
  struct Query
  {
    CoverageStatus mStatus;
    std::set<std::string> mConfirmed;
    /** Daemons to ask in this round, the last one first. */
    std::vector<std::string> mRemaining;
    Instant mNextRound;
    Instant mDeadline;
  };

  void SendQueries(Query& aQuery, Instant aNow, Outbox& aOutbox) const;
  void UpdateStatus(Query& aQuery, Instant aNow) const;

  const Membership& mMembership;
  const Dissemination& mDissemination;
  std::map<std::string, Query> mQueries;
};

} // namespace bulrushfold

#endif
