#include "Daemon/ConfigurationLoader.h"

#include <utility>

#include "Base/Log.h"

namespace bulrushfold {

namespace {
constexpr Duration kRetryInterval = std::chrono::milliseconds(500);
} // namespace

ConfigurationLoader::ConfigurationLoader(EventLoop& aLoop,
                                         ObjectStore& aStore,
                                         Configuration& aConfiguration)
  : mLoop(aLoop)
  , mStore(aStore)
  , mConfiguration(aConfiguration)
{
}

void
ConfigurationLoader::Start()
{
  List();
}

void
ConfigurationLoader::List()
{
  mStore.List(std::string(kConfigPrefix),
              [this](absl::StatusOr<StoreListing> aListing) {
                if (!aListing.ok()) {
                  LogEvent(LogLevel::Warning,
                           "config_list_failed",
                           { { "reason", aListing.status().ToString() } });
                  mRetryTimer = mLoop.After(kRetryInterval, [this] { List(); });
                  return;
                }
                for (const auto& it : aListing->mObjects) {
                  Apply(it);
                }
                mIsLoaded = true;
                Watch(aListing->mRevision);
              });
}

void
ConfigurationLoader::Watch(std::uint64_t aRevision)
{
  StoreWatchHooks hooks;
  hooks.mOnChange = [this](const StoredObject& aObject) { Apply(aObject); };
  hooks.mOnEnd = [this](const absl::Status& aStatus, std::uint64_t aLast) {
    mRetryTimer = mLoop.After(
      kRetryInterval, [this, isGone = absl::IsOutOfRange(aStatus), aLast] {
        isGone ? List() : Watch(aLast);
      });
  };
  mWatch =
    mStore.Watch(std::string(kConfigPrefix), aRevision, std::move(hooks));
}

void
ConfigurationLoader::Apply(const StoredObject& aObject)
{
  auto& version = mVersions[aObject.mKey];
  if (aObject.mVersion <= version) {
    return;
  }
  version = aObject.mVersion;
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
  mChanged.emit(aObject.mKey);
}

} // namespace bulrushfold
