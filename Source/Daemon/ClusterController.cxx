#include "Daemon/ClusterController.h"

#include <algorithm>
#include <utility>

#include "Base/Log.h"

namespace bulrushfold {

namespace {

constexpr Duration kMaxTickDelay = 3 * ClusterNode::kTickInterval;

/** Checks a configuration object before it is written. */
absl::Status
Validate(const std::string& aKey, const std::string& aBody)
{
  if (aBody.size() > kMaxObjectBytes) {
    return absl::InvalidArgumentError("the object is larger than 1 MB");
  }
  Configuration scratch;
  return scratch.Apply(aKey, aBody);
}

MemberInfo
MakeSelf(const DaemonSettings& aDaemon, const std::string& aIncarnation)
{
  return {
    aDaemon.mName, aDaemon.mFailureDomain, aDaemon.mPeerAddress, aIncarnation
  };
}

MembershipTiming
MakeTiming(const PeerSettings& aPeers)
{
  MembershipTiming timing;
  timing.mHeartbeatInterval = aPeers.mHeartbeatInterval;
  timing.mSuspectAfter = aPeers.mSuspectAfter;
  timing.mClockGapLimit = aPeers.mClockGapLimit;
  return timing;
}

SuspectLimits
MakeSuspectLimits(const RoutingSettings& aRouting)
{
  SuspectLimits limits;
  limits.mCrashLimit = static_cast<std::int32_t>(aRouting.mCrashLimit);
  return limits;
}

} // namespace

ClusterController::ClusterController(EventLoop& aLoop,
                                     const Clock& aClock,
                                     Random& aRandom,
                                     PeerTransport& aTransport,
                                     ObjectStore& aStore,
                                     VmList& aVms,
                                     Configuration& aConfiguration,
                                     const Settings& aSettings,
                                     const std::string& aIncarnation)
  : mLoop(aLoop)
  , mClock(aClock)
  , mTransport(aTransport)
  , mStore(aStore)
  , mVms(aVms)
  , mConfiguration(aConfiguration)
  , mNode(MakeSelf(aSettings.mDaemon, aIncarnation),
          MakeTiming(aSettings.mPeers),
          Validate,
          MakeSuspectLimits(aSettings.mRouting),
          aClock.Wall(),
          aClock.Now(),
          aRandom)
{
}

void
ClusterController::Start()
{
  for (const auto kind : { wire::MessageKind::HEARTBEAT,
                           wire::MessageKind::MEMBERSHIP,
                           wire::MessageKind::CONFIG_DIGEST,
                           wire::MessageKind::CONFIG_UPDATE,
                           wire::MessageKind::CONFIG_FETCH,
                           wire::MessageKind::CRASH_REPORT }) {
    HandleMessages(kind);
  }
  mLastTick = mClock.Now();
  mTickTimer = mLoop.Every(ClusterNode::kTickInterval, [this] { Tick(); });
  ListVms();
}

void
ClusterController::HandleMessages(wire::MessageKind::type aKind)
{
  mTransport.Handle(aKind,
                    [this, aKind](const std::string& aSender,
                                  const std::string& aPayload,
                                  const PeerTransport::Responder&) {
                      const auto message =
                        DecodeClusterMessage(aKind, aPayload);
                      if (!message.ok()) {
                        LogEvent(LogLevel::Warning,
                                 "peer_message_malformed",
                                 { { "peer", aSender },
                                   { "reason", message.status().ToString() } });
                        return;
                      }
                      Carry(mNode.OnMessage(aSender, *message, mClock.Now()));
                    });
}

void
ClusterController::Tick()
{
  mLastTick = mClock.Now();
  Carry(mNode.Tick(mLastTick));
}

void
ClusterController::CheckClock()
{
  if (mClock.Now() - mLastTick > kMaxTickDelay) {
    Tick();
  }
}

const CoverageStatus*
ClusterController::QueryCoverage(const std::string& aKey,
                                 std::uint64_t aVersion)
{
  return mNode.QueryCoverage(aKey, aVersion, mClock.Now());
}

void
ClusterController::AskMember(const std::string& aName)
{
  const MembershipResult result =
    mNode.Members().RequestRecord(aName, mClock.Now());
  for (const auto& it : result.mMessages) {
    Send(it);
  }
}

SuspectVerdict
ClusterController::AdmitSuspect(const std::string& aDigest) const
{
  return mNode.Admit(aDigest, mClock.Now());
}

std::int32_t
ClusterController::Crashes(const std::string& aDigest) const
{
  return mNode.Suspects().Crashes(aDigest, mClock.Now());
}

void
ClusterController::AskSuspectRun(const std::string& aDigest)
{
  Carry(mNode.RequestRun(aDigest, mClock.Now()));
}

void
ClusterController::ReportCrash(const std::string& aEndpoint,
                               const CrashedRequest& aRequest)
{
  Carry(mNode.OnCrash(aEndpoint, { aRequest }, mClock.Now()));
  LogEvent(LogLevel::Warning,
           "crash_reported",
           { { "endpoint", aEndpoint },
             { "digest", aRequest.mDigest },
             { "alone", aRequest.mWasAlone ? "yes" : "no" },
             { "crashes", Crashes(aRequest.mDigest) } });
}

void
ClusterController::ReportSuccess(const std::string& aDigest)
{
  Carry(mNode.OnSuccess(aDigest, mClock.Now()));
}

void
ClusterController::ReportRunEnded(const std::string& aDigest)
{
  Carry(mNode.OnRunEnded(aDigest, mClock.Now()));
}

void
ClusterController::Leave()
{
  Carry(mNode.Leave(mClock.Now()));
}

void
ClusterController::Propose(const ConfigChange& aChange)
{
  Carry(mNode.Propose(aChange, mClock.Now()));
}

std::optional<PeerTarget>
ClusterController::FindTarget(const std::string& aName) const
{
  const MemberInfo* info = mNode.Members().Find(aName);
  return info == nullptr ? std::nullopt
                         : std::optional<PeerTarget>({ aName, info->mAddress });
}

std::uint64_t
ClusterController::Version(std::string_view aKey) const
{
  return mNode.Config().Version(std::string(aKey));
}

void
ClusterController::Carry(const NodeResult& aResult)
{
  if (aResult.mHasClockGap) {
    LogEvent(LogLevel::Warning, "clock_gap", {});
    mClockGap.emit();
  }
  for (const auto& it : aResult.mAdopted) {
    Apply(it);
  }
  if (!aResult.mMembers.mJoined.empty() || !aResult.mMembers.mLost.empty()) {
    LogEvent(LogLevel::Info,
             "members_changed",
             { { "joined", aResult.mMembers.mJoined.size() },
               { "lost", aResult.mMembers.mLost.size() },
               { "live", Rings().Size() } });
    mMembersChanged.emit(aResult.mMembers);
  }
  for (const auto& it : aResult.mMessages) {
    Send(it);
  }
  for (const auto& it : aResult.mPuts) {
    Put(it);
  }
  for (const auto& it : aResult.mGets) {
    Get(it);
  }
  Step(aResult.mWatch);
  for (const auto& it : aResult.mChanges) {
    mChangeUpdated.emit(it);
  }
  mSuspectsDecided.emit(aResult.mSuspects);
  if (aResult.mBecameReady) {
    LogEvent(LogLevel::Info, "daemon_ready", { { "live", Rings().Size() } });
  }
}

void
ClusterController::Apply(const ConfigObject& aObject)
{
  if (const auto status = mConfiguration.Apply(aObject.mKey, aObject.mBody);
      !status.ok()) {
    LogEvent(LogLevel::Error,
             "config_invalid",
             { { "key", aObject.mKey },
               { "version", aObject.mVersion },
               { "reason", std::string(status.message()) } });
    return;
  }
  LogEvent(LogLevel::Info,
           "config_in_force",
           { { "key", aObject.mKey }, { "version", aObject.mVersion } });
  mConfigChanged.emit(aObject.mKey);
}

void
ClusterController::Send(const Outgoing& aOutgoing)
{
  if (const auto target = FindTarget(aOutgoing.mTo); target) {
    mTransport.Send(*target,
                    KindOf(aOutgoing.mMessage),
                    EncodeClusterMessage(aOutgoing.mMessage));
  }
}

void
ClusterController::Put(const StorePutAction& aAction)
{
  mStore.Put(aAction.mKey,
             aAction.mBody,
             aAction.mExpected,
             [this, id = aAction.mChangeId](
               const absl::StatusOr<std::uint64_t>& aVersion) {
               Carry(mNode.OnPut(id, aVersion, mClock.Now()));
             });
}

void
ClusterController::Get(const StoreGetAction& aAction)
{
  mStore.Get(aAction.mKey,
             [this, id = aAction.mChangeId](
               const absl::StatusOr<StoredObject>& aObject) {
               Carry(mNode.OnGet(id, aObject, mClock.Now()));
             });
}

void
ClusterController::Step(WatchStep aStep)
{
  switch (aStep) {
    case WatchStep::None:
      return;
    case WatchStep::Stop:
      mWatch.reset();
      return;
    case WatchStep::List:
      mStore.List(std::string(kConfigPrefix),
                  [this](const absl::StatusOr<StoreListing>& aListing) {
                    Carry(mNode.OnListing(aListing, mClock.Now()));
                  });
      return;
    case WatchStep::Watch:
      break;
  }
  StoreWatchHooks hooks;
  hooks.mOnChange = [this](const StoredObject& aObject) {
    Carry(mNode.OnWatch(aObject, mClock.Now()));
  };
  hooks.mOnEnd = [this](const absl::Status& aStatus, std::uint64_t aLast) {
    mNode.OnWatchEnd(aStatus, aLast, mClock.Now());
  };
  mWatch = mStore.Watch(
    std::string(kConfigPrefix), mNode.Watch().Revision(), std::move(hooks));
}

void
ClusterController::ListVms()
{
  mVms.ListVms([this](const absl::StatusOr<std::vector<VmEntry>>& aVms) {
    if (aVms.ok()) {
      Carry(mNode.OnVmList(*aVms, mClock.Now()));
    } else {
      LogEvent(LogLevel::Warning,
               "vm_list_failed",
               { { "reason", aVms.status().ToString() } });
    }
    mVmTimer =
      mLoop.After(mNode.Members().VmListInterval(), [this] { ListVms(); });
  });
}

} // namespace bulrushfold
