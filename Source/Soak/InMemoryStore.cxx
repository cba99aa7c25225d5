#include "Soak/InMemoryStore.h"

#include <algorithm>

namespace bulrushfold {

absl::StatusOr<StoredObject>
InMemoryStore::Get(const std::string& aKey) const
{
  const auto it = mObjects.find(aKey);
  if (it == mObjects.end()) {
    return absl::NotFoundError(aKey);
  }
  return it->second;
}

absl::StatusOr<std::uint64_t>
InMemoryStore::Put(const std::string& aKey,
                   const std::string& aBody,
                   std::optional<std::uint64_t> aExpected)
{
  if (aBody.size() > kMaxObjectBytes) {
    return absl::UnknownError("413");
  }
  const auto it = mObjects.find(aKey);
  const bool matches =
    it == mObjects.end() ? !aExpected : aExpected == it->second.mVersion;
  if (!matches) {
    return absl::FailedPreconditionError(aKey);
  }
  ++mWrites;
  const std::uint64_t version =
    it == mObjects.end() ? mHighest + 1 : it->second.mVersion + 1;
  mHighest = std::max(mHighest, version);
  mObjects[aKey] = StoredObject{ aKey, version, aBody };
  return version;
}

absl::Status
InMemoryStore::Delete(const std::string& aKey)
{
  return mObjects.erase(aKey) == 0 ? absl::NotFoundError(aKey)
                                   : absl::OkStatus();
}

} // namespace bulrushfold
