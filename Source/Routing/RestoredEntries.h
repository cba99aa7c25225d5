#ifndef BULRUSHFOLD_ROUTING_RESTOREDENTRIES_H
#define BULRUSHFOLD_ROUTING_RESTOREDENTRIES_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Routing/EndpointDirectory.h"

namespace bulrushfold {

/**
 * Decides which registry entries take effect after the registry has come back
 * from a copy. The copy may be older than what is known: it lists endpoints
 * that had left, and shows draining ones as ready. Such an entry is held back
 * until its endpoint has had time to write it again.
 *
 * An entry is older than what is known if the number of its revision is lower
 * than that of the last change which was seen in an earlier era: what was
 * written after the return has a higher number than the whole copy. If that
 * change was lost, a new entry may have a lower number too; then it takes
 * effect at its next change, or late. An entry that drains, or names a later
 * process, always takes effect at once.
 */
class RestoredEntries
{
public:
  struct HeldEntry
  {
    EndpointRecord mRecord;
    std::uint64_t mVersion = 0;
  };

  /** aRewriteTime: time in which an endpoint writes its entry again, or its
   * entry is removed. */
  explicit RestoredEntries(Duration aRewriteTime)
    : mRewriteTime(aRewriteTime)
  {
  }

  /** aRecord was read at aVersion. Returns true if it takes effect now. */
  bool OnEntry(const EndpointRecord& aRecord,
               std::uint64_t aVersion,
               Instant aNow);
  /** The entry aId was removed at aVersion. */
  void OnRemoved(const std::string& aId, std::uint64_t aVersion, Instant aNow);
  /** A listing at aVersion has the entries aIds alone. */
  void OnListed(const std::set<std::string>& aIds,
                std::uint64_t aVersion,
                Instant aNow);
  /** Entries that take effect because they were not written again in time. */
  std::vector<HeldEntry> TakeDue(Instant aNow);
  /** Time at which TakeDue must be called; empty when no entry is held back. */
  std::optional<Instant> NextDue() const;
  /** Number of entries that are known, also of removed ones. */
  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    /** Version of the last change that took effect, also of the removal. */
    std::uint64_t mVersion = 0;
    std::int64_t mIncarnation = 0;
    std::optional<Instant> mRemovedAt;
    std::optional<HeldEntry> mHeld;
    Instant mDueAt;
  };
  static bool IsOlder(const Entry& aKnown,
                      const EndpointRecord& aRecord,
                      std::uint64_t aVersion);
  void ForgetRemoved(Instant aNow);

  Duration mRewriteTime;
  std::map<std::string, Entry> mEntries;
};

} // namespace bulrushfold

#endif
