#ifndef BULRUSHFOLD_EMULATOR_STORECONTENT_H
#define BULRUSHFOLD_EMULATOR_STORECONTENT_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Platform/ObjectStore.h"

namespace bulrushfold {

/** One write or deletion. The version of an object is its last revision. */
struct StoreChange
{
  std::uint64_t mRevision = 0;
  std::string mKey;
  std::string mBody;
  bool mIsDeleted = false;
};

/** Result of a conditional write. */
struct StorePutResult
{
  bool mIsApplied = false;
  bool mIsCreated = false;
  /** Version of the object after the call; 0 when it does not exist. */
  std::uint64_t mVersion = 0;
};

/** Objects with versions and a limited history of changes. */
class StoreContent
{
public:
  /** aMaxHistory is the number of past changes from which a watch can start. */
  explicit StoreContent(std::size_t aMaxHistory);

  /** The object at aKey; null if there is none. */
  const StoredObject* Find(const std::string& aKey) const;
  /** Objects whose key starts with aPrefix, in key order. */
  std::vector<const StoredObject*> List(const std::string& aPrefix) const;
  /** Writes if the version is aExpected; 0: if the object does not exist. */
  StorePutResult Put(const std::string& aKey,
                     const std::string& aBody,
                     std::uint64_t aExpected);
  /** Deletes the object at aKey; false if there is none. */
  bool Delete(const std::string& aKey);

  /** Number of the last change; 0 before the first. */
  std::uint64_t Revision() const { return mRevision; }
  /**
   * Changes after aRevision under aPrefix; empty when aRevision is older than
   * the history or newer than the last revision.
   */
  std::optional<std::vector<StoreChange>> ChangesAfter(
    std::uint64_t aRevision,
    const std::string& aPrefix) const;
  /** The last change; there must be one. */
  const StoreChange& LastChange() const { return mHistory.back(); }

private:
  void Record(StoreChange aChange);

  std::size_t mMaxHistory;
  std::uint64_t mRevision = 0;
  std::map<std::string, StoredObject> mObjects;
  std::deque<StoreChange> mHistory;
};

} // namespace bulrushfold

#endif
