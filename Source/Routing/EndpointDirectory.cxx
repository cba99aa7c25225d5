#include "Routing/EndpointDirectory.h"

#include <algorithm>
#include <set>

#include "Base/EnumNames.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<EndpointRole, 3> kRoleNames{ {
  { EndpointRole::General, "general" },
  { EndpointRole::Prefill, "prefill" },
  { EndpointRole::Decode, "decode" },
} };
constexpr EnumNames<EndpointChange, 11> kChangeNames{ {
  { EndpointChange::Added, "added" },
  { EndpointChange::Restarted, "restarted" },
  { EndpointChange::Draining, "leaving" },
  { EndpointChange::LeavingAnnounced, "leaving_announced" },
  { EndpointChange::BackoffStarted, "backing_off" },
  { EndpointChange::Returned, "returned" },
  { EndpointChange::Missing, "in_doubt" },
  { EndpointChange::Replaced, "replaced" },
  { EndpointChange::ChangingRole, "changing_role" },
  { EndpointChange::RoleChanged, "role_changed" },
  { EndpointChange::Removed, "gone" },
} };
} // namespace

std::string_view
EndpointRoleName(EndpointRole aRole)
{
  return FindEnumName(kRoleNames, aRole);
}

std::string_view
EndpointChangeName(EndpointChange aChange)
{
  return FindEnumName(kChangeNames, aChange);
}

EndpointDirectory::EndpointDirectory(Duration aGracePeriod)
  : mGracePeriod(aGracePeriod)
{
}

void
EndpointDirectory::Replace(const std::vector<EndpointRecord>& aRecords,
                           std::uint64_t aRevision,
                           Instant aNow)
{
  std::set<std::string> missing;
  for (const auto& [id, entry] : mEntries) {
    missing.insert(id);
  }
  for (const auto& it : aRecords) {
    missing.erase(it.mId);
    Put(it, aRevision, aNow);
  }
  for (const auto& it : missing) {
    Remove(it, aRevision, aNow);
  }
  mRevision = aRevision;
}

void
EndpointDirectory::Put(const EndpointRecord& aRecord,
                       std::uint64_t aRevision,
                       Instant aNow)
{
  mRevision = std::max(mRevision, aRevision);
  const auto it = mEntries.find(aRecord.mId);
  if (it != mEntries.end() && it->second.mRecord.mService != aRecord.mService) {
    Drop(aRecord.mId);
    Put(aRecord, aRevision, aNow);
    return;
  }
  if (it == mEntries.end()) {
    mEntries[aRecord.mId].mRecord = aRecord;
    mServices[aRecord.mService].push_back(aRecord.mId);
    ForgetPools(aRecord.mService);
    mOnChange.emit(aRecord, EndpointChange::Added);
    if (aRecord.mIsDraining) {
      mOnChange.emit(aRecord, EndpointChange::Draining);
    }
    return;
  }
  const EndpointRecord before = it->second.mRecord;
  const bool wasMissing = it->second.mDropAt.has_value();
  it->second.mRecord = aRecord;
  it->second.mDropAt.reset();
  if (!(before == aRecord)) {
    it->second.mIsReplaced = false;
    ForgetPools(aRecord.mService);
  }
  if (before.mIncarnation != aRecord.mIncarnation ||
      before.mSoftware != aRecord.mSoftware) {
    it->second.mHasAnnouncedLeaving = false;
    it->second.mBackoffEnd.reset();
    mOnChange.emit(aRecord, EndpointChange::Restarted);
  }
  if (before.mRole != aRecord.mRole) {
    it->second.mRoleOrder.reset();
    mOnChange.emit(aRecord, EndpointChange::RoleChanged);
  }
  if (aRecord.mIsDraining && !before.mIsDraining) {
    mOnChange.emit(aRecord, EndpointChange::Draining);
  } else if (!IsLeaving(it->second) && !it->second.mBackoffEnd &&
             (before.mIsDraining || wasMissing)) {
    mOnChange.emit(aRecord, EndpointChange::Returned);
  }
}

void
EndpointDirectory::Remove(const std::string& aId,
                          std::uint64_t aRevision,
                          Instant aNow)
{
  mRevision = std::max(mRevision, aRevision);
  const auto it = mEntries.find(aId);
  if (it == mEntries.end()) {
    return;
  }
  if (!IsInGracePeriod(aNow)) {
    Drop(aId);
  } else if (!it->second.mDropAt) {
    it->second.mDropAt = mGracePeriodEnd;
    mOnChange.emit(it->second.mRecord, EndpointChange::Missing);
  }
}

void
EndpointDirectory::Drop(const std::string& aId)
{
  const auto it = mEntries.find(aId);
  const EndpointRecord record = it->second.mRecord;
  mEntries.erase(it);
  ForgetPools(record.mService);
  auto& ids = mServices[record.mService];
  ids.erase(std::remove(ids.begin(), ids.end(), aId), ids.end());
  mOnChange.emit(record, EndpointChange::Removed);
}

void
EndpointDirectory::OnAddressReused(const std::string& aId)
{
  const auto it = mEntries.find(aId);
  if (it != mEntries.end() && !it->second.mIsReplaced) {
    it->second.mIsReplaced = true;
    ForgetPools(it->second.mRecord.mService);
    mOnChange.emit(it->second.mRecord, EndpointChange::Replaced);
  }
}

void
EndpointDirectory::OnLeavingAnnounced(const std::string& aId,
                                      std::int64_t aIncarnation)
{
  const auto it = mEntries.find(aId);
  if (it != mEntries.end() && !it->second.mHasAnnouncedLeaving &&
      it->second.mRecord.mIncarnation == aIncarnation) {
    it->second.mHasAnnouncedLeaving = true;
    ForgetPools(it->second.mRecord.mService);
    mOnChange.emit(it->second.mRecord, EndpointChange::LeavingAnnounced);
  }
}

void
EndpointDirectory::OnBackoffRequested(const std::string& aId,
                                      std::int64_t aIncarnation,
                                      Instant aUntil)
{
  const auto it = mEntries.find(aId);
  if (it == mEntries.end() || it->second.mRecord.mIncarnation != aIncarnation ||
      it->second.mBackoffEnd >= aUntil) {
    return;
  }
  it->second.mBackoffEnd = aUntil;
  ForgetPools(it->second.mRecord.mService);
  mOnChange.emit(it->second.mRecord, EndpointChange::BackoffStarted);
}

void
EndpointDirectory::OnRoleOrdered(const std::string& aId,
                                 const RoleOrder& aOrder,
                                 Instant aNow)
{
  // A peer may report an order that has already taken effect.
  const auto it = mEntries.find(aId);
  if (it == mEntries.end() || aOrder.mDeadline <= aNow ||
      it->second.mRecord.mRole == aOrder.mRole) {
    return;
  }
  const bool isNew = !it->second.mRoleOrder;
  it->second.mRoleOrder = aOrder;
  ForgetPools(it->second.mRecord.mService);
  if (isNew) {
    mOnChange.emit(it->second.mRecord, EndpointChange::ChangingRole);
  }
}

bool
EndpointDirectory::IsChangingRole(const std::string& aId) const
{
  const auto it = mEntries.find(aId);
  return it != mEntries.end() && it->second.mRoleOrder.has_value();
}

std::map<std::string, RoleOrder>
EndpointDirectory::RoleOrders(Instant aNow) const
{
  std::map<std::string, RoleOrder> orders;
  for (const auto& [id, entry] : mEntries) {
    if (entry.mRoleOrder && entry.mRoleOrder->mDeadline > aNow) {
      orders[id] = *entry.mRoleOrder;
    }
  }
  return orders;
}

std::string
EndpointDirectory::SoftwareOf(const std::string& aId) const
{
  const EndpointRecord* record = Find(aId);
  return record == nullptr ? std::string() : record->mSoftware;
}

bool
EndpointDirectory::IsMissing(const std::string& aId) const
{
  const auto it = mEntries.find(aId);
  return it != mEntries.end() && it->second.mDropAt.has_value();
}

bool
EndpointDirectory::IsLeaving(const std::string& aId) const
{
  const auto it = mEntries.find(aId);
  return it != mEntries.end() && IsLeaving(it->second);
}

bool
EndpointDirectory::AreAllLeaving(const std::string& aService,
                                 EndpointRole aRole) const
{
  const auto& entries = PoolOf(aService, aRole).mEntries;
  return !entries.empty() &&
         std::all_of(entries.begin(), entries.end(), [](const Entry* aIt) {
           return IsLeaving(*aIt);
         });
}

bool
EndpointDirectory::IsInBackoff(const std::string& aId) const
{
  return BackoffEnd(aId).has_value();
}

std::optional<Instant>
EndpointDirectory::BackoffEnd(const std::string& aId) const
{
  const auto it = mEntries.find(aId);
  return it == mEntries.end() ? std::nullopt : it->second.mBackoffEnd;
}

std::optional<Instant>
EndpointDirectory::FirstBackoffEnd(const std::string& aService,
                                   EndpointRole aRole) const
{
  std::optional<Instant> first;
  for (const Entry* it : PoolOf(aService, aRole).mEntries) {
    if (IsUsable(*it)) {
      return std::nullopt;
    }
    if (IsUsableOrInBackoff(*it)) {
      first = std::min(first.value_or(*it->mBackoffEnd), *it->mBackoffEnd);
    }
  }
  return first;
}

bool
EndpointDirectory::IsUsable(const std::string& aId) const
{
  const auto it = mEntries.find(aId);
  return it != mEntries.end() && IsUsable(it->second);
}

void
EndpointDirectory::OnRegistryRecovered(Instant aNow)
{
  mGracePeriodEnd = aNow + mGracePeriod;
}

void
EndpointDirectory::Expire(Instant aNow)
{
  std::vector<std::string> expired;
  for (auto& [id, entry] : mEntries) {
    if (entry.mRoleOrder && entry.mRoleOrder->mDeadline <= aNow) {
      entry.mRoleOrder.reset();
      ForgetPools(entry.mRecord.mService);
      if (IsUsable(entry)) {
        mOnChange.emit(entry.mRecord, EndpointChange::Returned);
      }
    }
    if (entry.mBackoffEnd && *entry.mBackoffEnd <= aNow) {
      entry.mBackoffEnd.reset();
      ForgetPools(entry.mRecord.mService);
      if (IsUsable(entry)) {
        mOnChange.emit(entry.mRecord, EndpointChange::Returned);
      }
    }
    if (entry.mDropAt && *entry.mDropAt <= aNow) {
      expired.push_back(id);
    }
  }
  for (const auto& it : expired) {
    Drop(it);
  }
}

std::optional<Instant>
EndpointDirectory::NextExpiry() const
{
  std::optional<Instant> next;
  for (const auto& [id, entry] : mEntries) {
    if (entry.mDropAt && (!next || *entry.mDropAt < *next)) {
      next = entry.mDropAt;
    }
    if (entry.mBackoffEnd && (!next || *entry.mBackoffEnd < *next)) {
      next = entry.mBackoffEnd;
    }
    if (entry.mRoleOrder && (!next || entry.mRoleOrder->mDeadline < *next)) {
      next = entry.mRoleOrder->mDeadline;
    }
  }
  return next;
}

const EndpointRecord*
EndpointDirectory::Find(const std::string& aId) const
{
  const auto it = mEntries.find(aId);
  return it == mEntries.end() ? nullptr : &it->second.mRecord;
}

const EndpointDirectory::Pool&
EndpointDirectory::PoolOf(const std::string& aService, EndpointRole aRole) const
{
  static const Pool sNone;
  const auto ids = mServices.find(aService);
  if (ids == mServices.end()) {
    return sNone;
  }
  const auto [pools, isNew] = mPools.try_emplace(aService);
  if (isNew) {
    for (const auto& it : ids->second) {
      const Entry& entry = mEntries.at(it);
      Pool& pool = pools->second[entry.mRecord.mRole];
      pool.mEntries.push_back(&entry);
      if (IsUsable(entry)) {
        pool.mUsable.push_back(&entry.mRecord);
      }
    }
  }
  const auto pool = pools->second.find(aRole);
  return pool == pools->second.end() ? sNone : pool->second;
}

const std::vector<const EndpointRecord*>&
EndpointDirectory::Usable(const std::string& aService, EndpointRole aRole) const
{
  return PoolOf(aService, aRole).mUsable;
}

void
EndpointDirectory::ForgetPools(const std::string& aService)
{
  mPools.erase(aService);
}

std::vector<const EndpointRecord*>
EndpointDirectory::UsableOrInBackoff(const std::string& aService,
                                     EndpointRole aRole) const
{
  std::vector<const EndpointRecord*> endpoints;
  for (const Entry* it : PoolOf(aService, aRole).mEntries) {
    if (IsUsableOrInBackoff(*it)) {
      endpoints.push_back(&it->mRecord);
    }
  }
  return endpoints;
}

} // namespace bulrushfold
