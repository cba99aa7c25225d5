#ifndef BULRUSHFOLD_CLUSTER_FAILUREDETECTOR_H
#define BULRUSHFOLD_CLUSTER_FAILUREDETECTOR_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Cluster/MemberTable.h"

namespace bulrushfold {

/** Timeouts of failure detection, from settings section [peers]. */
struct MembershipTiming
{
  Duration mHeartbeatInterval = std::chrono::milliseconds(500);
  /** Time without a heartbeat after which a daemon is suspected. A daemon is
   * declared dead when two observers have suspected it for this time again, or
   * one observer for three times this time. */
  Duration mSuspectAfter = std::chrono::seconds(2);
  /** Maximum time between two events; a longer one means that this daemon
   * was paused. */
  Duration mClockGapLimit = std::chrono::seconds(1);
};

/** Results of a check of the observed daemons. */
struct FailureFindings
{
  /** Daemons that must be queried for a heartbeat. */
  std::vector<std::string> mProbe;
  /** Daemons that this daemon suspects since this check. */
  std::vector<std::string> mSuspected;
  /** Suspected daemons that did not refute the suspicion in time. */
  std::vector<std::string> mDead;
};

/**
 * Observes the ring predecessors of this daemon. When no heartbeat arrived for
 * half of mSuspectAfter, the predecessor is queried for one, because it may
 * have another view of the rings. A daemon that answers within mSuspectAfter
 * after it is suspected is never declared dead, however long it was paused.
 */
class FailureDetector
{
public:
  explicit FailureDetector(MembershipTiming aTiming);

  /** Checks the predecessors of aSelf; must be called once per heartbeat
   * interval. */
  FailureFindings Check(const MemberTable& aTable,
                        const std::string& aSelf,
                        Instant aNow);
  void OnHeartbeat(const std::string& aName, Instant aNow);
  /** Restarts all observations after a pause of this daemon. */
  void Reset(Instant aNow);

private:
  struct Observation
  {
    Instant mLastHeartbeat;
    bool mIsSuspected = false;
    Instant mSuspectedAt;
    /** Time from which a second observer was known to suspect the daemon
     * too. */
    std::optional<Instant> mConfirmedAt;
  };

  void UpdateObservations(const std::vector<std::string>& aNames, Instant aNow);
  void CheckOne(const MemberTable& aTable,
                const std::string& aName,
                Observation& aObservation,
                Instant aNow,
                FailureFindings& aFindings) const;
  /** Returns true when the suspected daemon has had enough time to refute. */
  bool IsRefutationTimeOver(const Observation& aObservation,
                            Instant aNow) const;

  MembershipTiming mTiming;
  std::map<std::string, Observation> mObservations;
};

} // namespace bulrushfold

#endif
