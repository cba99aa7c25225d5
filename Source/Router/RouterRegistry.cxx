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
Router::ApplyConfig(const StoredObject& aObject)
{
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
  mCallerServer.SetLimits(
    ServerLimits(mTable->Config().mLimits, mSettings.mMaxDescriptors));
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
  std::vector<EndpointRecord> records;
  const auto logged = std::exchange(mUnreadableEndpoints, {});
  for (const auto& it : aListing.mObjects) {
    if (auto record = mCodec.mReadEndpoint(it); record.ok()) {
      records.push_back(*std::move(record));
    } else {
      if (const auto known = logged.find(it.mKey); known != logged.end()) {
        mUnreadableEndpoints.insert(*known);
      }
      LogUnreadableEndpoint(it.mKey, record.status());
    }
  }
  mDirectory.Replace(records, aListing.mRevision, mClock.Now());
  mHasEndpoints = true;
  mStreams.ScheduleDispatch();
  LogReadinessChange();
}

void
Router::ApplyEndpoint(const StoredObject& aObject)
{
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
  if (record.ok()) {
    mDirectory.Put(*record, aObject.mVersion, now);
  } else {
    mDirectory.Remove(id, aObject.mVersion, now);
  }
  mStreams.ScheduleDispatch();
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
             { "backoff_ms", ToMilliseconds(RemainingBackoff(aEndpoint.mId)) },
             { "registry", mDirectory.Revision() } });
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
  if (const auto next = mDirectory.NextExpiry(); next) {
    mExpiryTimer =
      mLoop.After(std::max(*next - mClock.Now(), Duration::zero()), [this] {
        mDirectory.Expire(mClock.Now());
        ScheduleExpiry();
      });
  }
}

} // namespace bulrushfold
