#ifndef BULRUSHFOLD_PLATFORM_STOREFEED_H
#define BULRUSHFOLD_PLATFORM_STOREFEED_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Platform/ObjectStore.h"

namespace bulrushfold {

/** What a daemon knows of the objects under a prefix. */
struct FeedPosition
{
  std::string mPrefix;
  /** Revision of the store that the daemon has seen. */
  std::uint64_t mRevision = 0;
  /** The feed that sent the last update and its sequence number; 0: none. */
  std::int64_t mFeed = 0;
  std::uint64_t mSequence = 0;
};

struct FeedChange
{
  StoredObject mObject;
  /** The body is left out; it has to be read from the store. */
  bool mIsLarge = false;
};

/** Changes after a FeedPosition. */
struct FeedUpdate
{
  std::string mPrefix;
  /** False while the sender does not reach the store. */
  bool mIsCurrent = false;
  std::int64_t mFeed = 0;
  std::uint64_t mSequence = 0;
  std::vector<FeedChange> mChanges;
  /** The keys of all objects; set when the sender does not know what was
   * deleted after the revision of the position. */
  std::optional<std::set<std::string>> mKeys;
  /** Newest version that the sender has seen. */
  std::uint64_t mVersion = 0;
};

/**
 * The objects of the store that a daemon passes on to others, so that not each
 * of them has to watch the store. It holds the latest state of each object,
 * also of deleted ones.
 */
class StoreFeed
{
public:
  /** aId: not 0, and different for each process. */
  explicit StoreFeed(std::int64_t aId)
    : mId(aId)
  {
  }

  // What this daemon learns of the store.
  void OnListing(const std::string& aPrefix, const StoreListing& aListing);
  void OnChange(const std::string& aPrefix, const StoredObject& aObject);
  void OnLost(const std::string& aPrefix);
  /** This daemon watches the store from the state that it knows. */
  void OnWatched(const std::string& aPrefix);

  /** True while this daemon knows the newest state of all prefixes. */
  bool IsCurrent() const;
  /** True when Since(aPosition) tells anything new. */
  bool HasNews(const FeedPosition& aPosition) const;
  FeedUpdate Since(const FeedPosition& aPosition) const;

private:
  struct Entry
  {
    StoredObject mObject;
    std::uint64_t mSequence = 0;
  };
  struct Prefix
  {
    bool mIsCurrent = false;
    /** Revision of the first listing; what was deleted before is not known. */
    std::uint64_t mFirstRevision = 0;
    std::uint64_t mSequence = 0;
    std::uint64_t mNewestVersion = 0;
    std::map<std::string, Entry> mEntries;
  };
  static void Put(Prefix& aPrefix, const StoredObject& aObject);
  static std::set<std::string> LiveKeys(const Prefix& aPrefix);

  std::int64_t mId;
  std::map<std::string, Prefix> mPrefixes;
};

} // namespace bulrushfold

#endif
