#ifndef BULRUSHFOLD_PLATFORM_OBJECTWATCHER_H
#define BULRUSHFOLD_PLATFORM_OBJECTWATCHER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Net/EventLoop.h"
#include "Platform/ObjectStore.h"

namespace bulrushfold {

/** What a follower tells. */
struct ObjectWatcherHooks
{
  /** A full listing: objects that it lacks are gone. */
  std::function<void(const StoreListing&)> mOnListing;
  /** One object was written or deleted. */
  std::function<void(const StoredObject&)> mOnChange;
  /** The store does not answer; what is known may grow old. */
  std::function<void(const absl::Status&)> mOnStoreUnavailable;
  /** The store answers again; called before the listing that shows it. */
  std::function<void()> mOnStoreRecovered;
};

/**
 * Follows the objects under a prefix: lists them, then watches from the
 * revision of the listing. After any interruption it lists again, because a
 * listing answers at once, while a watch without news shows a dead path only
 * when it times out.
 */
class ObjectWatcher
{
public:
  ObjectWatcher(EventLoop& aLoop,
                ObjectStore& aStore,
                Random& aRandom,
                std::string aPrefix,
                ObjectWatcherHooks aHooks);

  void Start() { List(); }

private:
  void List();
  void HandleListing(const absl::StatusOr<StoreListing>& aListing);
  void Watch(std::uint64_t aRevision);
  void HandleWatchEnd(const absl::Status& aStatus);
  void NoteLost(const absl::Status& aStatus);
  /** Lists after a random part of the present delay, which doubles. */
  void ListLater();

  EventLoop& mLoop;
  ObjectStore& mStore;
  Random& mRandom;
  std::string mPrefix;
  ObjectWatcherHooks mHooks;
  std::unique_ptr<StoreWatch> mWatch;
  EventHandle mTimer;
  Duration mDelay;
  bool mIsLost = false;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

} // namespace bulrushfold

#endif
