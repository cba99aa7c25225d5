#ifndef BULRUSHFOLD_DAEMON_CLUSTERCONTROLLER_H
#define BULRUSHFOLD_DAEMON_CLUSTERCONTROLLER_H

#include <memory>
#include <optional>
#include <string>

#include <sigc++/signal.h>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Cluster/ClusterNode.h"
#include "Cluster/Configuration.h"
#include "Net/EventLoop.h"
#include "Net/PeerTransport.h"
#include "Platform/ObjectStore.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** Connects membership and configuration to peers, store and event loop. */
class ClusterController
{
public:
  ClusterController(EventLoop& aLoop,
                    const Clock& aClock,
                    Random& aRandom,
                    PeerTransport& aTransport,
                    ObjectStore& aStore,
                    VmList& aVms,
                    Configuration& aConfiguration,
                    const Settings& aSettings,
                    const std::string& aIncarnation);

  void Start();
  /** Announces the graceful shutdown of this daemon to its peers. */
  void Leave();
  void Propose(const ConfigChange& aChange);
  /** Detects a pause of this process; must be called before new work starts. */
  void CheckClock();
  /** Queries all daemons for their version of object aKey, unless such a query
   * is already in progress. Returns null while the coverage is unknown. */
  const CoverageStatus* QueryCoverage(const std::string& aKey,
                                      std::uint64_t aVersion);

  /** Requests the record of a daemon of unknown state; see
   * Membership::RequestRecord. */
  void QueryMember(const std::string& aName);
  // The next functions pass events to CrashSuspects, which documents them.
  SuspectVerdict AdmitSuspect(const std::string& aDigest) const;
  /** Endpoint crashes counted for a digest; 0 if it is not a suspect. */
  std::int32_t Crashes(const std::string& aDigest) const;
  void RequestSuspectRun(const std::string& aDigest);
  void ReportCrash(const std::string& aEndpoint,
                   const CrashedRequest& aRequest);
  void ReportSuccess(const std::string& aDigest);
  void ReportRunEnded(const std::string& aDigest);

  bool IsReady() const { return mNode.IsReady(); }
  const ClusterNode& Node() const { return mNode; }
  const HashRings& Rings() const { return mNode.Members().Rings(); }
  const std::string& Self() const { return mNode.Members().Self().mName; }
  bool IsSelf(const std::string& aName) const { return aName == Self(); }
  /** Name and address of a daemon; empty if the daemon is unknown. */
  std::optional<PeerTarget> FindTarget(const std::string& aName) const;
  /** Version of object aKey in force on this daemon; 0 if there is none. */
  std::uint64_t Version(std::string_view aKey) const;

  /** Emitted after an object was put in force. */
  sigc::signal<void(const std::string& aKey)> mConfigChanged;
  sigc::signal<void(const MemberChanges&)> mMembersChanged;
  /** Emitted after a pause of this process; all ownership must be released. */
  sigc::signal<void()> mClockGap;
  /** Emitted when the state of an operator's change has changed. */
  sigc::signal<void(const ChangeStatus&)> mChangeUpdated;
  /** Emitted with the crash suspects that may run now, that were cleared and
   * that must be refused. */
  sigc::signal<void(const SuspectResult&)> mSuspectsDecided;

private:
  void RegisterHandler(wire::MessageKind::type aKind);
  void Tick();
  void ApplyResult(const NodeResult& aResult);
  void Apply(const ConfigObject& aObject);
  void Send(const Outgoing& aOutgoing);
  void Put(const StorePutAction& aAction);
  void Get(const StoreGetAction& aAction);
  void ExecuteWatchStep(WatchStep aStep);
  void ListVms();

  EventLoop& mLoop;
  const Clock& mClock;
  PeerTransport& mTransport;
  ObjectStore& mStore;
  VmList& mVms;
  Configuration& mConfiguration;
  ClusterNode mNode;
  std::unique_ptr<StoreWatch> mWatch;
  Instant mLastTick;
  EventHandle mTickTimer;
  EventHandle mVmTimer;
};

} // namespace bulrushfold

#endif
