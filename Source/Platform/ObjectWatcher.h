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

/** Callbacks of an ObjectWatcher. */
struct ObjectWatcherHooks
{
  /** All objects under the prefix; an object that is not listed was deleted. */
  std::function<void(const StoreListing&)> mOnListing;
  /** One object was written or deleted. */
  std::function<void(const StoredObject&)> mOnChange;
  /** A call to the store failed; the objects passed on so far may be outdated.
   */
  std::function<void(const absl::Status&)> mOnStoreUnavailable;
  /** The store answers again, or the watch goes on; called before mOnListing or
   * mOnChange. */
  std::function<void()> mOnStoreRecovered;
  /** True while another daemon reads the store for this one and may resume the
   * watch, so that reading the store is not urgent; optional. */
  std::function<bool()> mHasReader;
};

/**
 * Reports the objects under a prefix and their changes: lists the objects, then
 * watches from the revision of the listing. After any interruption the objects
 * are listed again instead of being watched again: a listing is answered at
 * once, whereas a watch without changes detects a dead connection only by its
 * timeout.
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
  void HandleFailure(const absl::Status& aStatus);
  void HandleRecovery();
  void HandleResumption();
  /** Lists after between half and all of the retry delay, and doubles it. */
  void ScheduleListing();

  EventLoop& mLoop;
  ObjectStore& mStore;
  Random& mRandom;
  std::string mPrefix;
  ObjectWatcherHooks mHooks;
  /** The last watch, also after its end. */
  std::unique_ptr<StoreWatch> mWatch;
  /** The watch goes on; the answer to an earlier listing is not awaited. */
  bool mIsWatching = false;
  EventHandle mRetryTimer;
  Duration mRetryDelay;
  bool mHasFailed = false;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

} // namespace bulrushfold

#endif
