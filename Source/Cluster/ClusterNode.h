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

/** What an event decided, in the order in which it must be carried out. */
struct NodeResult
{
  /** This daemon was paused: drop leases and ownership first. */
  bool mHasClockGap = false;
  /** Live daemons that appeared or disappeared. */
  MemberChanges mMembers;
  /** Objects for Configuration::Apply. */
  std::vector<ConfigObject> mAdopted;
  /** Messages for PeerTransport::Send. */
  Outbox mMessages;
  /** Calls of the object API. */
  std::vector<StorePutAction> mPuts;
  std::vector<StoreGetAction> mGets;
  WatchStep mWatch = WatchStep::None;
  /** Operators' changes whose state altered. */
  std::vector<ChangeStatus> mChanges;
  bool mBecameReady = false;
  /** Suspects whose waiting requests may run or must be refused; its messages
   * are part of mMessages. */
  SuspectResult mSuspects;
};

/**
 * The decision classes of membership and configuration of one daemon, connected
 * as their headers demand. The daemon, the tests and the benchmark use the same
 * connection.
 *
 * Events to deliver: Tick every kTickInterval; OnMessage with each message
 * of this folder; OnVmList every Members().VmListInterval(); OnListing, OnWatch
 * and OnWatchEnd with the answers to WatchStep; OnPut and OnGet with the
 * answers to mPuts and mGets; Propose for an operator's change, only while
 * IsReady(); Leave at the start of a planned stop.
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
  /** State of a version everywhere; the question starts with the first call. */
  const CoverageStatus* QueryCoverage(const std::string& aKey,
                                      std::uint64_t aVersion,
                                      Instant aNow);
  /** Events of CrashSuspects; see there. */
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
  /** Time at which the last listing was asked for. */
  Instant mListedAt;
  Membership mMembership;
  Dissemination mDissemination;
  ConfigReadiness mReadiness;
  ConfigWatch mWatch;
  ConfigController mController;
  ConfigCoverage mCoverage;
  CrashSuspects mSuspects;
  Instant mNextSuspects;
  bool mHasFetchedSuspects = false;
};

} // namespace bulrushfold

#endif
