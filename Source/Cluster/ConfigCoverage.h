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

/** Daemons at which a version of an object is in force. */
struct CoverageStatus
{
  std::string mKey;
  std::uint64_t mVersion = 0;
  /** Number of daemons that have the version or a higher one. */
  std::size_t mInForce = 0;
  /** Live daemons that have not confirmed the version yet. */
  std::vector<std::string> mMissing;
  /** Daemons in the VM list that are recorded as dead, for example those of
   * a partitioned region. */
  std::vector<std::string> mUnreachable;
  /** True when every live daemon has confirmed, or the timeout has expired. */
  bool mIsFinal = false;
};

/**
 * Determines at which daemons an accepted change is in force. Each other daemon
 * is queried for its version of the object, kQueriesPerTick daemons per tick;
 * daemons that have not confirmed are queried again after kQueryInterval, until
 * kTimeout. The first queries are sent after kFirstQueryDelay, because a change
 * normally reaches all daemons in that time.
 *
 * Events to deliver: Start when a change is accepted; OnDigest with each
 * CONFIG_DIGEST; Tick every Dissemination::kTickInterval. Find returns the
 * state at any time; an entry is erased when kRetention has passed after its
 * deadline.
 */
class ConfigCoverage
{
public:
  static constexpr Duration kFirstQueryDelay = std::chrono::milliseconds(500);
  static constexpr Duration kQueryInterval = std::chrono::seconds(1);
  static constexpr Duration kTimeout = std::chrono::seconds(30);
  static constexpr Duration kRetention = std::chrono::minutes(10);
  /** With a tick of 100 ms, 3,500 daemons are queried in 1.2 s. */
  static constexpr std::size_t kQueriesPerTick = 300;

  ConfigCoverage(const Membership& aMembership,
                 const Dissemination& aDissemination);

  void Start(const std::string& aChangeId,
             const std::string& aKey,
             std::uint64_t aVersion,
             Instant aNow);
  void OnDigest(const std::string& aFrom, const wire::ConfigDigest& aMessage);
  Outbox Tick(Instant aNow);
  /** Returns the state for the change; null when there is none. */
  const CoverageStatus* Find(const std::string& aChangeId) const;

private:
  struct Query
  {
    CoverageStatus mStatus;
    std::set<std::string> mConfirmed;
    /** Daemons to query in this round, starting with the last one. */
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
