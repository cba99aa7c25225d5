#include "Platform/ObjectWatcher.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
/** The first retry follows quickly, because most interruptions affect only one
 * connection. The delay grows so that a store that has just recovered is not
 * overloaded. */
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(1200);
/** From the second retry on, while another daemon reads the store: in a large
 * fleet the retries of all daemons would be most of the store's load. */
constexpr Duration kFollowerRetryDelay = std::chrono::seconds(4);
} // namespace

ObjectWatcher::ObjectWatcher(EventLoop& aLoop,
                             ObjectStore& aStore,
                             Random& aRandom,
                             std::string aPrefix,
                             ObjectWatcherHooks aHooks)
  : mLoop(aLoop)
  , mStore(aStore)
  , mRandom(aRandom)
  , mPrefix(std::move(aPrefix))
  , mHooks(std::move(aHooks))
  , mRetryDelay(kFirstRetryDelay)
{
}

void
ObjectWatcher::List()
{
  mStore.List(mPrefix,
              [this, alive = std::weak_ptr<bool>(mIsAlive)](
                const absl::StatusOr<StoreListing>& aListing) {
                if (!alive.expired()) {
                  HandleListing(aListing);
                }
              });
}

void
ObjectWatcher::HandleListing(const absl::StatusOr<StoreListing>& aListing)
{
  if (!aListing.ok()) {
    if (!mIsWatching) {
      HandleFailure(aListing.status());
      ScheduleListing();
    }
    return;
  }
  HandleRecovery();
  mHooks.mOnListing(*aListing);
  Watch(aListing->mRevision);
}

void
ObjectWatcher::Watch(std::uint64_t aRevision)
{
  StoreWatchHooks hooks;
  hooks.mOnChange = [this](const StoredObject& aObject) {
    mHooks.mOnChange(aObject);
  };
  hooks.mOnEnd = [this](const absl::Status& aStatus, std::uint64_t) {
    HandleWatchEnd(aStatus);
  };
  hooks.mOnResumed = [this] { HandleResumption(); };
  mIsWatching = true;
  mWatch = mStore.Watch(mPrefix, aRevision, std::move(hooks));
}

void
ObjectWatcher::HandleWatchEnd(const absl::Status& aStatus)
{
  mIsWatching = false;
  if (!absl::IsOutOfRange(aStatus)) {
    HandleFailure(aStatus);
  }
  ScheduleListing();
}

void
ObjectWatcher::HandleFailure(const absl::Status& aStatus)
{
  if (!std::exchange(mHasFailed, true)) {
    mHooks.mOnStoreUnavailable(aStatus);
  }
}

void
ObjectWatcher::HandleRecovery()
{
  mRetryDelay = kFirstRetryDelay;
  if (std::exchange(mHasFailed, false)) {
    mHooks.mOnStoreRecovered();
  }
}

void
ObjectWatcher::HandleResumption()
{
  mIsWatching = true;
  mRetryTimer = EventHandle();
  HandleRecovery();
}

void
ObjectWatcher::ScheduleListing()
{
  const bool isFollower =
    mRetryDelay > kFirstRetryDelay && mHooks.mHasReader && mHooks.mHasReader();
  const Duration longest = isFollower ? kFollowerRetryDelay : mRetryDelay;
  mRetryDelay = std::min(mRetryDelay * 2, kMaxRetryDelay);
  mRetryTimer = mLoop.After(
    FromSeconds(ToSeconds(longest) * (0.5 + mRandom.UniformReal() / 2)),
    [this] { List(); });
}

} // namespace bulrushfold
