#include "Cluster/Membership.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
/** Time for which the view of a peer may differ before the views are
 * compared: updates need several heartbeat intervals to arrive. */
constexpr Duration kViewMismatchGrace = std::chrono::seconds(4);
constexpr Duration kSyncInterval = std::chrono::seconds(10);
constexpr Duration kExpiryInterval = std::chrono::seconds(10);
/** Probability that PickRandomPeer returns a daemon recorded as dead, if the
 * VM list contains one. It is low enough that repairs of lost updates stay fast
 * on each side of a partition, and high enough that the two sides regain
 * contact within a second. */
constexpr double kDeadPeerProbability = 0.25;
constexpr std::size_t kFrequentVmListReaders = 2;
constexpr Duration kFrequentVmListInterval = std::chrono::seconds(5);
constexpr Duration kDefaultVmListInterval = std::chrono::seconds(60);
} // namespace

Membership::Membership(MemberInfo aSelf,
                       MembershipTiming aTiming,
                       WallTime aStart,
                       Instant aNow,
                       Random& aRandom)
  : mSelf(std::move(aSelf))
  , mTiming(aTiming)
  , mRandom(aRandom)
  , mStartedAt(aNow)
  , mLastEvent(aNow)
  , mDetector(aTiming)
  , mLastSync(aNow)
  , mLastExpiry(aNow)
{
  MemberChanges changes;
  mTable.Insert(mSelf, wire::MemberState::ALIVE, aNow, changes);
  const std::int64_t generation = aStart.time_since_epoch().count();
  mTable.Set(mSelf.mName, generation, wire::MemberState::ALIVE, aNow, changes);
  mTable.Find(mSelf.mName)->mFirstGeneration = generation;
  mUpdateQueue.Add(mSelf.mName, false);
}

void
Membership::DetectClockGap(Instant aNow, MembershipResult& aResult)
{
  if (aNow - mLastEvent > mTiming.mClockGapLimit) {
    // Heartbeats that arrived during the pause were not processed, so missing
    // ones do not mean that a peer failed.
    mDetector.Reset(aNow);
    RaiseGeneration(mTable.Find(mSelf.mName)->mGeneration, aNow);
    aResult.mHasClockGap = true;
  }
  mLastEvent = std::max(mLastEvent, aNow);
}

MembershipResult
Membership::CheckClock(Instant aNow)
{
  MembershipResult result;
  DetectClockGap(aNow, result);
  return result;
}

void
Membership::RaiseGeneration(std::int64_t aGeneration, Instant aNow)
{
  MemberChanges changes;
  const auto state =
    mIsLeaving ? wire::MemberState::LEAVING : wire::MemberState::ALIVE;
  mTable.Set(mSelf.mName, aGeneration + 1, state, aNow, changes);
  mUpdateQueue.Add(mSelf.mName, true);
}

MembershipResult
Membership::Tick(Instant aNow)
{
  MembershipResult result;
  DetectClockGap(aNow, result);
  ObservePredecessors(aNow, result);
  EraseExpired(aNow, result);
  SendHeartbeats(result);
  // A daemon that is recorded as dead may only have been partitioned.
  if (const auto name = PickRandomPeer(); !name.empty() && !IsLive(name)) {
    result.mMessages.push_back({ name, MakeHeartbeat(name, true) });
  }
  return result;
}

void
Membership::ObservePredecessors(Instant aNow, MembershipResult& aResult)
{
  const auto findings = mDetector.Check(mTable, mSelf.mName, aNow);
  for (const auto& it : findings.mSuspected) {
    Suspect(it, aNow);
  }
  for (const auto& it : findings.mDead) {
    mTable.Set(it,
               mTable.Find(it)->mGeneration,
               wire::MemberState::DEAD,
               aNow,
               aResult.mChanges);
    mIsUnreachableStale = true;
    mUpdateQueue.Add(it, true);
  }
  for (const auto& it : findings.mProbe) {
    aResult.mMessages.push_back({ it, MakeHeartbeat(it, true) });
  }
}

void
Membership::Suspect(const std::string& aName, Instant aNow)
{
  wire::MemberRecord record;
  record.name = aName;
  record.generation = mTable.Find(aName)->mGeneration;
  record.state = wire::MemberState::SUSPECT;
  record.__set_observer(mSelf.mName);
  MemberChanges changes;
  if (mTable.Merge(record, aNow, changes)) {
    mUpdateQueue.Add(aName, true);
  }
}

void
Membership::SendHeartbeats(MembershipResult& aResult)
{
  const auto successors = Rings().Successors(mSelf.mName);
  const auto updates = mUpdateQueue.CollectRecords(
    mTable, successors.size(), mTiming.mHeartbeatInterval);
  for (const auto& it : successors) {
    auto heartbeat = MakeHeartbeat(it, false);
    heartbeat.records.insert(
      heartbeat.records.end(), updates.begin(), updates.end());
    aResult.mMessages.push_back({ it, std::move(heartbeat) });
  }
}

wire::Heartbeat
Membership::MakeHeartbeat(const std::string& aTo, bool aWantsReply) const
{
  wire::Heartbeat heartbeat;
  heartbeat.generation = mTable.Find(mSelf.mName)->mGeneration;
  heartbeat.viewHash = mTable.ViewHash();
  heartbeat.wantsReply = aWantsReply;
  // A live daemon can refute that it is suspected or dead only if it receives
  // that record.
  const Member* receiver = mTable.Find(aTo);
  if (receiver != nullptr && receiver->mState != wire::MemberState::ALIVE) {
    heartbeat.records.push_back(MemberTable::RecordOf(*receiver, false));
  }
  return heartbeat;
}

void
Membership::MergeRecord(const wire::MemberRecord& aRecord,
                        bool aMustForward,
                        Instant aNow,
                        MembershipResult& aResult)
{
  if (aRecord.name == mSelf.mName) {
    Refute(aRecord, aNow);
    return;
  }
  const bool isChanged = mTable.Merge(aRecord, aNow, aResult.mChanges);
  mIsUnreachableStale = mIsUnreachableStale || isChanged;
  if (isChanged && aMustForward) {
    mUpdateQueue.Add(aRecord.name, aRecord.state != wire::MemberState::ALIVE);
  }
}

void
Membership::Refute(const wire::MemberRecord& aRecord, Instant aNow)
{
  const Member* self = mTable.Find(mSelf.mName);
  // A higher generation was announced by an earlier process of this daemon
  // whose clock was ahead.
  const bool isWrong =
    aRecord.generation > self->mGeneration ||
    (aRecord.generation == self->mGeneration && aRecord.state > self->mState);
  if (isWrong) {
    RaiseGeneration(aRecord.generation, aNow);
  }
}

MembershipResult
Membership::OnHeartbeat(const std::string& aFrom,
                        const wire::Heartbeat& aMessage,
                        Instant aNow)
{
  MembershipResult result;
  DetectClockGap(aNow, result);
  mDetector.OnHeartbeat(aFrom, aNow);
  for (const auto& it : aMessage.records) {
    MergeRecord(it, true, aNow, result);
  }
  AnswerHeartbeat(aFrom, aMessage, result);
  CompareView(aFrom, aMessage, aNow, result);
  return result;
}

void
Membership::AnswerHeartbeat(const std::string& aFrom,
                            const wire::Heartbeat& aMessage,
                            MembershipResult& aResult)
{
  const Member* member = mTable.Find(aFrom);
  const bool isUnknown = member == nullptr ||
                         member->mGeneration < aMessage.generation ||
                         member->mInfo.mIncarnation.empty();
  const bool isRecordedDead = member != nullptr &&
                              member->mState == wire::MemberState::DEAD &&
                              member->mGeneration >= aMessage.generation;
  if (!aMessage.wantsReply && !isUnknown && !isRecordedDead) {
    return;
  }
  auto reply = MakeHeartbeat(aFrom, isUnknown || isRecordedDead);
  const Member* self = mTable.Find(mSelf.mName);
  reply.records.push_back(
    MemberTable::RecordOf(*self, aMessage.wantsReply || isUnknown));
  aResult.mMessages.push_back({ aFrom, std::move(reply) });
}

void
Membership::CompareView(const std::string& aFrom,
                        const wire::Heartbeat& aMessage,
                        Instant aNow,
                        MembershipResult& aResult)
{
  if (aMessage.viewHash == mTable.ViewHash() || mTable.Find(aFrom) == nullptr) {
    mViewMismatchSince.erase(aFrom);
    return;
  }
  const Instant since =
    mViewMismatchSince.insert({ aFrom, aNow }).first->second;
  if (aNow - since < kViewMismatchGrace || aNow - mLastSync < kSyncInterval) {
    return;
  }
  mLastSync = aNow;
  mSyncPeer = aFrom;
  wire::MembershipSync query;
  query.domainHashes = mTable.DomainHashes();
  aResult.mMessages.push_back({ aFrom, std::move(query) });
}

MembershipResult
Membership::OnSync(const std::string& aFrom,
                   const wire::MembershipSync& aMessage,
                   Instant aNow)
{
  MembershipResult result;
  DetectClockGap(aNow, result);
  if (!aMessage.domainHashes.empty()) {
    AnswerSyncQuery(aFrom, aMessage, result);
    return result;
  }
  for (const auto& it : aMessage.records) {
    MergeRecord(it, false, aNow, result);
  }
  const bool isAnswer = std::exchange(mSyncPeer, std::string()) == aFrom;
  if (isAnswer && mTable.DomainHash(aMessage.domain) != aMessage.domainHash) {
    result.mMessages.push_back({ aFrom, RecordsOf(aMessage.domain) });
  }
  return result;
}

void
Membership::AnswerSyncQuery(const std::string& aFrom,
                            const wire::MembershipSync& aMessage,
                            MembershipResult& aResult)
{
  auto domains = mTable.DomainHashes();
  domains.insert(aMessage.domainHashes.begin(), aMessage.domainHashes.end());
  std::vector<std::string> different;
  for (const auto& [domain, hash] : domains) {
    const auto it = aMessage.domainHashes.find(domain);
    const auto theirHash = it == aMessage.domainHashes.end() ? 0 : it->second;
    if (theirHash != mTable.DomainHash(domain)) {
      different.push_back(domain);
    }
  }
  if (!different.empty()) {
    const auto& domain = different[mRandom.UniformBelow(different.size())];
    aResult.mMessages.push_back({ aFrom, RecordsOf(domain) });
  }
}

wire::MembershipSync
Membership::RecordsOf(const std::string& aDomain) const
{
  wire::MembershipSync message;
  message.domain = aDomain;
  message.domainHash = mTable.DomainHash(aDomain);
  message.records = mTable.RecordsOf(aDomain);
  return message;
}

MembershipResult
Membership::OnVmList(const std::vector<VmEntry>& aVms, Instant aNow)
{
  MembershipResult result;
  DetectClockGap(aNow, result);
  mTable.ClearListed();
  mListedDomains.clear();
  for (const auto& it : aVms) {
    const bool isLive = it.mState == VmState::Live;
    if (isLive) {
      mListedDomains.insert(it.mFailureDomain);
    }
    const auto state =
      isLive ? wire::MemberState::ALIVE : wire::MemberState::LEAVING;
    const MemberInfo info{ it.mName, it.mFailureDomain, it.mPeerAddress, {} };
    mTable.Insert(info, state, aNow, result.mChanges);
    // When the daemon itself has announced a generation, its state takes
    // precedence over the VM list.
    Member* member = mTable.Find(it.mName);
    member->mIsListed = true;
    if (member->mGeneration == 0 && !isLive && member->IsLive()) {
      mTable.Set(it.mName, 0, state, aNow, result.mChanges);
    }
  }
  mLastExpiry = aNow - kExpiryInterval;
  EraseExpired(aNow, result);
  mIsUnreachableStale = true;
  return result;
}

void
Membership::EraseExpired(Instant aNow, MembershipResult& aResult)
{
  if (aNow - mLastExpiry < kExpiryInterval) {
    return;
  }
  mLastExpiry = aNow;
  std::vector<std::string> expired;
  for (const auto& [name, member] : mTable.Members()) {
    const bool isExpired =
      !member.IsLive() && aNow - member.mChangedAt >= kDeadRetention;
    const bool isNeverContacted = member.mGeneration == 0;
    if (!member.mIsListed && name != mSelf.mName &&
        (isExpired || isNeverContacted)) {
      expired.push_back(name);
    }
  }
  for (const auto& it : expired) {
    mTable.Erase(it, aResult.mChanges);
    mViewMismatchSince.erase(it);
    mIsUnreachableStale = true;
  }
}

MembershipResult
Membership::Leave(Instant aNow)
{
  MembershipResult result;
  DetectClockGap(aNow, result);
  mIsLeaving = true;
  const Member* self = mTable.Find(mSelf.mName);
  mTable.Set(mSelf.mName,
             self->mGeneration,
             wire::MemberState::LEAVING,
             aNow,
             result.mChanges);
  mUpdateQueue.Add(mSelf.mName, true);
  SendHeartbeats(result);
  return result;
}

MembershipResult
Membership::RequestRecord(const std::string& aName, Instant aNow)
{
  MembershipResult result;
  DetectClockGap(aNow, result);
  if (mTable.Find(aName) != nullptr) {
    result.mMessages.push_back({ aName, MakeHeartbeat(aName, true) });
  }
  return result;
}

Duration
Membership::VmListInterval() const
{
  const auto readers = Rings().SelectWithinDomain(
    "vm-list", kFrequentVmListReaders, mSelf.mFailureDomain);
  const bool isReader =
    std::find(readers.begin(), readers.end(), mSelf.mName) != readers.end();
  return isReader ? kFrequentVmListInterval : kDefaultVmListInterval;
}

bool
Membership::IsLive(const std::string& aName) const
{
  return Rings().Contains(aName);
}

std::vector<std::string>
Membership::LivePeers() const
{
  auto names = Rings().Names();
  names.erase(std::remove(names.begin(), names.end(), mSelf.mName),
              names.end());
  return names;
}

std::vector<std::string>
Membership::UnreachablePeers() const
{
  std::vector<std::string> names;
  for (const auto& [name, member] : mTable.Members()) {
    if (member.mState == wire::MemberState::DEAD && member.mIsListed) {
      names.push_back(name);
    }
  }
  return names;
}

const MemberInfo*
Membership::Find(const std::string& aName) const
{
  const Member* member = mTable.Find(aName);
  return member == nullptr ? nullptr : &member->mInfo;
}

std::string
Membership::PickRandomPeer()
{
  if (std::exchange(mIsUnreachableStale, false)) {
    mUnreachable = UnreachablePeers();
  }
  if (!mUnreachable.empty() && mRandom.Bernoulli(kDeadPeerProbability)) {
    return mUnreachable[mRandom.UniformBelow(mUnreachable.size())];
  }
  if (Rings().Size() == 0) {
    return {};
  }
  // If the index selects this daemon itself, the next member is used.
  const std::size_t at = mRandom.UniformBelow(Rings().Size());
  const std::string& name = Rings().NameAt(at);
  const std::string& other = Rings().NameAt((at + 1) % Rings().Size());
  const std::string& picked = name == mSelf.mName ? other : name;
  return picked == mSelf.mName ? std::string() : picked;
}

IncarnationState
Membership::FindIncarnation(const std::string& aName,
                            const std::string& aIncarnation,
                            Instant aNow) const
{
  const Member* member = mTable.Find(aName);
  if (member == nullptr) {
    return aNow - mStartedAt >= kDeadRetention ? IncarnationState::Ended
                                               : IncarnationState::Unknown;
  }
  const std::string& incarnation = member->mInfo.mIncarnation;
  if (incarnation.empty()) {
    // A daemon that died before its first heartbeat arrived has announced its
    // incarnation to no other daemon. A live one would have refuted its death.
    return member->mState == wire::MemberState::DEAD
             ? IncarnationState::Ended
             : IncarnationState::Unknown;
  }
  if (incarnation < aIncarnation) {
    return IncarnationState::Unknown;
  }
  if (incarnation > aIncarnation || member->mState == wire::MemberState::DEAD) {
    return IncarnationState::Ended;
  }
  return IncarnationState::Live;
}

} // namespace bulrushfold
