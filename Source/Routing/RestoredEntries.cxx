#include "Routing/RestoredEntries.h"

#include <algorithm>
#include <utility>

#include "Platform/StoreRevision.h"

namespace bulrushfold {

namespace {
/** Age of the oldest copy from which the registry may come back, with a margin:
 * the platform names copies that are some seconds old. */
constexpr Duration kMaxCopyAge = std::chrono::minutes(1);
} // namespace

bool
RestoredEntries::IsOlder(const Entry& aKnown,
                         const EndpointRecord& aRecord,
                         std::uint64_t aVersion)
{
  const StoreRevision known = ToRevision(aKnown.mVersion);
  const StoreRevision revision = ToRevision(aVersion);
  return known.mEra < revision.mEra && revision.mNumber < known.mNumber &&
         !aRecord.mIsDraining && aRecord.mIncarnation <= aKnown.mIncarnation;
}

bool
RestoredEntries::OnEntry(const EndpointRecord& aRecord,
                         std::uint64_t aVersion,
                         Instant aNow)
{
  const auto [it, isNew] = mEntries.try_emplace(aRecord.mId);
  Entry& entry = it->second;
  const auto& held = entry.mHeld;
  if (held && held->mVersion == aVersion) {
    return false;
  }
  const bool isRewritten = held && EraOf(held->mVersion) == EraOf(aVersion) &&
                           held->mVersion < aVersion;
  if (!isNew && !isRewritten && IsOlder(entry, aRecord, aVersion)) {
    entry.mHeld = HeldEntry{ aRecord, aVersion };
    entry.mDueAt = aNow + mRewriteTime;
    return false;
  }
  entry.mVersion = std::max(entry.mVersion, aVersion);
  entry.mIncarnation = aRecord.mIncarnation;
  entry.mRemovedAt.reset();
  entry.mHeld.reset();
  return true;
}

void
RestoredEntries::OnRemoved(const std::string& aId,
                           std::uint64_t aVersion,
                           Instant aNow)
{
  ForgetRemoved(aNow);
  const auto it = mEntries.find(aId);
  if (it == mEntries.end()) {
    return;
  }
  it->second.mVersion = std::max(it->second.mVersion, aVersion);
  it->second.mHeld.reset();
  if (!it->second.mRemovedAt) {
    it->second.mRemovedAt = aNow;
  }
}

void
RestoredEntries::OnListed(const std::set<std::string>& aIds,
                          std::uint64_t aVersion,
                          Instant aNow)
{
  std::vector<std::string> removed;
  for (const auto& [id, entry] : mEntries) {
    if (!entry.mRemovedAt && aIds.count(id) == 0) {
      removed.push_back(id);
    }
  }
  for (const auto& it : removed) {
    OnRemoved(it, aVersion, aNow);
  }
}

std::vector<RestoredEntries::HeldEntry>
RestoredEntries::TakeDue(Instant aNow)
{
  std::vector<HeldEntry> due;
  for (auto& [id, entry] : mEntries) {
    if (entry.mHeld && entry.mDueAt <= aNow) {
      entry.mVersion = entry.mHeld->mVersion;
      entry.mIncarnation = entry.mHeld->mRecord.mIncarnation;
      entry.mRemovedAt.reset();
      due.push_back(*std::exchange(entry.mHeld, std::nullopt));
    }
  }
  return due;
}

std::optional<Instant>
RestoredEntries::NextDue() const
{
  std::optional<Instant> next;
  for (const auto& [id, entry] : mEntries) {
    if (entry.mHeld && (!next || entry.mDueAt < *next)) {
      next = entry.mDueAt;
    }
  }
  return next;
}

void
RestoredEntries::ForgetRemoved(Instant aNow)
{
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    const auto& removedAt = it->second.mRemovedAt;
    const bool isOld =
      removedAt && !it->second.mHeld && aNow - *removedAt > kMaxCopyAge;
    it = isOld ? mEntries.erase(it) : std::next(it);
  }
}

} // namespace bulrushfold
