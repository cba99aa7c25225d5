#ifndef BULRUSHFOLD_TESTS_CLUSTER_FAKESTORE_H
#define BULRUSHFOLD_TESTS_CLUSTER_FAKESTORE_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Platform/ObjectStore.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** In-memory object store that can simulate outages and lost replies. */
class FakeStore
{
public:
  bool mIsUp = true;
  /** When true, writes take effect, but their replies are lost. */
  bool mLosesReplies = false;
  /** Watches from revisions before this one end with OutOfRange. */
  std::uint64_t mOldestRevision = 0;
  std::uint64_t mReads = 0;

  absl::StatusOr<std::uint64_t> Put(const std::string& aKey,
                                    const std::string& aBody,
                                    std::optional<std::uint64_t> aExpected)
  {
    if (!mIsUp) {
      return absl::UnavailableError("outage");
    }
    const auto it = mObjects.find(aKey);
    const bool isMatch =
      aExpected ? it != mObjects.end() && it->second.mVersion == *aExpected
                : it == mObjects.end();
    if (isMatch) {
      ++mRevision.mNumber;
      mObjects[aKey] = { aKey, ToVersion(mRevision), aBody };
    }
    if (mLosesReplies) {
      return absl::UnknownError("reply lost");
    }
    if (!isMatch) {
      return absl::FailedPreconditionError("the version differs");
    }
    return ToVersion(mRevision);
  }

  absl::StatusOr<StoredObject> Get(const std::string& aKey)
  {
    ++mReads;
    if (!mIsUp) {
      return absl::UnavailableError("outage");
    }
    const auto it = mObjects.find(aKey);
    if (it == mObjects.end()) {
      return absl::NotFoundError("no such object");
    }
    return it->second;
  }

  absl::StatusOr<StoreListing> List()
  {
    ++mReads;
    if (!mIsUp) {
      return absl::UnavailableError("outage");
    }
    StoreListing listing;
    listing.mRevision = ToVersion(mRevision);
    for (const auto& [key, object] : mObjects) {
      listing.mObjects.push_back(object);
    }
    return listing;
  }

  /** Returns the objects written after aRevision. */
  absl::StatusOr<std::vector<StoredObject>> Changes(std::uint64_t aRevision)
  {
    if (!mIsUp) {
      return absl::UnavailableError("outage");
    }
    if (aRevision < mOldestRevision) {
      return absl::OutOfRangeError("the revision is gone");
    }
    std::vector<StoredObject> changes;
    for (const auto& [key, object] : mObjects) {
      if (object.mVersion > aRevision) {
        changes.push_back(object);
      }
    }
    return changes;
  }

  const std::map<std::string, StoredObject>& Objects() const
  {
    return mObjects;
  }

  StoreEra Era() const { return mRevision.mEra; }
  /** The store comes back from aCopy, an earlier state of it: later writes are
   * lost, their revisions are assigned again, and the era rises by one. */
  void ReturnFrom(const FakeStore& aCopy)
  {
    mObjects = aCopy.mObjects;
    mRevision = { mRevision.mEra + 1, aCopy.mRevision.mNumber };
    for (auto& [key, object] : mObjects) {
      object.mVersion =
        ToVersion({ mRevision.mEra, ToRevision(object.mVersion).mNumber });
    }
  }

private:
  std::map<std::string, StoredObject> mObjects;
  StoreRevision mRevision;
};

} // namespace bulrushfold

#endif
