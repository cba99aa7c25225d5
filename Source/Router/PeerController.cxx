#include "Router/PeerController.h"

#include <algorithm>
#include <utility>

#include "Base/Identifiers.h"
#include "Base/Log.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr const char* kKeyId = "store";
constexpr std::size_t kMaxFrameBytes = 1024 * 1024;
/** Minimum time between two messages, per live peer: limits the processor time
 * when there are many peers. */
constexpr Duration kIntervalPerPeer = std::chrono::milliseconds(1);
constexpr Duration kMinInterval = std::chrono::milliseconds(5);
constexpr Duration kMaxInterval = std::chrono::milliseconds(400);
/** A change of plain requests triggers a message only if the interval between
 * messages is not longer than this. Plain requests are short: at longer
 * intervals they finish before the peers receive the message. */
constexpr Duration kMaxPlainUpdateInterval = std::chrono::milliseconds(30);
/** A message is sent after this time even if nothing has changed. */
constexpr Duration kHeartbeat = std::chrono::milliseconds(500);
} // namespace

PeerController::PeerController(EventLoop& aLoop,
                               const Clock& aClock,
                               Random& aRandom,
                               ObjectStore& aStore,
                               const RouterSettings& aSettings,
                               SharedTables aTables,
                               Hooks aHooks)
  : mLoop(aLoop)
  , mClock(aClock)
  , mRandom(aRandom)
  , mStore(aStore)
  , mSettings(aSettings)
  , mTables(aTables)
  , mHooks(std::move(aHooks))
  , mIncarnation(MakeUuidV7(aClock.Wall(), aRandom))
  , mTimer(aLoop, aClock, [this] { Broadcast(); })
{
  mTables.mLoads.OnOwnChange().connect([this](const EndpointWork& aWork) {
    if (aWork.mPrefillTokens > 0 || MinInterval() <= kMaxPlainUpdateInterval) {
      ScheduleBroadcast();
    }
  });
  mTables.mRuns.OnOwnChange().connect([this] { ScheduleBroadcast(); });
  mTables.mGuard.OnOwnLoss().connect([this] { ScheduleBroadcast(); });
  mTables.mOrigins.OnUntold().connect([this] { ScheduleBroadcast(); });
}

void
PeerController::Start()
{
  Register();
}

PlacementLink
PeerController::Link()
{
  PlacementLink link;
  link.mCall = [this](const FleetMember& aTarget,
                      wire::MessageKind::type aKind,
                      std::string aPayload,
                      Duration aTimeout,
                      PlacementLink::ReplyHook aHook) {
    if (mTransport) {
      mTransport->Call({ aTarget.mName, aTarget.mAddress },
                       aKind,
                       std::move(aPayload),
                       aTimeout,
                       std::move(aHook));
    } else {
      mLoop.Defer([hook = std::move(aHook)] {
        hook(absl::AbortedError("no links to other daemons yet"));
      });
    }
  };
  link.mSend = [this](const FleetMember& aTarget,
                      wire::MessageKind::type aKind,
                      std::string aPayload) {
    if (mTransport) {
      mTransport->Send(
        { aTarget.mName, aTarget.mAddress }, aKind, std::move(aPayload));
    }
  };
  return link;
}

std::vector<FleetMember>
PeerController::LivePeers() const
{
  std::vector<FleetMember> peers;
  for (const auto& it : mPeers.Live()) {
    peers.push_back({ it.mName, it.mAddress, 0 });
  }
  return peers;
}

void
PeerController::OpenLinks(const std::string& aKey)
{
  DaemonSettings daemon;
  daemon.mName = mSettings.mName;
  daemon.mPeerAddress = mSettings.mPeerAddress;
  PeerSettings peers;
  peers.mKeys = { { kKeyId, aKey } };
  peers.mMaxFrameBytes = kMaxFrameBytes;
  mTransport =
    std::make_unique<PeerTransport>(mLoop, daemon, peers, mIncarnation);
  mTransport->Handle(wire::MessageKind::ROUTING_STATUS,
                     [this](const std::string& aSender,
                            const std::string& aPayload,
                            const PeerTransport::Responder&) {
                       HandleStatus(aSender, aPayload);
                     });
  if (const auto status = mTransport->Listen(); !status.ok()) {
    LogEvent(LogLevel::Error,
             "peer_links_failed",
             { { "reason", status.ToString() } });
  }
  LogEvent(LogLevel::Info,
           "peer_links_open",
           { { "address", FormatAddress(mSettings.mPeerAddress) },
             { "registered", mPeers.Count() } });
  mHooks.mOnLinksOpen(*mTransport);
  Broadcast();
}

void
PeerController::HandleStatus(const std::string& aSender,
                             const std::string& aPayload)
{
  // A daemon that has not read the whole registry yet.
  if (mIsLargeFleet) {
    return;
  }
  const Instant now = mClock.Now();
  auto status = DecodePeerStatus(aPayload, now);
  if (!status.ok()) {
    LogEvent(LogLevel::Warning,
             "peer_status_unreadable",
             { { "peer", aSender },
               { "reason", std::string(status.status().message()) } });
    return;
  }
  if (status->mIsStopping) {
    RemovePeer(aSender);
    mPeers.OnStopped(aSender);
    UpdatePeerCount();
    mHooks.mOnPeerUpdate();
    return;
  }
  if (mPeers.OnMessage(aSender, status->mAddress, now)) {
    LogEvent(LogLevel::Info,
             "peer_live",
             { { "peer", aSender },
               { "address", FormatAddress(status->mAddress) },
               { "live", mPeers.LiveCount() } });
    UpdatePeerCount();
    mTables.mOrigins.TellAgain(now);
    ScheduleBroadcast();
  }
  mTables.mOrigins.Merge(status->mOrigins, now);
  mTables.mLoads.SetPeer(aSender, std::move(status->mWorks));
  mTables.mRuns.SetPeer(aSender, std::move(status->mRuns));
  mTables.mRetryBudget.SetPeer(aSender, std::move(status->mRetries));
  mTables.mGuard.Merge(status->mCrashes, now);
  mTables.mDeferredRequests.SetPeer(aSender, status->mDeferredRequests, now);
  mTables.mQuotas.SetPeer(aSender, status->mQuotaUses, now);
  mTables.mCachedPrompts.SetPeer(aSender, std::move(status->mCachedPrompts));
  for (const auto& [endpoint, order] : status->mRoleOrders) {
    mTables.mDirectory.OnRoleOrdered(endpoint, order, now);
  }
  mHooks.mOnPeerUpdate();
}

void
PeerController::RemovePeer(const std::string& aName)
{
  // Callers of aName will resume their streams at other daemons, where the
  // prompts may still be in the engines' caches.
  for (const auto& it : mTables.mRuns.RunsOf(aName)) {
    mTables.mCachedPrompts.OnInterrupted(
      { it.mPromptKey, it.mEndpoint, it.mPromptTokens, mClock.Now() });
  }
  mTables.mCachedPrompts.RemovePeer(aName);
  mTables.mLoads.RemovePeer(aName);
  mTables.mRuns.RemovePeer(aName);
  mTables.mRetryBudget.RemovePeer(aName);
  mTables.mDeferredRequests.RemovePeer(aName);
  mTables.mQuotas.RemovePeer(aName);
}

void
PeerController::UpdatePeerCount()
{
  if (!mIsLargeFleet) {
    mTables.mRetryBudget.SetDaemons(mPeers.Count() + 1);
  }
  mTables.mPrefillTurns.SetPeers(mPeers.LiveNames(), MinInterval());
}

Duration
PeerController::MinInterval() const
{
  return std::clamp(kIntervalPerPeer * static_cast<int>(mPeers.LiveCount()),
                    kMinInterval,
                    kMaxInterval);
}

void
PeerController::ScheduleBroadcast()
{
  if (mTransport && !mIsLargeFleet) {
    mTimer.WakeAt(mSentAt + MinInterval());
  }
}

PeerStatus
PeerController::MakeStatus() const
{
  const Instant now = mClock.Now();
  PeerStatus status = MakeSummary();
  for (const auto& [number, run] : mTables.mRuns.Own()) {
    status.mRuns.push_back(run);
  }
  status.mWorks = mTables.mLoads.OwnWorks();
  status.mDeferredRequests = mTables.mDeferredRequests.Own(now);
  status.mQuotaUses = mTables.mQuotas.OwnUses(now);
  status.mCachedPrompts = mTables.mCachedPrompts.Own(now);
  status.mRoleOrders = mTables.mDirectory.RoleOrders(now);
  status.mIsStopping = mIsStopping;
  return status;
}

PeerStatus
PeerController::MakeSummary() const
{
  const Instant now = mClock.Now();
  PeerStatus status;
  status.mRetries = mTables.mRetryBudget.OwnUses(now);
  status.mCrashes = mTables.mGuard.Report(now);
  status.mOrigins = mTables.mOrigins.Untold(now);
  status.mAddress = mSettings.mPeerAddress;
  return status;
}

void
PeerController::Broadcast()
{
  if (mIsLargeFleet) {
    return;
  }
  const Instant now = mClock.Now();
  mSentAt = now;
  for (const auto& it : mPeers.CollectDead(now)) {
    LogEvent(LogLevel::Warning,
             "peer_silent",
             { { "peer", it }, { "live", mPeers.LiveCount() } });
    RemovePeer(it);
    mHooks.mOnPeerUpdate();
  }
  UpdatePeerCount();
  const std::string payload = EncodePeerStatus(MakeStatus(), now);
  for (const auto& it : mPeers.CollectTargets(now)) {
    mTransport->Send(
      { it.mName, it.mAddress }, wire::MessageKind::ROUTING_STATUS, payload);
  }
  mTimer.WakeAt(now + kHeartbeat);
}

void
PeerController::AnnounceStop()
{
  if (mTransport) {
    mIsStopping = true;
    Broadcast();
  }
  if (mEntryVersion == 0) {
    return;
  }
  // The version limits the deletion to the entry of this process: the next
  // process of this VM may already have written its own.
  mStore.Delete(mSettings.mDaemonPrefix + mSettings.mName,
                mEntryVersion,
                [](const absl::StatusOr<std::uint64_t>& aResult) {
                  if (!aResult.ok()) {
                    LogEvent(LogLevel::Warning,
                             "peer_entry_kept",
                             { { "reason", aResult.status().ToString() } });
                  }
                });
}

} // namespace bulrushfold
