#ifndef BULRUSHFOLD_PLATFORM_RELAYEDSTORE_H
#define BULRUSHFOLD_PLATFORM_RELAYEDSTORE_H

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Platform/ObjectStore.h"
#include "Platform/StoreFeed.h"

namespace bulrushfold {

/**
 * A store whose watches get their changes from the feed of another daemon while
 * there is one. All other calls, and the watches while there is no feed, go to
 * the store itself. A watch on one prefix is followed at a time.
 */
class RelayedStore : public ObjectStore
{
public:
  explicit RelayedStore(ObjectStore& aStore)
    : mStore(aStore)
  {
  }

  /** Positions of the watches, to be sent to the daemon with the feed. */
  std::vector<FeedPosition> Positions() const;
  void OnFeed(const FeedUpdate& aUpdate);
  /** Another daemon will send a feed soon. The watches that were fed wait for
   * it, without a call to the store. */
  void OnFeedChanging();
  /** The watches that still wait continue at the store. Returns their prefixes.
   */
  std::vector<std::string> StopWaiting();
  /** There is no feed any more. The watches that were fed, or waited for a
   * feed, continue at the store. Returns their prefixes; a watch that has ended
   * is not among them, as this daemon does not know the present objects. */
  std::vector<std::string> OnFeedLost();
  /** True while some watch gets its changes from a feed, or waits for one. */
  bool IsFed() const;

  void Get(const std::string& aKey, GetHook aHook) override
  {
    mStore.Get(aKey, std::move(aHook));
  }
  void Put(const std::string& aKey,
           const std::string& aBody,
           std::optional<std::uint64_t> aExpected,
           PutHook aHook) override
  {
    mStore.Put(aKey, aBody, aExpected, std::move(aHook));
  }
  void Delete(const std::string& aKey,
              std::optional<std::uint64_t> aExpected,
              PutHook aHook) override
  {
    mStore.Delete(aKey, aExpected, std::move(aHook));
  }
  void List(const std::string& aPrefix, ListHook aHook) override;
  std::unique_ptr<StoreWatch> Watch(const std::string& aPrefix,
                                    std::uint64_t aRevision,
                                    StoreWatchHooks aHooks) override;
  const StoreStatistics& Statistics() const override
  {
    return mStore.Statistics();
  }
  StoreEra Era() const override { return mStore.Era(); }

private:
  class RelayedWatch;

  ObjectStore& mStore;
  std::map<std::string, RelayedWatch*> mWatches;
  /** Keys of the present objects, by prefix. */
  std::map<std::string, std::set<std::string>> mKeys;
};

} // namespace bulrushfold

#endif
