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
#include "Cluster/MemberNews.h"
#include "Cluster/MemberTable.h"
#include "Platform/ObjectStore.h"

namespace bulrushfold {

/** Whether a process that held something still exists. */
enum class IncarnationState
{
  Live,
  Gone,
  Unknown,
};

/** What an event changed and what has to be sent. */
struct MembershipResult
{
  Outbox mMessages;
  /** Daemons that became live, or live with another incarnation (mJoined), and
   * daemons that are no longer live: dead or leaving (mLost). */
  MemberChanges mChanges;
  /** This daemon was paused: ownership must be dropped and configuration
   * versions compared before new work. */
  bool mHasClockGap = false;
};

/**
 * The daemons that this daemon considers live.
 *
 * The view starts from the lagging VM list. Each daemon sends heartbeats to its
 * successors on the rings; a daemon observes its predecessors. A silent one is
 * first asked directly, then suspected, and declared dead only after a time in
 * which it can refute. News (MemberRecord) rides on heartbeats, within
 * MemberNews::kBytesPerSecond. Views that stay different are repaired one
 * failure domain at a time.
 *
 * Events to deliver: Tick every mHeartbeatInterval; OnVmList with each VM list
 * (see VmListInterval); OnHeartbeat and OnSync with each message; Leave at the
 * start of a planned stop. Each returned message must be sent. The clock
 * readings must be taken when the callback runs.
 */
class Membership
{
public:
  /** Time for which a dead daemon is remembered. */
  static constexpr Duration kForgetAfter = std::chrono::minutes(10);

  /** aStart: calendar time, which makes the generation of a restart higher. */
  Membership(MemberInfo aSelf,
             MembershipTiming aTiming,
             WallTime aStart,
             Instant aNow,
             Random& aRandom);

  MembershipResult Tick(Instant aNow);
  /** Only notices a pause of this daemon; for events of other classes. */
  MembershipResult CheckClock(Instant aNow);
  MembershipResult OnVmList(const std::vector<VmEntry>& aVms, Instant aNow);
  MembershipResult OnHeartbeat(const std::string& aFrom,
                               const wire::Heartbeat& aMessage,
                               Instant aNow);
  MembershipResult OnSync(const std::string& aFrom,
                          const wire::MembershipSync& aMessage,
                          Instant aNow);
  /** Announces the planned stop of this daemon; its peers give it no more
   * ownership. */
  MembershipResult Leave(Instant aNow);

  /** Asks a daemon for its record; for a process whose state is Unknown. */
  MembershipResult RequestRecord(const std::string& aName, Instant aNow);

  /** Time until the VM list should be read again. Two daemons in each failure
   * domain read it often, so that 3,500 stay below 100 reads a second. */
  Duration VmListInterval() const;

  const MemberInfo& Self() const { return mSelf; }
  /** The live daemons, with this one unless it leaves. */
  const HashRings& Rings() const { return mTable.Rings(); }
  bool IsLive(const std::string& aName) const;
  /** Live daemons other than this one. */
  std::vector<std::string> LivePeers() const;
  /** Daemons that the VM list names but that are believed dead. */
  std::vector<std::string> UnreachablePeers() const;
  /** Description of a daemon, live or not; null when it is unknown. */
  const MemberInfo* Find(const std::string& aName) const;
  /** A random daemon other than this one. Some are daemons that the VM list
   * names but that are believed dead, so that two sides of a healed cut meet.
   * Empty when there is none. */
  std::string PickContact();
  /** Failure domains that the VM list names, with a live VM. */
  const std::set<std::string>& ListedDomains() const { return mListedDomains; }
  /** State of the process aIncarnation of daemon aName. Gone only when that is
   * certain, or when the daemon was unknown for kForgetAfter. */
  IncarnationState FindIncarnation(const std::string& aName,
                                   const std::string& aIncarnation,
                                   Instant aNow) const;
  bool IsLeaving() const { return mIsLeaving; }

private:
  void NoteTime(Instant aNow, MembershipResult& aResult);
  void Receive(const wire::MemberRecord& aRecord,
               bool aIsNews,
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
  void ForgetOld(Instant aNow, MembershipResult& aResult);
  wire::Heartbeat MakeHeartbeat(const std::string& aTo, bool aWantsReply) const;
  void CompareView(const std::string& aFrom,
                   const wire::Heartbeat& aMessage,
                   Instant aNow,
                   MembershipResult& aResult);
  wire::MembershipSync RecordsOf(const std::string& aDomain) const;
  void AnswerQuestion(const std::string& aFrom,
                      const wire::MembershipSync& aMessage,
                      MembershipResult& aResult);

  MemberInfo mSelf;
  MembershipTiming mTiming;
  Random& mRandom;
  bool mIsLeaving = false;
  Instant mStartedAt;
  Instant mLastEvent;
  /** All known daemons, this one included. */
  MemberTable mTable;
  FailureDetector mDetector;
  MemberNews mNews;
  std::set<std::string> mListedDomains;
  /** Result of UnreachablePeers, renewed when mIsDeadOld. */
  std::vector<std::string> mDead;
  bool mIsDeadOld = true;
  /** Senders whose view differs from this one, with the first time. */
  std::map<std::string, Instant> mDifferentSince;
  Instant mLastSync;
  std::string mSyncPeer;
  Instant mLastForget;
};

} // namespace bulrushfold

#endif
