#include "Platform/ObjectWatcher.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
/** Retries start fast, because most interruptions are those of one
 * connection, and slow down so that a store that returns is not flooded. */
constexpr Duration kFirstDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxDelay = std::chrono::milliseconds(1200);
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
  , mDelay(kFirstDelay)
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
    NoteLost(aListing.status());
    ListLater();
    return;
  }
  mDelay = kFirstDelay;
  if (std::exchange(mIsLost, false)) {
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
    NoteLost(aStatus);
  }
  ListLater();
}

void
ObjectWatcher::NoteLost(const absl::Status& aStatus)
{
  if (!std::exchange(mIsLost, true)) {
    mHooks.mOnStoreUnavailable(aStatus);
  }
}

void
ObjectWatcher::ListLater()
{
  const Duration wait =
    FromSeconds(ToSeconds(mDelay) * (0.5 + mRandom.UniformReal() / 2));
  mDelay = std::min(mDelay * 2, kMaxDelay);
  mTimer = mLoop.After(wait, [this] {
    mWatch.reset();
    List();
  });
}

} // namespace bulrushfold
