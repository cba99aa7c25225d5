#include "Cluster/MemberTable.h"

#include <algorithm>

#include "Base/Digest.h"

namespace bulrushfold {

namespace {
std::uint64_t
HashOf(const Member& aMember)
{
  return Hash64(aMember.mInfo.mName,
                static_cast<std::uint64_t>(aMember.mGeneration));
}

void
RecordChange(const Member& aMember,
             bool aWasLive,
             bool aIsNewProcess,
             MemberChanges& aChanges)
{
  if (aMember.IsLive() && (!aWasLive || aIsNewProcess)) {
    aChanges.mJoined.push_back(aMember.mInfo.mName);
  } else if (!aMember.IsLive() && aWasLive) {
    aChanges.mLost.push_back(aMember.mInfo.mName);
  }
}
} // namespace

void
MemberTable::RemoveFromView(const Member& aMember)
{
  if (aMember.IsLive()) {
    mDomainHashes[aMember.mInfo.mFailureDomain] ^= HashOf(aMember);
    mViewHash ^= HashOf(aMember);
  }
}

void
MemberTable::AddToView(const Member& aMember)
{
  if (!aMember.IsLive()) {
    mRings.Remove(aMember.mInfo.mName);
    return;
  }
  mDomainHashes[aMember.mInfo.mFailureDomain] ^= HashOf(aMember);
  mViewHash ^= HashOf(aMember);
  mRings.Insert(aMember.mInfo.mName, aMember.mInfo.mFailureDomain);
}

void
MemberTable::UpdateDetails(Member& aMember, const wire::MemberRecord& aRecord)
{
  if (aRecord.__isset.failureDomain) {
    aMember.mInfo.mFailureDomain = aRecord.failureDomain;
  }
  if (aRecord.__isset.address) {
    ParseAddress(aRecord.address, aMember.mInfo.mAddress);
  }
  if (aRecord.__isset.incarnation) {
    if (aMember.mInfo.mIncarnation != aRecord.incarnation) {
      aMember.mFirstGeneration = aRecord.generation;
    }
    aMember.mInfo.mIncarnation = aRecord.incarnation;
  }
}

bool
MemberTable::AddObserver(Member& aMember, const wire::MemberRecord& aRecord)
{
  if (aRecord.state != wire::MemberState::SUSPECT ||
      !aRecord.__isset.observer || aMember.mObservers.size() >= kMaxObservers) {
    return false;
  }
  auto& observers = aMember.mObservers;
  if (std::find(observers.begin(), observers.end(), aRecord.observer) !=
      observers.end()) {
    return false;
  }
  observers.push_back(aRecord.observer);
  return true;
}

bool
MemberTable::Merge(const wire::MemberRecord& aRecord,
                   Instant aNow,
                   MemberChanges& aChanges)
{
  // Values outside the enumeration come from another version or an attacker.
  if (aRecord.state < wire::MemberState::ALIVE ||
      aRecord.state > wire::MemberState::DEAD) {
    return false;
  }
  auto it = mMembers.find(aRecord.name);
  if (it == mMembers.end()) {
    if (!aRecord.__isset.address || !aRecord.__isset.failureDomain) {
      return false;
    }
    it = mMembers.insert({ aRecord.name, Member{} }).first;
    it->second.mInfo.mName = aRecord.name;
    it->second.mGeneration = -1;
    it->second.mState = wire::MemberState::DEAD;
  }
  Member& member = it->second;
  const bool isNewer = aRecord.generation > member.mGeneration;
  const bool isSame = aRecord.generation == member.mGeneration;
  if (!isNewer && !isSame) {
    return false;
  }
  const bool wasLive = member.IsLive();
  const std::string incarnation = member.mInfo.mIncarnation;
  const bool isLater = aRecord.state > member.mState;
  RemoveFromView(member);
  bool isChanged = isNewer || isLater;
  if (isNewer) {
    member.mObservers.clear();
    member.mGeneration = aRecord.generation;
  }
  if (isChanged) {
    member.mState = aRecord.state;
    member.mChangedAt = aNow;
  }
  UpdateDetails(member, aRecord);
  isChanged = AddObserver(member, aRecord) || isChanged;
  AddToView(member);
  const bool isNewProcess =
    !incarnation.empty() && incarnation != member.mInfo.mIncarnation;
  RecordChange(member, wasLive, isNewProcess, aChanges);
  return isChanged;
}

void
MemberTable::Insert(const MemberInfo& aInfo,
                    wire::MemberState::type aState,
                    Instant aNow,
                    MemberChanges& aChanges)
{
  const auto [it, isNew] = mMembers.insert({ aInfo.mName, Member{} });
  if (!isNew) {
    return;
  }
  Member& member = it->second;
  member.mInfo = aInfo;
  member.mState = aState;
  member.mChangedAt = aNow;
  AddToView(member);
  RecordChange(member, false, false, aChanges);
}

void
MemberTable::Set(const std::string& aName,
                 std::int64_t aGeneration,
                 wire::MemberState::type aState,
                 Instant aNow,
                 MemberChanges& aChanges)
{
  Member* member = Find(aName);
  if (member == nullptr) {
    return;
  }
  const bool wasLive = member->IsLive();
  RemoveFromView(*member);
  if (aGeneration > member->mGeneration) {
    member->mObservers.clear();
  }
  member->mGeneration = aGeneration;
  member->mState = aState;
  member->mChangedAt = aNow;
  AddToView(*member);
  RecordChange(*member, wasLive, false, aChanges);
}

void
MemberTable::ClearListed()
{
  for (auto& [name, member] : mMembers) {
    member.mIsListed = false;
  }
}

void
MemberTable::Erase(const std::string& aName, MemberChanges& aChanges)
{
  const auto it = mMembers.find(aName);
  if (it == mMembers.end()) {
    return;
  }
  if (it->second.IsLive()) {
    aChanges.mLost.push_back(aName);
  }
  RemoveFromView(it->second);
  mRings.Remove(aName);
  mMembers.erase(it);
}

Member*
MemberTable::Find(const std::string& aName)
{
  const auto it = mMembers.find(aName);
  return it == mMembers.end() ? nullptr : &it->second;
}

const Member*
MemberTable::Find(const std::string& aName) const
{
  const auto it = mMembers.find(aName);
  return it == mMembers.end() ? nullptr : &it->second;
}

wire::MemberRecord
MemberTable::RecordOf(const Member& aMember, bool aWithDetails)
{
  wire::MemberRecord record;
  record.name = aMember.mInfo.mName;
  record.generation = aMember.mGeneration;
  record.state = aMember.mState;
  const bool isFirstGeneration =
    aMember.mGeneration == aMember.mFirstGeneration &&
    aMember.mState == wire::MemberState::ALIVE;
  if (aWithDetails || isFirstGeneration) {
    record.__set_failureDomain(aMember.mInfo.mFailureDomain);
    record.__set_address(FormatAddress(aMember.mInfo.mAddress));
    if (!aMember.mInfo.mIncarnation.empty()) {
      record.__set_incarnation(aMember.mInfo.mIncarnation);
    }
  }
  if (aMember.mState == wire::MemberState::SUSPECT &&
      !aMember.mObservers.empty()) {
    record.__set_observer(aMember.mObservers.back());
  }
  return record;
}

std::vector<wire::MemberRecord>
MemberTable::RecordsOf(const std::string& aDomain) const
{
  std::vector<wire::MemberRecord> records;
  for (const auto& [name, member] : mMembers) {
    if (member.mInfo.mFailureDomain == aDomain &&
        records.size() < kMaxRecords) {
      records.push_back(RecordOf(member, true));
    }
  }
  return records;
}

std::int64_t
MemberTable::DomainHash(const std::string& aDomain) const
{
  const auto it = mDomainHashes.find(aDomain);
  return it == mDomainHashes.end() ? 0 : static_cast<std::int64_t>(it->second);
}

std::map<std::string, std::int64_t>
MemberTable::DomainHashes() const
{
  std::map<std::string, std::int64_t> hashes;
  for (const auto& [domain, hash] : mDomainHashes) {
    hashes[domain] = static_cast<std::int64_t>(hash);
  }
  return hashes;
}

std::int64_t
MemberTable::ViewHash() const
{
  return static_cast<std::int64_t>(mViewHash);
}

} // namespace bulrushfold
