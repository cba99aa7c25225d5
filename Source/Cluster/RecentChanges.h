#ifndef BULRUSHFOLD_CLUSTER_RECENTCHANGES_H
#define BULRUSHFOLD_CLUSTER_RECENTCHANGES_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bulrushfold {

/** Number of changes that an object lists in "recent_changes". A lost reply
 * of the store can be resolved if fewer later changes were made before the
 * object is read back. */
constexpr std::size_t kMaxRecentChanges = 8;
/** Maximum number of bytes that "recent_changes" adds to an object. */
constexpr std::size_t kRecentChangesBytes = 500;

/** A change that an object lists in "recent_changes". */
struct RecentChange
{
  std::string mDigest;
  /** Version that the change replaced; 0 when the object did not exist. */
  std::uint64_t mBase = 0;
};

/** Returns the digest of change aId as listed in "recent_changes". */
std::string ChangeDigest(const std::string& aId);

/** Returns the changes that aBody lists in "recent_changes", the latest
 * first. */
std::vector<RecentChange> RecentChanges(const std::string& aBody);

/** Returns aBody with "recent_changes" set to aChange followed by aRecent. */
std::string AddChange(const std::string& aBody,
                      const RecentChange& aChange,
                      std::vector<RecentChange> aRecent);

} // namespace bulrushfold

#endif
