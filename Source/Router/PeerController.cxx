#include "Router/PeerController.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "Base/Identifiers.h"
#include "Base/Log.h"
#include "Base/Secret.h"
#include "Base/UntrustedJson.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;

/** Name of the object with the key that signs the messages. */
constexpr const char* kKeyName = "shared-key";
constexpr const char* kKeyId = "store";
constexpr std::size_t kKeyBytes = 32;
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
/** Interval at which the registry is read again, to find peers whose first
 * message was lost. */
constexpr Duration kRegistryRefresh = std::chrono::seconds(30);
/** Interval of the first readings, and their number. */
constexpr Duration kEarlyRegistryRefresh = std::chrono::seconds(3);
constexpr std::uint32_t kEarlyReads = 2;
constexpr Duration kRegistryRetry = std::chrono::milliseconds(700);

/** Text of a field; empty if the field is missing or has another type. */
std::string
TextOf(const Json& aEntry, const char* aField)
{
  const bool isText =
    aEntry.is_object() && aEntry.contains(aField) && aEntry[aField].is_string();
  return isText ? aEntry[aField].get<std::string>() : std::string();
}
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
  mTables.mPromptGuard.OnOwnLoss().connect([this] { ScheduleBroadcast(); });
}

void
PeerController::Start()
{
  Register();
}

void
PeerController::ScheduleRetry(const absl::Status& aStatus,
                              void (PeerController::*aStep)())
{
  LogEvent(LogLevel::Warning,
           "peer_registry_failed",
           { { "reason", aStatus.ToString() } });
  mRetryTimer = mLoop.After(
    FromSeconds(ToSeconds(kRegistryRetry) * (0.5 + mRandom.UniformReal())),
    [this, aStep] { (this->*aStep)(); });
}

void
PeerController::Register()
{
  const std::string key = mSettings.mDaemonPrefix + mSettings.mName;
  const std::string body = Json{
    { "address", FormatAddress(mSettings.mPeerAddress) },
    { "incarnation", mIncarnation },
    { "capacity", mSettings.mCapacity }
  }.dump();
  const auto done = [this](const absl::StatusOr<std::uint64_t>& aVersion) {
    if (aVersion.ok()) {
      mEntryVersion = *aVersion;
      ReadRegistry();
    } else {
      ScheduleRetry(aVersion.status(), &PeerController::Register);
    }
  };
  mStore.Put(
    key,
    body,
    std::nullopt,
    [this, key, body, done](const absl::StatusOr<std::uint64_t>& aVersion) {
      if (!absl::IsFailedPrecondition(aVersion.status())) {
        done(aVersion);
        return;
      }
      // The entry of an earlier process of this VM still exists; replace it.
      mStore.Get(
        key,
        [this, key, body, done](const absl::StatusOr<StoredObject>& aObject) {
          if (aObject.ok()) {
            mStore.Put(key, body, aObject->mVersion, done);
          } else {
            done(aObject.status());
          }
        });
    });
}

void
PeerController::ReadRegistry()
{
  mStore.List(mSettings.mDaemonPrefix,
              [this](const absl::StatusOr<StoreListing>& aListing) {
                if (aListing.ok()) {
                  HandleRegistry(*aListing);
                } else {
                  ScheduleRetry(aListing.status(),
                                &PeerController::ReadRegistry);
                }
              });
}

std::optional<FleetMember>
PeerController::ReadMember(const StoredObject& aEntry) const
{
  const Json body = ParseUntrustedJson(aEntry.mBody);
  FleetMember member;
  member.mName = aEntry.mKey.substr(mSettings.mDaemonPrefix.size());
  if (!ParseAddress(TextOf(body, "address"), member.mAddress)) {
    return std::nullopt;
  }
  if (const auto it = body.find("capacity");
      it != body.end() && it->is_number()) {
    member.mCapacity = it->get<double>();
  }
  return member;
}

void
PeerController::HandleRegistry(const StoreListing& aListing)
{
  const std::string keyName = mSettings.mDaemonPrefix + kKeyName;
  std::string key;
  bool hasKeyEntry = false;
  std::vector<FleetMember> members{
    { mSettings.mName, mSettings.mPeerAddress, mSettings.mCapacity }
  };
  for (const auto& it : aListing.mObjects) {
    if (it.mKey == keyName) {
      hasKeyEntry = true;
      key = FromHex(TextOf(ParseUntrustedJson(it.mBody), "key")).value_or("");
    }
    const bool isKey = it.mKey == keyName && key.size() == kKeyBytes;
    const auto member = isKey ? std::nullopt : ReadMember(it);
    if (member && member->mName != mSettings.mName) {
      members.push_back(*member);
    } else if (!member && !isKey) {
      LogEvent(
        LogLevel::Warning, "peer_entry_unreadable", { { "key", it.mKey } });
    }
  }
  // An unreadable key is read again, not replaced: other daemons may use the
  // key that it contained before.
  if (!hasKeyEntry) {
    CreateKey();
  } else if (key.size() == kKeyBytes && !mTransport) {
    OpenLinks(key);
  }
  if (mTransport) {
    SetMembers(std::move(members));
  }
  UpdatePeerCount();
  // Daemons that start at the same time do not find each other at once.
  const Duration interval =
    ++mRegistryReads <= kEarlyReads ? kEarlyRegistryRefresh : kRegistryRefresh;
  mRefreshTimer = mLoop.After(
    FromSeconds(ToSeconds(interval) * (0.75 + mRandom.UniformReal() / 2)),
    [this] { ReadRegistry(); });
}

void
PeerController::SetMembers(std::vector<FleetMember> aMembers)
{
  const Instant now = mClock.Now();
  const bool wasLarge =
    std::exchange(mIsLargeFleet, aMembers.size() >= OwnerSelector::kMinFleet);
  if (mIsLargeFleet && !wasLarge) {
    for (const auto& it : mPeers.LiveNames()) {
      RemovePeer(it);
    }
    mPeers = PeerTable();
  }
  if (!mIsLargeFleet) {
    for (const auto& it : aMembers) {
      if (it.mName != mSettings.mName) {
        mPeers.OnRegistered(it.mName, it.mAddress, now);
      }
    }
    if (wasLarge) {
      ScheduleBroadcast();
    }
  }
  mHooks.mOnMembers(std::move(aMembers));
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

void
PeerController::CreateKey()
{
  std::string key;
  while (key.size() < kKeyBytes) {
    key.push_back(static_cast<char>(mRandom.UniformBelow(256)));
  }
  mStore.Put(
    mSettings.mDaemonPrefix + kKeyName,
    Json{ { "key", ToHex(key) } }.dump(),
    std::nullopt,
    [this](const absl::StatusOr<std::uint64_t>& aVersion) {
      // If another daemon created the key first, that key is used.
      if (aVersion.ok() || absl::IsFailedPrecondition(aVersion.status())) {
        ReadRegistry();
      } else {
        ScheduleRetry(aVersion.status(), &PeerController::ReadRegistry);
      }
    });
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
    ScheduleBroadcast();
  }
  mTables.mLoads.SetPeer(aSender, std::move(status->mWorks));
  mTables.mRuns.SetPeer(aSender, std::move(status->mRuns));
  mTables.mRetryBudget.SetPeer(aSender, std::move(status->mRetries));
  mTables.mGuard.SetPeer(aSender, status->mSuspects, now);
  mTables.mPromptGuard.Merge(status->mLostPrompts, status->mAnsweredParts, now);
  mTables.mDeferredRequests.SetPeer(aSender, status->mDeferredRequests, now);
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
  mTables.mGuard.RemovePeer(aName);
  mTables.mDeferredRequests.RemovePeer(aName);
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
  status.mSuspects = mTables.mGuard.OwnSuspects(now);
  status.mLostPrompts = mTables.mPromptGuard.Lost(now);
  status.mAnsweredParts = mTables.mPromptGuard.Answered(now);
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
