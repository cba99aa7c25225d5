#include "Platform/StoreFeed.h"

#include <algorithm>

namespace bulrushfold {

namespace {
/** Objects up to this size are passed on. Larger ones would fill the link of
 * the daemon that passes them on to all others. */
constexpr std::size_t kMaxBodyBytes = 16 * 1024;
} // namespace

void
StoreFeed::Put(Prefix& aPrefix, const StoredObject& aObject)
{
  aPrefix.mNewestVersion = std::max(aPrefix.mNewestVersion, aObject.mVersion);
  aPrefix.mEntries[aObject.mKey] = { aObject, ++aPrefix.mSequence };
}

void
StoreFeed::OnListing(const std::string& aPrefix, const StoreListing& aListing)
{
  Prefix& prefix = mPrefixes[aPrefix];
  prefix.mIsCurrent = true;
  prefix.mNewestVersion = std::max(prefix.mNewestVersion, aListing.mRevision);
  if (prefix.mFirstRevision == 0) {
    prefix.mFirstRevision = aListing.mRevision;
  }
  std::set<std::string> listed;
  for (const auto& it : aListing.mObjects) {
    listed.insert(it.mKey);
    const auto known = prefix.mEntries.find(it.mKey);
    if (known == prefix.mEntries.end() || known->second.mObject.mIsDeleted ||
        known->second.mObject.mVersion != it.mVersion) {
      Put(prefix, it);
    }
  }
  std::vector<std::string> deleted;
  for (const auto& [key, entry] : prefix.mEntries) {
    if (!entry.mObject.mIsDeleted && listed.count(key) == 0) {
      deleted.push_back(key);
    }
  }
  for (const auto& it : deleted) {
    Put(prefix, { it, aListing.mRevision, "", true });
  }
}

void
StoreFeed::OnChange(const std::string& aPrefix, const StoredObject& aObject)
{
  Put(mPrefixes[aPrefix], aObject);
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

std::set<std::string>
StoreFeed::LiveKeys(const Prefix& aPrefix)
{
  std::set<std::string> keys;
  for (const auto& [key, entry] : aPrefix.mEntries) {
    if (!entry.mObject.mIsDeleted) {
      keys.insert(key);
    }
  }
  return keys;
}

FeedUpdate
StoreFeed::Since(const FeedPosition& aPosition) const
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
  update.mVersion = it->second.mNewestVersion;
  const bool hasPosition = aPosition.mFeed == mId;
  if (!hasPosition && aPosition.mRevision < it->second.mFirstRevision) {
    update.mKeys = LiveKeys(it->second);
  }
  for (const auto& [key, entry] : it->second.mEntries) {
    const StoredObject& object = entry.mObject;
    const bool isNew = hasPosition ? entry.mSequence > aPosition.mSequence
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
