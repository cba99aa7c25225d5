#ifndef BULRUSHFOLD_SOAK_INMEMORYSTORE_H
#define BULRUSHFOLD_SOAK_INMEMORYSTORE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Platform/ObjectStore.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** In-memory fake of the object store; every call takes effect immediately. */
class InMemoryStore
{
public:
  absl::StatusOr<StoredObject> Get(const std::string& aKey) const;
  /** As ObjectStore::Put. */
  absl::StatusOr<std::uint64_t> Put(const std::string& aKey,
                                    const std::string& aBody,
                                    std::optional<std::uint64_t> aExpected);
  absl::Status Delete(const std::string& aKey);

  std::size_t ObjectCount() const { return mObjects.size(); }
  const std::map<std::string, StoredObject>& All() const { return mObjects; }
  std::uint64_t WriteCount() const { return mWriteCount; }

private:
  std::map<std::string, StoredObject> mObjects;
  /** Highest version assigned so far. A key that is created again gets a higher
   * version than before. */
  std::uint64_t mHighestVersion = 0;
  std::uint64_t mWriteCount = 0;
};

} // namespace bulrushfold

#endif
