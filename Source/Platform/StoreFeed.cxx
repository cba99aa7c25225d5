#include "Platform/StoreFeed.h"

#include <algorithm>
#include <set>

namespace bulrushfold {

namespace {
/** Objects up to this size are passed on. Larger ones would fill the link of
 * the daemon that passes them on to all others. */
constexpr std::size_t kMaxBodyBytes = 16 * 1024;
/** Time after which a daemon that joins the feed has seen a deletion itself. */
constexpr Duration kDeletionLifetime = std::chrono::seconds(10);
} // namespace

void
StoreFeed::Put(Prefix& aPrefix, const StoredObject& aObject, Instant aNow)
{
  aPrefix.mEntries[aObject.mKey] = { aObject, ++aPrefix.mSequence, aNow };
}

void
StoreFeed::OnListing(const std::string& aPrefix,
                     const StoreListing& aListing,
                     Instant aNow)
{
  Prefix& prefix = mPrefixes[aPrefix];
  prefix.mIsCurrent = true;
  std::set<std::string> listed;
  for (const auto& it : aListing.mObjects) {
    listed.insert(it.mKey);
    const auto known = prefix.mEntries.find(it.mKey);
    if (known == prefix.mEntries.end() || known->second.mObject.mIsDeleted ||
        known->second.mObject.mVersion != it.mVersion) {
      Put(prefix, it, aNow);
    }
  }
  std::vector<std::string> deleted;
  for (const auto& [key, entry] : prefix.mEntries) {
    if (!entry.mObject.mIsDeleted && listed.count(key) == 0) {
      deleted.push_back(key);
    }
  }
  for (const auto& it : deleted) {
    Put(prefix, { it, aListing.mRevision, "", true }, aNow);
  }
}

void
StoreFeed::OnChange(const std::string& aPrefix,
                    const StoredObject& aObject,
                    Instant aNow)
{
  Put(mPrefixes[aPrefix], aObject, aNow);
}

void
StoreFeed::OnLost(const std::string& aPrefix)
{
  mPrefixes[aPrefix].mIsCurrent = false;
}

void
StoreFeed::OnWatched(const std::string& aPrefix)
{
  mPrefixes[aPrefix].mIsCurrent = true;
}

bool
StoreFeed::IsCurrent() const
{
  return std::all_of(mPrefixes.begin(), mPrefixes.end(), [](const auto& aIt) {
    return aIt.second.mIsCurrent;
  });
}

bool
StoreFeed::HasNews(const FeedPosition& aPosition) const
{
  const auto it = mPrefixes.find(aPosition.mPrefix);
  const bool isCurrent = it != mPrefixes.end() && it->second.mIsCurrent;
  if (aPosition.mFeed != mId) {
    return isCurrent;
  }
  return !isCurrent || aPosition.mSequence < it->second.mSequence;
}

FeedUpdate
StoreFeed::Since(const FeedPosition& aPosition, Instant aNow) const
{
  FeedUpdate update;
  update.mPrefix = aPosition.mPrefix;
  const auto it = mPrefixes.find(aPosition.mPrefix);
  if (it == mPrefixes.end() || !it->second.mIsCurrent) {
    return update;
  }
  update.mIsCurrent = true;
  update.mFeed = mId;
  update.mSequence = it->second.mSequence;
  const bool hasPosition = aPosition.mFeed == mId;
  for (const auto& [key, entry] : it->second.mEntries) {
    const StoredObject& object = entry.mObject;
    const bool isNew = hasPosition ? entry.mSequence > aPosition.mSequence
                       : object.mIsDeleted
                         ? aNow - entry.mChangedAt < kDeletionLifetime
                         : object.mVersion > aPosition.mRevision;
    if (!isNew) {
      continue;
    }
    FeedChange change{ object, object.mBody.size() > kMaxBodyBytes };
    if (change.mIsLarge) {
      change.mObject.mBody.clear();
    }
    update.mChanges.push_back(std::move(change));
  }
  return update;
}

} // namespace bulrushfold
