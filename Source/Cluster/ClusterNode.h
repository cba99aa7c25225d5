#ifndef BULRUSHFOLD_CLUSTER_CLUSTERNODE_H
#define BULRUSHFOLD_CLUSTER_CLUSTERNODE_H

#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Cluster/ConfigController.h"
#include "Cluster/ConfigCoverage.h"
#include "Cluster/ConfigReadiness.h"
#include "Cluster/ConfigWatch.h"
#include "Cluster/CrashSuspects.h"
#include "Cluster/Dissemination.h"
#include "Cluster/Membership.h"

namespace bulrushfold {

/** Actions that result from an event, in the order in which they must be
 * performed. */
struct NodeResult
{
  /** True when this daemon was paused. Its leases and ownership must be
   * released before anything else. */
  bool mHasClockGap = false;
  /** Daemons that joined or left the set of live daemons. */
  MemberChanges mMembers;
  /** Objects to pass to Configuration::Apply. */
  std::vector<ConfigObject> mAdopted;
  /** Messages to pass to PeerTransport::Send. */
  Outbox mMessages;
  /** Calls to make to the object API. */
  std::vector<StorePutAction> mPuts;
  std::vector<StoreGetAction> mGets;
  WatchStep mWatch = WatchStep::None;
  /** Operators' changes whose state changed. */
  std::vector<ChangeStatus> mChanges;
  bool mBecameReady = false;
  /** Suspects whose waiting requests may run or must be refused. Its
   * messages are already part of mMessages. */
  SuspectResult mSuspects;
};

/**
 * Combines the membership, configuration and crash suspect classes of one
 * daemon and passes events between them as their headers require. ClusterNode
 * performs no I/O: the daemon, the tests and the benchmark deliver events and
 * perform the returned actions.
 *
 * Events to deliver: Tick every kTickInterval; OnMessage with each received
 * ClusterMessage; OnVmList every Members().VmListInterval(); OnListing, OnWatch
 * and OnWatchEnd with the results of the call that mWatch requested; OnPut and
 * OnGet with the replies to mPuts and mGets; Propose for an operator's change,
 * only while IsReady(); Leave at the start of a graceful shutdown.
 */
class ClusterNode
{
public:
  static constexpr Duration kTickInterval = Dissemination::kTickInterval;

  ClusterNode(const MemberInfo& aSelf,
              MembershipTiming aTiming,
              ConfigController::Validator aValidator,
              SuspectLimits aLimits,
              WallTime aStart,
              Instant aNow,
              Random& aRandom);
  ClusterNode(const ClusterNode&) = delete;
  ClusterNode& operator=(const ClusterNode&) = delete;

  NodeResult Tick(Instant aNow);
  NodeResult OnMessage(const std::string& aFrom,
                       const ClusterMessage& aMessage,
                       Instant aNow);
  NodeResult OnVmList(const std::vector<VmEntry>& aVms, Instant aNow);
  NodeResult OnListing(const absl::StatusOr<StoreListing>& aListing,
                       Instant aNow);
  NodeResult OnWatch(const StoredObject& aObject, Instant aNow);
  void OnWatchEnd(const absl::Status& aStatus,
                  std::uint64_t aLastRevision,
                  Instant aNow);
  NodeResult Propose(const ConfigChange& aChange, Instant aNow);
  NodeResult OnPut(const std::string& aChangeId,
                   const absl::StatusOr<std::uint64_t>& aVersion,
                   Instant aNow);
  NodeResult OnGet(const std::string& aChangeId,
                   const absl::StatusOr<StoredObject>& aObject,
                   Instant aNow);
  NodeResult Leave(Instant aNow);
  /** Returns the daemons where aVersion of aKey is in force. The first call
   * for a version starts the query. */
  const CoverageStatus* QueryCoverage(const std::string& aKey,
                                      std::uint64_t aVersion,
                                      Instant aNow);
  /** The following functions forward to CrashSuspects. */
  SuspectVerdict Admit(const std::string& aDigest, Instant aNow) const
  {
    return mSuspects.Admit(aDigest, aNow);
  }
  NodeResult RequestRun(const std::string& aDigest, Instant aNow);
  NodeResult OnCrash(const std::string& aEndpoint,
                     const std::vector<CrashedRequest>& aRequests,
                     Instant aNow);
  NodeResult OnSuccess(const std::string& aDigest, Instant aNow);
  NodeResult OnRunEnded(const std::string& aDigest, Instant aNow);

  bool IsReady() const { return mReadiness.IsReady(); }
  Membership& Members() { return mMembership; }
  const Membership& Members() const { return mMembership; }
  const Dissemination& Config() const { return mDissemination; }
  const ConfigReadiness& Readiness() const { return mReadiness; }
  const ConfigWatch& Watch() const { return mWatch; }
  const ConfigController& Controller() const { return mController; }
  const ConfigCoverage& Coverage() const { return mCoverage; }
  const CrashSuspects& Suspects() const { return mSuspects; }

private:
  void Add(MembershipResult aMore, Instant aNow, NodeResult& aResult);
  static void Add(DisseminationResult aMore, NodeResult& aResult);
  static void Add(ReadinessResult aMore, NodeResult& aResult);
  static void Add(SuspectResult aMore, NodeResult& aResult);
  void Add(ConfigControllerResult aMore, Instant aNow, NodeResult& aResult);
  void OnDigest(const std::string& aFrom,
                const wire::ConfigDigest& aMessage,
                Instant aNow,
                NodeResult& aResult);

  Duration mHeartbeatInterval;
  Instant mNextHeartbeat;
  /** Time at which the last listing was requested. */
  Instant mListRequestedAt;
  Membership mMembership;
  Dissemination mDissemination;
  ConfigReadiness mReadiness;
  ConfigWatch mWatch;
  ConfigController mController;
  ConfigCoverage mCoverage;
  CrashSuspects mSuspects;
  Instant mNextSuspectsTick;
  bool mHasFetchedSuspects = false;
};

} // namespace bulrushfold

#endif
