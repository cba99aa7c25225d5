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

/** Connects membership and configuration to peers, store and loop. */
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
  /** Announces the planned stop of this daemon. */
  void Leave();
  void Propose(const ConfigChange& aChange);
  /** Notices a pause of this daemon; to be called before new work begins. */
  void CheckClock();
  /** Starts to ask all daemons for their version of an object, unless it is
   * being asked already; null while the state is not known. */
  const CoverageStatus* QueryCoverage(const std::string& aKey,
                                      std::uint64_t aVersion);

  /** Asks a daemon of unknown state for its record; see
   * Membership::RequestRecord. */
  void AskMember(const std::string& aName);
  // Events of CrashSuspects; see there.
  SuspectVerdict AdmitSuspect(const std::string& aDigest) const;
  /** Crashes counted for a digest; 0 when it is no suspect. */
  std::int32_t Crashes(const std::string& aDigest) const;
  void AskSuspectRun(const std::string& aDigest);
  void ReportCrash(const std::string& aEndpoint,
                   const CrashedRequest& aRequest);
  void ReportSuccess(const std::string& aDigest);
  void ReportRunEnded(const std::string& aDigest);

  bool IsReady() const { return mNode.IsReady(); }
  const ClusterNode& Node() const { return mNode; }
  const HashRings& Rings() const { return mNode.Members().Rings(); }
  const std::string& Self() const { return mNode.Members().Self().mName; }
  bool IsSelf(const std::string& aName) const { return aName == Self(); }
  /** Name and address of a daemon; empty when it is not known. */
  std::optional<PeerTarget> FindTarget(const std::string& aName) const;
  /** Version of object aKey in force here; 0 when there is none. */
  std::uint64_t Version(std::string_view aKey) const;

  /** Emitted after an object was put in force. */
  sigc::signal<void(const std::string& aKey)> mConfigChanged;
  sigc::signal<void(const MemberChanges&)> mMembersChanged;
  /** This daemon was paused; ownership must be dropped. */
  sigc::signal<void()> mClockGap;
  /** The state of an operator's change altered. */
  sigc::signal<void(const ChangeStatus&)> mChangeUpdated;
  /** Suspects that may run now, were cleared or must be refused. */
  sigc::signal<void(const SuspectResult&)> mSuspectsDecided;

private:
  void HandleMessages(wire::MessageKind::type aKind);
  void Tick();
  void Carry(const NodeResult& aResult);
  void Apply(const ConfigObject& aObject);
  void Send(const Outgoing& aOutgoing);
  void Put(const StorePutAction& aAction);
  void Get(const StoreGetAction& aAction);
  void Step(WatchStep aStep);
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
