#include "Router/Router.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

void
Router::LogStoreState(std::string_view aPrefix, const absl::Status* aLost)
{
  LogEvent(aLost != nullptr ? LogLevel::Warning : LogLevel::Info,
           aLost != nullptr ? "store_lost" : "store_back",
           { { "objects", aPrefix },
             { "reason", aLost != nullptr ? aLost->ToString() : "" } });
}

ObjectWatcherHooks
Router::WithFeed(const std::string& aPrefix, const ObjectWatcherHooks& aHooks)
{
  ObjectWatcherHooks hooks = aHooks;
  hooks.mOnListing =
    [this, aPrefix, next = aHooks.mOnListing](const StoreListing& aListing) {
      mLostPrefixes.erase(aPrefix);
      mFeed.OnListing(aPrefix, aListing);
      mOwner.Announce();
      next(aListing);
    };
  hooks.mOnChange =
    [this, aPrefix, next = aHooks.mOnChange](const StoredObject& aObject) {
      mFeed.OnChange(aPrefix, aObject);
      mOwner.Announce();
      next(aObject);
    };
  hooks.mOnStoreRecovered = [this, aPrefix, next = aHooks.mOnStoreRecovered] {
    mLostPrefixes.erase(aPrefix);
    next();
  };
  hooks.mHasReader = [this] {
    return mPlacement.HasRemoteOwner() && !mPlacement.IsCandidate();
  };
  hooks.mOnStoreUnavailable =
    [this, aPrefix, next = aHooks.mOnStoreUnavailable](
      const absl::Status& aStatus) {
      mLostPrefixes.insert(aPrefix);
      mFeed.OnLost(aPrefix);
      mOwner.Announce();
      next(aStatus);
    };
  return hooks;
}

ObjectWatcherHooks
Router::ConfigHooks()
{
  ObjectWatcherHooks hooks;
  hooks.mOnListing = [this](const StoreListing& aListing) {
    for (const auto& it : aListing.mObjects) {
      ApplyConfig(it);
    }
  };
  hooks.mOnChange = [this](const StoredObject& aObject) {
    ApplyConfig(aObject);
  };
  hooks.mOnStoreUnavailable = [this](const absl::Status& aStatus) {
    LogStoreState(mSettings.mConfigPrefix, &aStatus);
  };
  hooks.mOnStoreRecovered = [this] {
    LogStoreState(mSettings.mConfigPrefix, nullptr);
  };
  return hooks;
}

void
Router::HandleVersion(std::uint64_t aVersion)
{
  const StoreEra era = EraOf(aVersion);
  const bool hasReturned = mStoreEra && era > *mStoreEra;
  mStoreEra = std::max(mStoreEra.value_or(era), era);
  if (hasReturned) {
    mPeers.OnStoreRestored();
  }
}

void
Router::HandleRegistryVersion(std::uint64_t aVersion)
{
  HandleVersion(aVersion);
  if (mHasEndpoints && EraOf(aVersion) > EraOf(mDirectory.Revision())) {
    mDirectory.OnRegistryRecovered(mClock.Now());
  }
}

void
Router::ApplyConfig(const StoredObject& aObject)
{
  HandleVersion(aObject.mVersion);
  if (aObject.mKey != mSettings.mConfigKey || aObject.mIsDeleted) {
    return;
  }
  auto config = mCodec.mReadConfig(aObject);
  if (!config.ok()) {
    LogEvent(LogLevel::Error,
             "config_unreadable",
             { { "revision", aObject.mVersion },
               { "reason", std::string(config.status().message()) } });
    return;
  }
  if (mTable && config->mVersion <= mTable->Config().mVersion) {
    return;
  }
  LogEvent(LogLevel::Info,
           "config_in_force",
           { { "version", config->mVersion },
             { "revision", aObject.mVersion },
             { "routes", config->mRoutes.size() },
             { "services", config->mServices.size() },
             { "workspaces", config->mWorkspaces.size() } });
  mTable = std::make_shared<const RouteTable>(*std::move(config));
  mQuotas.SetWorkspaces(mTable->Config().mWorkspaces);
  for (const auto& it : mTable->KeyConflicts()) {
    LogEvent(LogLevel::Error,
             "workspace_key_conflict",
             { { "version", mTable->Config().mVersion }, { "workspace", it } });
  }
  mCallerServer.SetLimits(ServerLimits(mTable->Config().mLimits, mSettings));
  mStreams.ScheduleDispatch();
  LogReadinessChange();
}

ObjectWatcherHooks
Router::EndpointHooks()
{
  ObjectWatcherHooks hooks;
  hooks.mOnListing = [this](const StoreListing& aListing) {
    ApplyEndpointListing(aListing);
  };
  hooks.mOnChange = [this](const StoredObject& aObject) {
    ApplyEndpoint(aObject);
  };
  hooks.mOnStoreUnavailable = [this](const absl::Status& aStatus) {
    LogStoreState(mSettings.mEndpointPrefix, &aStatus);
  };
  hooks.mOnStoreRecovered = [this] {
    LogStoreState(mSettings.mEndpointPrefix, nullptr);
    mDirectory.OnRegistryRecovered(mClock.Now());
  };
  return hooks;
}

void
Router::ApplyEndpointListing(const StoreListing& aListing)
{
  HandleRegistryVersion(aListing.mRevision);
  const Instant now = mClock.Now();
  std::vector<EndpointRecord> records;
  std::set<std::string> ids;
  const auto logged = std::exchange(mUnreadableEndpoints, {});
  for (const auto& it : aListing.mObjects) {
    if (auto record = mCodec.mReadEndpoint(it); record.ok()) {
      ids.insert(record->mId);
      if (AcceptsEntry(*record, it.mVersion)) {
        records.push_back(*std::move(record));
      } else if (const auto* known = mDirectory.Find(record->mId); known) {
        records.push_back(*known);
      }
    } else {
      if (const auto known = logged.find(it.mKey); known != logged.end()) {
        mUnreadableEndpoints.insert(*known);
      }
      LogUnreadableEndpoint(it.mKey, record.status());
    }
  }
  mRestoredEntries.OnListed(ids, aListing.mRevision, now);
  mDirectory.Replace(records, aListing.mRevision, now);
  mHasEndpoints = true;
  mStreams.ScheduleDispatch();
  LogReadinessChange();
}

void
Router::ApplyEndpoint(const StoredObject& aObject)
{
  HandleRegistryVersion(aObject.mVersion);
  const Instant now = mClock.Now();
  const std::string id = aObject.mKey.substr(mSettings.mEndpointPrefix.size());
  auto record = aObject.mIsDeleted
                  ? absl::StatusOr<EndpointRecord>(absl::NotFoundError(""))
                  : mCodec.mReadEndpoint(aObject);
  if (record.ok() || aObject.mIsDeleted) {
    mUnreadableEndpoints.erase(aObject.mKey);
  } else {
    LogUnreadableEndpoint(aObject.mKey, record.status());
  }
  if (!record.ok()) {
    mRestoredEntries.OnRemoved(id, aObject.mVersion, now);
    mDirectory.Remove(id, aObject.mVersion, now);
  } else if (AcceptsEntry(*record, aObject.mVersion)) {
    mDirectory.Put(*record, aObject.mVersion, now);
  } else if (const auto* known = mDirectory.Find(id); known) {
    mDirectory.Put(EndpointRecord(*known), aObject.mVersion, now);
  }
  mStreams.ScheduleDispatch();
}

bool
Router::AcceptsEntry(const EndpointRecord& aRecord, std::uint64_t aVersion)
{
  if (mRestoredEntries.OnEntry(aRecord, aVersion, mClock.Now())) {
    return true;
  }
  LogEvent(LogLevel::Info,
           "endpoint_entry_held",
           { { "endpoint", aRecord.mId },
             { "version", aVersion },
             { "is_known", mDirectory.Find(aRecord.mId) ? "yes" : "no" } });
  ScheduleExpiry();
  return false;
}

void
Router::LogUnreadableEndpoint(const std::string& aKey,
                              const absl::Status& aStatus)
{
  std::string reason(aStatus.message());
  std::string& logged = mUnreadableEndpoints[aKey];
  if (logged != reason) {
    LogEvent(LogLevel::Warning,
             "endpoint_unreadable",
             { { "key", aKey }, { "reason", reason } });
    logged = std::move(reason);
  }
}

void
Router::HandleEndpointChange(const EndpointRecord& aEndpoint,
                             EndpointChange aChange)
{
  LogEvent(LogLevel::Info,
           "endpoint_changed",
           { { "endpoint", aEndpoint.mId },
             { "change", EndpointChangeName(aChange) },
             { "service", aEndpoint.mService },
             { "role", EndpointRoleName(aEndpoint.mRole) },
             { "address", FormatAddress(aEndpoint.mAddress) },
             { "failure_domain", aEndpoint.mFailureDomain },
             { "software", aEndpoint.mSoftware },
             { "backoff_ms", ToMilliseconds(RemainingBackoff(aEndpoint.mId)) },
             { "registry", mDirectory.Revision() } });
  mSoftwareHistory.OnChange(aEndpoint, aChange, mClock.Now());
  mPlacement.OnEndpointChange(
    aEndpoint, aChange, RemainingBackoff(aEndpoint.mId));
  if (aChange == EndpointChange::Removed ||
      aChange == EndpointChange::Restarted) {
    mHealth.Remove(aEndpoint.mId);
    mGuard.OnEngineGone(aEndpoint.mId, mClock.Now());
    mLoads.RemoveReport(aEndpoint.mId);
    mClient.CloseIdle(aEndpoint.mAddress);
  }
  if (aChange == EndpointChange::LeavingAnnounced ||
      aChange == EndpointChange::BackoffStarted ||
      aChange == EndpointChange::Returned) {
    mStreams.ScheduleDispatch();
  }
  // These states end at a time that the directory sets.
  if (aChange == EndpointChange::Missing ||
      aChange == EndpointChange::ChangingRole ||
      aChange == EndpointChange::BackoffStarted) {
    ScheduleExpiry();
  }
}

Duration
Router::RemainingBackoff(const std::string& aEndpoint) const
{
  const Instant now = mClock.Now();
  return mDirectory.BackoffEnd(aEndpoint).value_or(now) - now;
}

void
Router::ScheduleExpiry()
{
  auto next = mDirectory.NextExpiry();
  if (const auto due = mRestoredEntries.NextDue(); due) {
    next = std::min(next.value_or(*due), *due);
  }
  if (next) {
    mExpiryTimer =
      mLoop.After(std::max(*next - mClock.Now(), Duration::zero()), [this] {
        const Instant now = mClock.Now();
        mDirectory.Expire(now);
        for (const auto& it : mRestoredEntries.TakeDue(now)) {
          mDirectory.Put(it.mRecord, it.mVersion, now);
        }
        ScheduleExpiry();
      });
  }
}

} // namespace bulrushfold
