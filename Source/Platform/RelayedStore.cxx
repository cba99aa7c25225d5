#include "Platform/RelayedStore.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

/** A watch that changes between the store and a feed. */
class RelayedStore::RelayedWatch : public StoreWatch
{
public:
  RelayedWatch(RelayedStore& aOwner,
               std::string aPrefix,
               std::uint64_t aRevision,
               StoreWatchHooks aHooks)
    : mOwner(aOwner)
    , mHooks(std::move(aHooks))
  {
    mPosition.mPrefix = std::move(aPrefix);
    mPosition.mRevision = aRevision;
    mOwner.mWatches[mPosition.mPrefix] = this;
    WatchStore();
  }
  ~RelayedWatch() override
  {
    *mIsAlive = false;
    if (const auto it = mOwner.mWatches.find(mPosition.mPrefix);
        it != mOwner.mWatches.end() && it->second == this) {
      mOwner.mWatches.erase(it);
    }
  }

  const FeedPosition& Position() const { return mPosition; }
  bool IsFed() const { return mPosition.mFeed != 0 || mIsWaiting; }

  void OnFeed(const FeedUpdate& aUpdate)
  {
    if (!aUpdate.mIsCurrent) {
      if (mPosition.mFeed != 0) {
        End(absl::UnavailableError("the daemon with the feed lost the store"));
      }
      return;
    }
    if (mHasEnded && !mHooks.mOnResumed) {
      return;
    }
    mStoreWatch.reset();
    mIsWaiting = false;
    mPosition.mFeed = aUpdate.mFeed;
    mPosition.mSequence = aUpdate.mSequence;
    mPosition.mRevision = std::max(mPosition.mRevision, aUpdate.mVersion);
    const auto alive = mIsAlive;
    if (std::exchange(mHasEnded, false)) {
      mHooks.mOnResumed();
    }
    if (aUpdate.mKeys) {
      RemoveOthers(*aUpdate.mKeys);
    }
    for (const auto& it : aUpdate.mChanges) {
      if (!*alive) {
        return;
      }
      if (it.mIsLarge) {
        Read(it.mObject.mKey);
      } else {
        HandleChange(it.mObject);
      }
    }
  }
  void OnFeedChanging()
  {
    mIsWaiting = IsFed();
    mPosition.mFeed = 0;
    mPosition.mSequence = 0;
  }
  /** True if the watch continues at the store, since it has waited. */
  bool StopWaiting()
  {
    const bool wasWaiting = std::exchange(mIsWaiting, false);
    if (wasWaiting) {
      WatchStore();
    }
    return wasWaiting;
  }

private:
  void WatchStore()
  {
    StoreWatchHooks hooks;
    hooks.mOnChange = [this](const StoredObject& aObject) {
      HandleChange(aObject);
    };
    hooks.mOnEnd = [this](absl::Status aStatus, std::uint64_t) {
      End(std::move(aStatus));
    };
    mStoreWatch = mOwner.mStore.Watch(
      mPosition.mPrefix, mPosition.mRevision, std::move(hooks));
  }
  /** Reports all objects as deleted whose keys are not in aKeys. */
  void RemoveOthers(const std::set<std::string>& aKeys)
  {
    const auto alive = mIsAlive;
    for (const auto& it : std::set(mOwner.mKeys[mPosition.mPrefix])) {
      if (*alive && aKeys.count(it) == 0) {
        HandleChange({ it, mPosition.mRevision, "", true });
      }
    }
  }
  void HandleChange(const StoredObject& aObject)
  {
    mReads.erase(aObject.mKey);
    auto& keys = mOwner.mKeys[mPosition.mPrefix];
    if (aObject.mIsDeleted) {
      keys.erase(aObject.mKey);
    } else {
      keys.insert(aObject.mKey);
    }
    mPosition.mRevision = std::max(mPosition.mRevision, aObject.mVersion);
    mHooks.mOnChange(aObject);
  }
  void Read(const std::string& aKey)
  {
    const std::uint64_t read = ++mLastRead;
    mReads[aKey] = read;
    mOwner.mStore.Get(aKey,
                      [this, alive = mIsAlive, aKey, read](
                        const absl::StatusOr<StoredObject>& aObject) {
                        // A later change or read of the object makes this
                        // answer out of date.
                        if (!*alive || mReads.count(aKey) == 0 ||
                            mReads[aKey] != read) {
                          return;
                        }
                        mReads.erase(aKey);
                        if (aObject.ok()) {
                          HandleChange(*aObject);
                        } else if (!absl::IsNotFound(aObject.status())) {
                          End(aObject.status());
                        }
                      });
  }
  void End(absl::Status aStatus)
  {
    mPosition.mFeed = 0;
    mIsWaiting = false;
    if (!std::exchange(mHasEnded, true)) {
      mHooks.mOnEnd(std::move(aStatus), mPosition.mRevision);
    }
  }

  RelayedStore& mOwner;
  StoreWatchHooks mHooks;
  FeedPosition mPosition;
  /** The feed has ended and the next one has not sent anything yet. */
  bool mIsWaiting = false;
  /** The end was reported. A feed resumes the watch. */
  bool mHasEnded = false;
  std::unique_ptr<StoreWatch> mStoreWatch;
  /** Number of the latest read of each object that is being read. */
  std::map<std::string, std::uint64_t> mReads;
  std::uint64_t mLastRead = 0;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

void
RelayedStore::List(const std::string& aPrefix, ListHook aHook)
{
  mStore.List(aPrefix,
              [this, aPrefix, hook = std::move(aHook)](
                const absl::StatusOr<StoreListing>& aListing) {
                if (aListing.ok()) {
                  auto& keys = mKeys[aPrefix];
                  keys.clear();
                  for (const auto& it : aListing->mObjects) {
                    keys.insert(it.mKey);
                  }
                }
                hook(aListing);
              });
}

std::unique_ptr<StoreWatch>
RelayedStore::Watch(const std::string& aPrefix,
                    std::uint64_t aRevision,
                    StoreWatchHooks aHooks)
{
  return std::make_unique<RelayedWatch>(
    *this, aPrefix, aRevision, std::move(aHooks));
}

std::vector<FeedPosition>
RelayedStore::Positions() const
{
  std::vector<FeedPosition> positions;
  for (const auto& [prefix, watch] : mWatches) {
    positions.push_back(watch->Position());
  }
  return positions;
}

void
RelayedStore::OnFeed(const FeedUpdate& aUpdate)
{
  if (const auto it = mWatches.find(aUpdate.mPrefix); it != mWatches.end()) {
    it->second->OnFeed(aUpdate);
  }
}

void
RelayedStore::OnFeedChanging()
{
  for (const auto& [prefix, watch] : mWatches) {
    watch->OnFeedChanging();
  }
}

std::vector<std::string>
RelayedStore::StopWaiting()
{
  std::vector<std::string> prefixes;
  for (const auto& [prefix, watch] : std::map(mWatches)) {
    if (watch->StopWaiting()) {
      prefixes.push_back(prefix);
    }
  }
  return prefixes;
}

std::vector<std::string>
RelayedStore::OnFeedLost()
{
  OnFeedChanging();
  return StopWaiting();
}

bool
RelayedStore::IsFed() const
{
  return std::any_of(mWatches.begin(), mWatches.end(), [](const auto& aIt) {
    return aIt.second->IsFed();
  });
}

} // namespace bulrushfold
