#ifndef BULRUSHFOLD_CLUSTER_MEMBERSHIP_H
#define BULRUSHFOLD_CLUSTER_MEMBERSHIP_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Cluster/ClusterMessage.h"
#include "Cluster/FailureDetector.h"
#include "Cluster/HashRings.h"
#include "Cluster/MemberTable.h"
#include "Cluster/MemberUpdateQueue.h"
#include "Platform/ObjectStore.h"

namespace bulrushfold {

/** State of the process that made a reservation or started work. */
enum class IncarnationState
{
  Live,
  Ended,
  Unknown,
};

/** Messages and state changes that result from an event. */
struct MembershipResult
{
  Outbox mMessages;
  /** mJoined contains the daemons that became live, or live with another
   * incarnation; mLost contains those that are no longer live (dead or
   * leaving). */
  MemberChanges mChanges;
  /** True when this daemon was paused. It must release its ownership and
   * compare its configuration versions before it accepts new work. */
  bool mHasClockGap = false;
};

/**
 * Maintains the set of daemons that this daemon considers live.
 *
 * The initial view is the VM list, which lags behind the actual state. Each
 * daemon sends heartbeats to its ring successors and observes its ring
 * predecessors. A predecessor without heartbeats is first queried directly,
 * then suspected, and declared dead only after a time in which it can refute.
 * Updates (MemberRecord) are sent with heartbeats, limited to
 * MemberUpdateQueue::kBytesPerSecond. When the views of two daemons differ for
 * longer, they exchange the records of one failure domain at a time.
 *
 * Events to deliver: Tick every mHeartbeatInterval; OnVmList with each VM list
 * (see VmListInterval); OnHeartbeat and OnSync with each message; Leave at the
 * start of a graceful shutdown. Each returned message must be sent. aNow must
 * be the time at which the callback runs.
 */
class Membership
{
public:
  /** Retention of the record of a dead daemon. */
  static constexpr Duration kDeadRetention = std::chrono::minutes(10);

  /** aStart is the calendar time, which gives a restarted daemon a higher
   * generation. */
  Membership(MemberInfo aSelf,
             MembershipTiming aTiming,
             WallTime aStart,
             Instant aNow,
             Random& aRandom);

  MembershipResult Tick(Instant aNow);
  /** Only checks whether this daemon was paused; called for the events of
   * other classes. */
  MembershipResult CheckClock(Instant aNow);
  MembershipResult OnVmList(const std::vector<VmEntry>& aVms, Instant aNow);
  MembershipResult OnHeartbeat(const std::string& aFrom,
                               const wire::Heartbeat& aMessage,
                               Instant aNow);
  MembershipResult OnSync(const std::string& aFrom,
                          const wire::MembershipSync& aMessage,
                          Instant aNow);
  /** Announces the graceful shutdown of this daemon, so that its peers no
   * longer select it as an owner. */
  MembershipResult Leave(Instant aNow);

  /** Requests the record of a daemon whose incarnation state is Unknown. */
  MembershipResult RequestRecord(const std::string& aName, Instant aNow);

  /** Time until the VM list must be read again. Two daemons in each failure
   * domain read it more often than the others, so that 3,500 daemons make fewer
   * than 100 reads per second. */
  Duration VmListInterval() const;

  const MemberInfo& Self() const { return mSelf; }
  /** The live daemons, including this one until it leaves. */
  const HashRings& Rings() const { return mTable.Rings(); }
  bool IsLive(const std::string& aName) const;
  /** Returns the live daemons other than this one. */
  std::vector<std::string> LivePeers() const;
  /** Returns the daemons in the VM list that are recorded as dead. */
  std::vector<std::string> UnreachablePeers() const;
  /** Returns the description of a daemon, live or not; null when it is
   * unknown. */
  const MemberInfo* Find(const std::string& aName) const;
  /** Returns a random daemon other than this one; empty when there is none.
   * Some picks are daemons in the VM list that are recorded as dead, so that
   * the two sides of a partition regain contact when it has ended. */
  std::string PickRandomPeer();
  /** Failure domains in which the VM list contains a live VM. */
  const std::set<std::string>& ListedDomains() const { return mListedDomains; }
  /** Returns the state of process aIncarnation of daemon aName. The state is
   * Ended only when that is certain, or when the daemon is unknown and this
   * daemon has run for at least kDeadRetention. */
  IncarnationState FindIncarnation(const std::string& aName,
                                   const std::string& aIncarnation,
                                   Instant aNow) const;
  bool IsLeaving() const { return mIsLeaving; }

private:
  void DetectClockGap(Instant aNow, MembershipResult& aResult);
  void MergeRecord(const wire::MemberRecord& aRecord,
                   bool aMustForward,
                   Instant aNow,
                   MembershipResult& aResult);
  void Refute(const wire::MemberRecord& aRecord, Instant aNow);
  void RaiseGeneration(std::int64_t aGeneration, Instant aNow);
  void AnswerHeartbeat(const std::string& aFrom,
                       const wire::Heartbeat& aMessage,
                       MembershipResult& aResult);
  void ObservePredecessors(Instant aNow, MembershipResult& aResult);
  void Suspect(const std::string& aName, Instant aNow);
  void SendHeartbeats(MembershipResult& aResult);
  void EraseExpired(Instant aNow, MembershipResult& aResult);
  wire::Heartbeat MakeHeartbeat(const std::string& aTo, bool aWantsReply) const;
  void CompareView(const std::string& aFrom,
                   const wire::Heartbeat& aMessage,
                   Instant aNow,
                   MembershipResult& aResult);
  wire::MembershipSync RecordsOf(const std::string& aDomain) const;
  void AnswerSyncQuery(const std::string& aFrom,
                       const wire::MembershipSync& aMessage,
                       MembershipResult& aResult);

  MemberInfo mSelf;
  MembershipTiming mTiming;
  Random& mRandom;
  bool mIsLeaving = false;
  Instant mStartedAt;
  Instant mLastEvent;
  /** Records of all known daemons, including this one. */
  MemberTable mTable;
  FailureDetector mDetector;
  MemberUpdateQueue mUpdateQueue;
  std::set<std::string> mListedDomains;
  /** Cached result of UnreachablePeers; outdated when mIsUnreachableStale. */
  std::vector<std::string> mUnreachable;
  bool mIsUnreachableStale = true;
  /** Peers whose view differs from this one, with the time since when. */
  std::map<std::string, Instant> mViewMismatchSince;
  Instant mLastSync;
  std::string mSyncPeer;
  Instant mLastExpiry;
};

} // namespace bulrushfold

#endif
