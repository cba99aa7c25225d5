#include "Cluster/Membership.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
/** Time for which a view may differ from a peer's before it is compared: news
 * needs some heartbeat intervals to arrive. */
constexpr Duration kViewGrace = std::chrono::seconds(4);
constexpr Duration kSyncInterval = std::chrono::seconds(10);
constexpr Duration kForgetInterval = std::chrono::seconds(10);
/** Share of random contacts that go to a daemon believed dead, if there is one
 * that the VM list names: few enough to leave the repair of losses fast on each
 * side of a cut, enough for the sides to meet within a second. */
constexpr double kDeadContactChance = 0.25;
constexpr std::size_t kVmListReaders = 2;
constexpr Duration kReaderInterval = std::chrono::seconds(5);
constexpr Duration kOtherInterval = std::chrono::seconds(60);
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
  , mLastForget(aNow)
{
  MemberChanges changes;
  mTable.Insert(mSelf, wire::MemberState::ALIVE, aNow, changes);
  const std::int64_t generation = aStart.time_since_epoch().count();
  mTable.Set(mSelf.mName, generation, wire::MemberState::ALIVE, aNow, changes);
  mTable.Find(mSelf.mName)->mFirstGeneration = generation;
  mNews.Add(mSelf.mName, false);
}

void
Membership::NoteTime(Instant aNow, MembershipResult& aResult)
{
  if (aNow - mLastEvent > mTiming.mClockGapLimit) {
    // Peers were not heard because this daemon did not listen.
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
  NoteTime(aNow, result);
  return result;
}

void
Membership::RaiseGeneration(std::int64_t aGeneration, Instant aNow)
{
  MemberChanges changes;
  const auto state =
    mIsLeaving ? wire::MemberState::LEAVING : wire::MemberState::ALIVE;
  mTable.Set(mSelf.mName, aGeneration + 1, state, aNow, changes);
  mNews.Add(mSelf.mName, true);
}

MembershipResult
Membership::Tick(Instant aNow)
{
  MembershipResult result;
  NoteTime(aNow, result);
  ObservePredecessors(aNow, result);
  ForgetOld(aNow, result);
  SendHeartbeats(result);
  // A daemon that is believed dead may only have been cut off.
  if (const auto name = PickContact(); !name.empty() && !IsLive(name)) {
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
    mIsDeadOld = true;
    mNews.Add(it, true);
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
    mNews.Add(aName, true);
  }
}

void
Membership::SendHeartbeats(MembershipResult& aResult)
{
  const auto successors = Rings().Successors(mSelf.mName);
  const auto news =
    mNews.Take(mTable, successors.size(), mTiming.mHeartbeatInterval);
  for (const auto& it : successors) {
    auto heartbeat = MakeHeartbeat(it, false);
    heartbeat.records.insert(heartbeat.records.end(), news.begin(), news.end());
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
  // A daemon that is wrongly believed to have failed must hear of it.
  const Member* receiver = mTable.Find(aTo);
  if (receiver != nullptr && receiver->mState != wire::MemberState::ALIVE) {
    heartbeat.records.push_back(MemberTable::RecordOf(*receiver, false));
  }
  return heartbeat;
}

void
Membership::Receive(const wire::MemberRecord& aRecord,
                    bool aIsNews,
                    Instant aNow,
                    MembershipResult& aResult)
{
  if (aRecord.name == mSelf.mName) {
    Refute(aRecord, aNow);
    return;
  }
  const bool isChanged = mTable.Merge(aRecord, aNow, aResult.mChanges);
  mIsDeadOld = mIsDeadOld || isChanged;
  if (isChanged && aIsNews) {
    mNews.Add(aRecord.name, aRecord.state != wire::MemberState::ALIVE);
  }
}

void
Membership::Refute(const wire::MemberRecord& aRecord, Instant aNow)
{
  const Member* self = mTable.Find(mSelf.mName);
  // A higher generation belongs to an earlier process on a faster clock.
  const bool isFalse =
    aRecord.generation > self->mGeneration ||
    (aRecord.generation == self->mGeneration && aRecord.state > self->mState);
  if (isFalse) {
    RaiseGeneration(aRecord.generation, aNow);
  }
}

MembershipResult
Membership::OnHeartbeat(const std::string& aFrom,
                        const wire::Heartbeat& aMessage,
                        Instant aNow)
{
  MembershipResult result;
  NoteTime(aNow, result);
  mDetector.NoteHeard(aFrom, aNow);
  for (const auto& it : aMessage.records) {
    Receive(it, true, aNow, result);
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
  const bool isBelievedGone = member != nullptr &&
                              member->mState == wire::MemberState::DEAD &&
                              member->mGeneration >= aMessage.generation;
  if (!aMessage.wantsReply && !isUnknown && !isBelievedGone) {
    return;
  }
  auto reply = MakeHeartbeat(aFrom, isUnknown || isBelievedGone);
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
    mDifferentSince.erase(aFrom);
    return;
  }
  const Instant since = mDifferentSince.insert({ aFrom, aNow }).first->second;
  if (aNow - since < kViewGrace || aNow - mLastSync < kSyncInterval) {
    return;
  }
  mLastSync = aNow;
  mSyncPeer = aFrom;
  wire::MembershipSync question;
  question.domainHashes = mTable.DomainHashes();
  aResult.mMessages.push_back({ aFrom, std::move(question) });
}

MembershipResult
Membership::OnSync(const std::string& aFrom,
                   const wire::MembershipSync& aMessage,
                   Instant aNow)
{
  MembershipResult result;
  NoteTime(aNow, result);
  if (!aMessage.domainHashes.empty()) {
    AnswerQuestion(aFrom, aMessage, result);
    return result;
  }
  for (const auto& it : aMessage.records) {
    Receive(it, false, aNow, result);
  }
  const bool isAnswer = std::exchange(mSyncPeer, std::string()) == aFrom;
  if (isAnswer && mTable.DomainHash(aMessage.domain) != aMessage.domainHash) {
    result.mMessages.push_back({ aFrom, RecordsOf(aMessage.domain) });
  }
  return result;
}

void
Membership::AnswerQuestion(const std::string& aFrom,
                           const wire::MembershipSync& aMessage,
                           MembershipResult& aResult)
{
  auto domains = mTable.DomainHashes();
  domains.insert(aMessage.domainHashes.begin(), aMessage.domainHashes.end());
  std::vector<std::string> different;
  for (const auto& [domain, hash] : domains) {
    const auto it = aMessage.domainHashes.find(domain);
    const auto theirs = it == aMessage.domainHashes.end() ? 0 : it->second;
    if (theirs != mTable.DomainHash(domain)) {
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
  NoteTime(aNow, result);
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
    // Of a daemon that was heard, its own messages say more than the list.
    Member* member = mTable.Find(it.mName);
    member->mIsListed = true;
    if (member->mGeneration == 0 && !isLive && member->IsLive()) {
      mTable.Set(it.mName, 0, state, aNow, result.mChanges);
    }
  }
  mLastForget = aNow - kForgetInterval;
  ForgetOld(aNow, result);
  mIsDeadOld = true;
  return result;
}

void
Membership::ForgetOld(Instant aNow, MembershipResult& aResult)
{
  if (aNow - mLastForget < kForgetInterval) {
    return;
  }
  mLastForget = aNow;
  std::vector<std::string> old;
  for (const auto& [name, member] : mTable.Members()) {
    const bool isExpired =
      !member.IsLive() && aNow - member.mChangedAt >= kForgetAfter;
    const bool isNeverHeard = member.mGeneration == 0;
    if (!member.mIsListed && name != mSelf.mName &&
        (isExpired || isNeverHeard)) {
      old.push_back(name);
    }
  }
  for (const auto& it : old) {
    mTable.Erase(it, aResult.mChanges);
    mDifferentSince.erase(it);
    mIsDeadOld = true;
  }
}

MembershipResult
Membership::Leave(Instant aNow)
{
  MembershipResult result;
  NoteTime(aNow, result);
  mIsLeaving = true;
  const Member* self = mTable.Find(mSelf.mName);
  mTable.Set(mSelf.mName,
             self->mGeneration,
             wire::MemberState::LEAVING,
             aNow,
             result.mChanges);
  mNews.Add(mSelf.mName, true);
  SendHeartbeats(result);
  return result;
}

MembershipResult
Membership::RequestRecord(const std::string& aName, Instant aNow)
{
  MembershipResult result;
  NoteTime(aNow, result);
  if (mTable.Find(aName) != nullptr) {
    result.mMessages.push_back({ aName, MakeHeartbeat(aName, true) });
  }
  return result;
}

Duration
Membership::VmListInterval() const
{
  const auto readers =
    Rings().HoldersWithin("vm-list", kVmListReaders, mSelf.mFailureDomain);
  const bool isReader =
    std::find(readers.begin(), readers.end(), mSelf.mName) != readers.end();
  return isReader ? kReaderInterval : kOtherInterval;
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
Membership::PickContact()
{
  if (std::exchange(mIsDeadOld, false)) {
    mDead = UnreachablePeers();
  }
  if (!mDead.empty() && mRandom.Bernoulli(kDeadContactChance)) {
    return mDead[mRandom.UniformBelow(mDead.size())];
  }
  if (Rings().Size() == 0) {
    return {};
  }
  // The neighbour in memory replaces this daemon itself.
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
    return aNow - mStartedAt >= kForgetAfter ? IncarnationState::Gone
                                             : IncarnationState::Unknown;
  }
  const std::string& known = member->mInfo.mIncarnation;
  if (known.empty()) {
    // A daemon that died before its first heartbeat arrived has told nobody its
    // incarnation. One that lives would have refuted its death.
    return member->mState == wire::MemberState::DEAD
             ? IncarnationState::Gone
             : IncarnationState::Unknown;
  }
  if (known < aIncarnation) {
    return IncarnationState::Unknown;
  }
  if (known > aIncarnation || member->mState == wire::MemberState::DEAD) {
    return IncarnationState::Gone;
  }
  return IncarnationState::Live;
}

} // namespace bulrushfold
