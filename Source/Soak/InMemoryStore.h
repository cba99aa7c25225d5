#ifndef BULRUSHFOLD_SOAK_INMEMORYSTORE_H
#define BULRUSHFOLD_SOAK_INMEMORYSTORE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Platform/ObjectStore.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** The object API's data without its transport; every call acts at once. */
class InMemoryStore
{
public:
  absl::StatusOr<StoredObject> Get(const std::string& aKey) const;
  /** As ObjectStore::Put. */
  absl::StatusOr<std::uint64_t> Put(const std::string& aKey,
                                    const std::string& aBody,
                                    std::optional<std::uint64_t> aExpected);
  absl::Status Delete(const std::string& aKey);

  std::size_t Objects() const { return mObjects.size(); }
  const std::map<std::string, StoredObject>& All() const { return mObjects; }
  std::uint64_t Writes() const { return mWrites; }

private:
  std::map<std::string, StoredObject> mObjects;
  /** Highest version ever given, so that a key that is created again gets a
   * higher version than before. */
  std::uint64_t mHighest = 0;
  std::uint64_t mWrites = 0;
};

} // namespace bulrushfold

#endif
