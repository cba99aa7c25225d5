#include "Router/PeerController.h"

#include <algorithm>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "Base/Log.h"
#include "Base/Secret.h"
#include "Base/UntrustedJson.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;

/** Interval at which the registry is read again, to find peers whose first
 * message was lost. */
constexpr Duration kRegistryRefresh = std::chrono::seconds(30);
/** Interval of the first readings, and their number. */
constexpr Duration kEarlyRegistryRefresh = std::chrono::seconds(3);
constexpr std::uint32_t kEarlyReads = 2;
/** Time over which the daemons spread their readings after a return of the
 * store. */
constexpr Duration kRestoreSpread = std::chrono::seconds(3);
/** Time in which all daemons have written their entries again. */
constexpr Duration kRestoreTime = std::chrono::seconds(10);
constexpr Duration kRegistryRetry = std::chrono::milliseconds(700);
/** Name of the object with the key that signs the messages. */
constexpr const char* kKeyName = "shared-key";
constexpr std::size_t kKeyBytes = 32;

/** Text of a field; empty if the field is missing or has another type. */
std::string
TextOf(const Json& aEntry, const char* aField)
{
  const bool isText =
    aEntry.is_object() && aEntry.contains(aField) && aEntry[aField].is_string();
  return isText ? aEntry[aField].get<std::string>() : std::string();
}
} // namespace

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

void
PeerController::OnStoreRestored()
{
  if (mEntryVersion == 0) {
    // The entry is still being written.
    return;
  }
  mRegistryReads = 0;
  mRefreshTimer =
    mLoop.After(FromSeconds(ToSeconds(kRestoreSpread) * mRandom.UniformReal()),
                [this] { ReadRegistry(); });
}

void
PeerController::RestoreEntry(const StoreListing& aListing)
{
  if (mIsStopping || EraOf(mEntryVersion) == EraOf(aListing.mRevision)) {
    return;
  }
  const std::string key = mSettings.mDaemonPrefix + mSettings.mName;
  const auto it = std::find_if(
    aListing.mObjects.begin(),
    aListing.mObjects.end(),
    [&](const StoredObject& aObject) { return aObject.mKey == key; });
  const std::string listed =
    it == aListing.mObjects.end()
      ? std::string()
      : TextOf(ParseUntrustedJson(it->mBody), "incarnation");
  if (listed == mIncarnation) {
    mEntryVersion = it->mVersion;
  } else if (listed < mIncarnation) {
    // Incarnations are ordered by their start. A later process of this VM has
    // the entry for itself.
    LogEvent(LogLevel::Info, "peer_entry_restored", { { "key", key } });
    Register();
  }
}

void
PeerController::AddFormerMembers(std::vector<FleetMember>& aMembers) const
{
  std::set<std::string> names;
  for (const auto& it : aMembers) {
    names.insert(it.mName);
  }
  for (const auto& it : mMembers) {
    if (names.insert(it.mName).second) {
      aMembers.push_back(it);
    }
  }
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
  const Instant now = mClock.Now();
  if (EraOf(mEntryVersion) != EraOf(aListing.mRevision)) {
    mRestoreEnd = now + kRestoreTime;
  }
  if (now < mRestoreEnd) {
    AddFormerMembers(members);
  }
  mMembers = members;
  RestoreEntry(aListing);
  // An unreadable key is read again, not replaced: other daemons may use the
  // key that it contained before.
  if (!hasKeyEntry) {
    CreateKey();
  } else if (key.size() == kKeyBytes && !mTransport) {
    mKey = key;
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

void
PeerController::CreateKey()
{
  // After a return of the store, the daemons go on with the key that they have.
  std::string key = mKey;
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

} // namespace bulrushfold
