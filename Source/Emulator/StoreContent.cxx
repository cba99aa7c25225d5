#include "Emulator/StoreContent.h"

#include <utility>

#include "absl/strings/match.h"

namespace bulrushfold {

StoreContent::StoreContent(std::size_t aMaxHistory)
  : mMaxHistory(aMaxHistory)
{
}

const StoredObject*
StoreContent::Find(const std::string& aKey) const
{
  const auto it = mObjects.find(aKey);
  return it == mObjects.end() ? nullptr : &it->second;
}

std::vector<const StoredObject*>
StoreContent::List(const std::string& aPrefix) const
{
  std::vector<const StoredObject*> objects;
  for (auto it = mObjects.lower_bound(aPrefix);
       it != mObjects.end() && absl::StartsWith(it->first, aPrefix);
       ++it) {
    objects.push_back(&it->second);
  }
  return objects;
}

StorePutResult
StoreContent::Put(const std::string& aKey,
                  const std::string& aBody,
                  std::uint64_t aExpected)
{
  const StoredObject* object = Find(aKey);
  const std::uint64_t current = object == nullptr ? 0 : object->mVersion;
  if (current != aExpected) {
    return { false, false, current };
  }
  Record({ 0, aKey, aBody, false });
  mObjects[aKey] = { aKey, mRevision, aBody };
  return { true, current == 0, mRevision };
}

bool
StoreContent::Delete(const std::string& aKey)
{
  if (mObjects.erase(aKey) == 0) {
    return false;
  }
  Record({ 0, aKey, "", true });
  return true;
}

void
StoreContent::Record(StoreChange aChange)
{
  aChange.mRevision = ++mRevision;
  mHistory.push_back(std::move(aChange));
  if (mHistory.size() > mMaxHistory) {
    mHistory.pop_front();
  }
}

std::optional<std::vector<StoreChange>>
StoreContent::ChangesAfter(std::uint64_t aRevision,
                           const std::string& aPrefix) const
{
  if (aRevision > mRevision || mRevision - aRevision > mHistory.size()) {
    return std::nullopt;
  }
  std::vector<StoreChange> changes;
  for (const auto& it : mHistory) {
    if (it.mRevision > aRevision && absl::StartsWith(it.mKey, aPrefix)) {
      changes.push_back(it);
    }
  }
  return changes;
}

} // namespace bulrushfold
