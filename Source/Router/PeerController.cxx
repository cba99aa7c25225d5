#include "Router/PeerController.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "Base/Identifiers.h"
#include "Base/Log.h"
#include "Base/Secret.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;

/** Name of the object that holds the key of the messages. */
constexpr const char* kKeyName = "shared-key";
constexpr const char* kKeyId = "store";
constexpr std::size_t kKeyBytes = 32;
constexpr std::size_t kMaxFrameBytes = 1024 * 1024;
/** Least time between two messages, for each peer: bounds the processor time
 * that many peers cost. */
constexpr Duration kIntervalPerPeer = std::chrono::milliseconds(1);
constexpr Duration kShortestInterval = std::chrono::milliseconds(5);
constexpr Duration kLongestInterval = std::chrono::milliseconds(400);
/** Plain requests are short: at longer intervals they are over before peers
 * hear of them, so they cause no message of their own. */
constexpr Duration kPlainNewsInterval = std::chrono::milliseconds(30);
/** A message is sent after this time even if nothing changed. */
constexpr Duration kHeartbeat = std::chrono::milliseconds(500);
/** Finds peers whose first message was lost. */
constexpr Duration kRegistryRefresh = std::chrono::seconds(30);
constexpr Duration kRegistryRetry = std::chrono::milliseconds(700);
} // namespace

PeerController::PeerController(EventLoop& aLoop,
                               const Clock& aClock,
                               Random& aRandom,
                               ObjectStore& aStore,
                               const RouterSettings& aSettings,
                               PeerBeliefs aBeliefs,
                               std::function<void()> aOnNews)
  : mLoop(aLoop)
  , mClock(aClock)
  , mRandom(aRandom)
  , mStore(aStore)
  , mSettings(aSettings)
  , mBeliefs(aBeliefs)
  , mOnNews(std::move(aOnNews))
  , mIncarnation(MakeUuidV7(aClock.Wall(), aRandom))
  , mTimer(aLoop, aClock, [this] { Broadcast(); })
{
  mBeliefs.mLoads.OnOwnChange().connect([this](const EndpointWork& aWork) {
    if (aWork.mPrefillTokens > 0 || LeastInterval() <= kPlainNewsInterval) {
      MarkChanged();
    }
  });
  mBeliefs.mRuns.OnOwnChange().connect([this] { MarkChanged(); });
}

void
PeerController::Start()
{
  Register();
}

void
PeerController::RetryLater(const absl::Status& aStatus,
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
    { "incarnation", mIncarnation }
  }.dump();
  const auto done = [this](const absl::StatusOr<std::uint64_t>& aVersion) {
    if (aVersion.ok()) {
      mEntryVersion = *aVersion;
      ReadRegistry();
    } else {
      RetryLater(aVersion.status(), &PeerController::Register);
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
      // An earlier process of this VM left its entry.
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
                  TakeRegistry(*aListing);
                } else {
                  RetryLater(aListing.status(), &PeerController::ReadRegistry);
                }
              });
}

void
PeerController::TakeRegistry(const StoreListing& aListing)
{
  const Instant now = mClock.Now();
  std::string key;
  for (const auto& it : aListing.mObjects) {
    const std::string name = it.mKey.substr(mSettings.mDaemonPrefix.size());
    const Json body = Json::parse(it.mBody, nullptr, false);
    SocketAddress address;
    if (body.is_object() && name == kKeyName) {
      key = FromHex(body.value("key", "")).value_or("");
    } else if (body.is_object() &&
               ParseAddress(body.value("address", ""), address)) {
      if (name != mSettings.mName) {
        mPeers.OnRegistered(name, address, now);
      }
    } else {
      LogEvent(
        LogLevel::Warning, "peer_entry_unreadable", { { "key", it.mKey } });
    }
  }
  if (key.size() != kKeyBytes) {
    CreateKey();
  } else if (!mTransport) {
    OpenLinks(key);
  }
  CountDaemons();
  mRefreshTimer = mLoop.After(FromSeconds(ToSeconds(kRegistryRefresh) *
                                          (0.75 + mRandom.UniformReal() / 2)),
                              [this] { ReadRegistry(); });
}

void
PeerController::CreateKey()
{
  std::string key;
  while (key.size() < kKeyBytes) {
    key.push_back(static_cast<char>(mRandom.UniformBelow(256)));
  }
  mStore.Put(mSettings.mDaemonPrefix + kKeyName,
             Json{ { "key", ToHex(key) } }.dump(),
             std::nullopt,
             [this](const absl::StatusOr<std::uint64_t>& aVersion) {
               // If another daemon was first, its key counts.
               if (aVersion.ok() ||
                   absl::IsFailedPrecondition(aVersion.status())) {
                 ReadRegistry();
               } else {
                 RetryLater(aVersion.status(), &PeerController::ReadRegistry);
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
  Broadcast();
}

void
PeerController::HandleStatus(const std::string& aSender,
                             const std::string& aPayload)
{
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
    Forget(aSender);
    mPeers.OnStopped(aSender);
    CountDaemons();
    mOnNews();
    return;
  }
  if (mPeers.OnMessage(aSender, status->mAddress, now)) {
    LogEvent(LogLevel::Info,
             "peer_live",
             { { "peer", aSender },
               { "address", FormatAddress(status->mAddress) },
               { "live", mPeers.LiveCount() } });
    CountDaemons();
    MarkChanged();
  }
  mBeliefs.mLoads.SetPeer(aSender, std::move(status->mWorks));
  mBeliefs.mRuns.SetPeer(aSender, std::move(status->mRuns));
  mBeliefs.mRetryBudget.SetPeer(aSender, std::move(status->mRetries));
  mBeliefs.mGuard.SetPeer(aSender, status->mSuspects, now);
  mBeliefs.mReturns.SetPeer(aSender, status->mTurnedAway, now);
  mBeliefs.mKept.SetPeer(aSender, std::move(status->mKeptPrompts));
  for (const auto& [endpoint, order] : status->mRoleOrders) {
    mBeliefs.mDirectory.OnRoleOrdered(endpoint, order, now);
  }
  mOnNews();
}

void
PeerController::Forget(const std::string& aName)
{
  // Its callers come back to other daemons.
  for (const auto& it : mBeliefs.mRuns.RunsOf(aName)) {
    mBeliefs.mKept.OnInterrupted(
      { it.mPromptKey, it.mEndpoint, it.mPromptTokens, mClock.Now() });
  }
  mBeliefs.mKept.RemovePeer(aName);
  mBeliefs.mLoads.RemovePeer(aName);
  mBeliefs.mRuns.RemovePeer(aName);
  mBeliefs.mRetryBudget.RemovePeer(aName);
  mBeliefs.mGuard.RemovePeer(aName);
  mBeliefs.mReturns.RemovePeer(aName);
}

void
PeerController::CountDaemons()
{
  mBeliefs.mRetryBudget.SetDaemons(mPeers.Count() + 1);
  mBeliefs.mPrefillTurns.SetPeers(mPeers.LiveNames(), LeastInterval());
}

Duration
PeerController::LeastInterval() const
{
  return std::clamp(kIntervalPerPeer * static_cast<int>(mPeers.LiveCount()),
                    kShortestInterval,
                    kLongestInterval);
}

void
PeerController::MarkChanged()
{
  if (mTransport) {
    mTimer.WakeAt(mSentAt + LeastInterval());
  }
}

PeerStatus
PeerController::MakeStatus() const
{
  const Instant now = mClock.Now();
  PeerStatus status;
  for (const auto& [number, run] : mBeliefs.mRuns.Own()) {
    status.mRuns.push_back(run);
  }
  status.mWorks = mBeliefs.mLoads.OwnWorks();
  status.mRetries = mBeliefs.mRetryBudget.OwnUses(now);
  status.mSuspects = mBeliefs.mGuard.OwnSuspects(now);
  status.mTurnedAway = mBeliefs.mReturns.Own(now);
  status.mKeptPrompts = mBeliefs.mKept.Own(now);
  status.mRoleOrders = mBeliefs.mDirectory.RoleOrders(now);
  status.mIsStopping = mIsStopping;
  status.mAddress = mSettings.mPeerAddress;
  return status;
}

void
PeerController::Broadcast()
{
  const Instant now = mClock.Now();
  mSentAt = now;
  for (const auto& it : mPeers.CollectDead(now)) {
    LogEvent(LogLevel::Warning,
             "peer_silent",
             { { "peer", it }, { "live", mPeers.LiveCount() } });
    Forget(it);
    mOnNews();
  }
  CountDaemons();
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
  // Only this process's entry: the next one may already have written its own.
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
