#ifndef BULRUSHFOLD_CLUSTER_RECENTCHANGES_H
#define BULRUSHFOLD_CLUSTER_RECENTCHANGES_H

#include <cstddef>
#include <string>
#include <vector>

namespace bulrushfold {

/** Changes that an object names. A lost store answer is decided if at most this
 * many later changes were made before the object is read back. */
constexpr std::size_t kMaxRecentChanges = 8;
/** Bytes that the names add to an object at most. */
constexpr std::size_t kRecentChangesBytes = 200;

/** Digest of the change aId, as named in an object. */
std::string ChangeDigest(const std::string& aId);

/** Digests of the latest changes that aBody names, the latest first. */
std::vector<std::string> RecentChanges(const std::string& aBody);

/** aBody with the change aId in front of aRecent in "recent_changes". */
std::string AddChange(const std::string& aBody,
                      const std::string& aId,
                      std::vector<std::string> aRecent);

} // namespace bulrushfold

#endif
