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
    HandleFailure(aListing.status());
    ScheduleListing();
    return;
  }
  mRetryDelay = kFirstRetryDelay;
  if (std::exchange(mHasFailed, false)) {
    mHooks.mOnStoreRecovered();
  }
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
  mWatch = mStore.Watch(mPrefix, aRevision, std::move(hooks));
}

void
ObjectWatcher::HandleWatchEnd(const absl::Status& aStatus)
{
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
ObjectWatcher::ScheduleListing()
{
  const Duration delay =
    FromSeconds(ToSeconds(mRetryDelay) * (0.5 + mRandom.UniformReal() / 2));
  mRetryDelay = std::min(mRetryDelay * 2, kMaxRetryDelay);
  mRetryTimer = mLoop.After(delay, [this] {
    mWatch.reset();
    List();
  });
}

} // namespace bulrushfold
