#ifndef BULRUSHFOLD_CLUSTER_RECENTCHANGES_H
#define BULRUSHFOLD_CLUSTER_RECENTCHANGES_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bulrushfold {

/** Changes that an object names. A lost store answer is decided if at most this
 * many later changes were made before the object is read back. */
constexpr std::size_t kMaxRecentChanges = 8;
/** Bytes that the names add to an object at most. */
constexpr std::size_t kRecentChangesBytes = 500;

/** A change that an object names. */
struct RecentChange
{
  std::string mDigest;
  /** Version over which it was written; 0: the object did not exist. */
  std::uint64_t mBase = 0;
};

/** Digest of the change aId, as named in an object. */
std::string ChangeDigest(const std::string& aId);

/** The latest changes that aBody names, the latest first. */
std::vector<RecentChange> RecentChanges(const std::string& aBody);

/** aBody with aChange in front of aRecent in "recent_changes". */
std::string AddChange(const std::string& aBody,
                      const RecentChange& aChange,
                      std::vector<RecentChange> aRecent);

} // namespace bulrushfold

#endif
