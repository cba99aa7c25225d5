#ifndef BULRUSHFOLD_CLUSTER_FAILUREDETECTOR_H
#define BULRUSHFOLD_CLUSTER_FAILUREDETECTOR_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Cluster/MemberTable.h"

namespace bulrushfold {

/** Times of failure detection; the values come from section [peers]. */
struct MembershipTiming
{
  Duration mHeartbeatInterval = std::chrono::milliseconds(500);
  /** Silence after which a daemon is suspected. It is declared dead when two
   * observers have suspected it for the same time again, or one alone for three
   * times that. */
  Duration mSuspectAfter = std::chrono::seconds(2);
  /** Time between two events from which a pause of this daemon is concluded. */
  Duration mClockGapLimit = std::chrono::seconds(1);
};

/** What a check of the observed daemons found. */
struct FailureFindings
{
  /** Daemons to ask for a heartbeat. */
  std::vector<std::string> mProbe;
  /** Daemons that are now suspected by this daemon. */
  std::vector<std::string> mSuspected;
  /** Suspected daemons that did not refute in time. */
  std::vector<std::string> mDead;
};

/**
 * Observes the ring predecessors of this daemon. A daemon that is silent for
 * half of mSuspectAfter is asked, because it may have another view of the ring.
 * A daemon that answers within mSuspectAfter of its suspicion is never declared
 * dead, whatever its pause was.
 */
class FailureDetector
{
public:
  explicit FailureDetector(MembershipTiming aTiming);

  /** Checks the predecessors of aSelf; call once in each heartbeat interval. */
  FailureFindings Check(const MemberTable& aTable,
                        const std::string& aSelf,
                        Instant aNow);
  void OnHeartbeat(const std::string& aName, Instant aNow);
  /** Starts all observations anew, after a pause of this daemon. */
  void Reset(Instant aNow);

private:
  struct Observation
  {
    Instant mLastHeartbeat;
    bool mIsSuspected = false;
    Instant mSuspectedAt;
    /** When a second observer was first known to suspect it too. */
    std::optional<Instant> mConfirmedAt;
  };

  void UpdateObservations(const std::vector<std::string>& aNames, Instant aNow);
  void CheckOne(const MemberTable& aTable,
                const std::string& aName,
                Observation& aObservation,
                Instant aNow,
                FailureFindings& aFindings) const;
  /** True when aName has had the time to refute its suspicion. */
  bool IsRefutationTimeOver(const Observation& aObservation,
                            Instant aNow) const;

  MembershipTiming mTiming;
  std::map<std::string, Observation> mObservations;
};

} // namespace bulrushfold

#endif
