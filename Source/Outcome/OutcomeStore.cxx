#include "Outcome/OutcomeStore.h"

#include <algorithm>

#include "Base/Digest.h"

namespace bulrushfold {

namespace {
// Origins are kept as long as their minutes are, see OutcomeAggregate.
constexpr Duration kOriginRetention = std::chrono::hours(2);
} // namespace

OutcomeStore::OutcomeStore(std::string aDaemon,
                           std::string aIncarnation,
                           OutcomeLimits aLimits,
                           const Clock& aClock)
  : mSelf(std::move(aDaemon), std::move(aIncarnation))
  , mLimits(aLimits)
  , mClock(aClock)
{
}

void
OutcomeStore::Begin(BeginRecord aRecord)
{
  aRecord.mDaemon = mSelf.first;
  aRecord.mIncarnation = mSelf.second;
  mUnsentBegins.push_back(KeyOfRequest(aRecord.mRequestId));
  StoreBegin(mSelf, aRecord);
}

void
OutcomeStore::End(OutcomeRecord aRecord)
{
  aRecord.mDaemon = mSelf.first;
  Store(mSelf, aRecord);
  mUnsentEnds.push_back(std::move(aRecord));
  if (mUnsentEnds.size() > mLimits.mMaxRecords) {
    mUnsentEnds.pop_front();
  }
}

std::optional<OutcomeRecords>
OutcomeStore::CollectBatch(std::size_t aMaxRecords)
{
  OutcomeRecords batch;
  batch.mDaemon = mSelf.first;
  batch.mIncarnation = mSelf.second;
  std::size_t n = 0;
  for (; n < aMaxRecords && !mUnsentEnds.empty(); ++n) {
    batch.mEnds.push_back(std::move(mUnsentEnds.front()));
    mUnsentEnds.pop_front();
  }
  for (; n < aMaxRecords && !mUnsentBegins.empty(); mUnsentBegins.pop_front()) {
    const auto it = mOpen.find(mUnsentBegins.front());
    if (it != mOpen.end()) {
      batch.mBegins.push_back(it->second.mBegin);
      ++n;
    }
  }
  return n > 0 ? std::make_optional(std::move(batch)) : std::nullopt;
}

void
OutcomeStore::RequeueInProgress()
{
  mUnsentBegins.clear();
  for (const auto& [key, open] : mOpen) {
    if (open.mBegin.mDaemon == mSelf.first &&
        open.mBegin.mIncarnation == mSelf.second) {
      mUnsentBegins.push_back(key);
    }
  }
}

void
OutcomeStore::Receive(const OutcomeRecords& aRecords)
{
  const Origin origin{ aRecords.mDaemon, aRecords.mIncarnation };
  if (origin == mSelf) {
    return;
  }
  for (const auto& it : aRecords.mEnds) {
    Store(origin, it);
  }
  for (const auto& it : aRecords.mBegins) {
    StoreBegin(origin, it);
  }
}

void
OutcomeStore::HandleDaemonDead(const std::string& aDaemon,
                               const std::string& aIncarnation)
{
  const Origin origin{ aDaemon, aIncarnation };
  if (origin == mSelf) {
    return;
  }
  StateOf(origin).second.mIsDead = true;
  std::vector<BeginRecord> lost;
  for (const auto& [key, open] : mOpen) {
    if (open.mBegin.mDaemon == aDaemon &&
        open.mBegin.mIncarnation == aIncarnation) {
      lost.push_back(open.mBegin);
    }
  }
  for (const auto& it : lost) {
    StoreBegin(origin, it);
  }
}

void
OutcomeStore::HandleDaemonDead(const std::string& aDaemon)
{
  std::vector<std::string> incarnations;
  for (auto it = mOrigins.lower_bound({ aDaemon, "" });
       it != mOrigins.end() && it->first.first == aDaemon;
       ++it) {
    incarnations.push_back(it->first.second);
  }
  for (const auto& it : incarnations) {
    HandleDaemonDead(aDaemon, it);
  }
}

void
OutcomeStore::HandleDaemonAlive(const std::string& aDaemon,
                                const std::string& aIncarnation)
{
  StateOf({ aDaemon, aIncarnation }).second.mIsDead = false;
}

void
OutcomeStore::Trim()
{
  const Instant limit = mClock.Now() - mLimits.mRetention;
  TrimQueue(mServedArrivals, limit);
  TrimQueue(mOtherArrivals, limit);
  TrimOpen(limit);
  TrimOrigins(mClock.Now() - std::max(kOriginRetention, mLimits.mRetention));
}

std::optional<Explanation>
OutcomeStore::Explain(const std::string& aRequestId) const
{
  const RequestKey key = KeyOfRequest(aRequestId);
  Explanation explanation;
  if (const auto it = mRecords.find(key); it != mRecords.end()) {
    explanation.mEnd =
      UnpackOutcome(it->second.mPacked, it->second.mOrigin->first);
  } else if (const auto open = mOpen.find(key); open != mOpen.end()) {
    explanation.mBegin = open->second.mBegin;
  }
  return explanation.HasRecord() ? std::make_optional(std::move(explanation))
                                 : std::nullopt;
}

std::vector<ReportPart>
OutcomeStore::MakeReportParts(
  const ReportWindow& aWindow,
  const std::function<bool(const std::string&, const std::string&)>& aIsLive)
  const
{
  std::vector<ReportPart> parts;
  for (const auto& [origin, state] : mOrigins) {
    const bool isOwn = origin == mSelf;
    if (!isOwn && aIsLive(origin.first, origin.second)) {
      continue;
    }
    ReportPart part;
    part.mDaemon = origin.first;
    part.mIncarnation = origin.second;
    part.mIsOwn = isOwn;
    part.mCurrent = state.mAggregate.Counts(aWindow.mCurrent);
    part.mBefore = state.mAggregate.Counts(aWindow.mBefore);
    part.mMinutes = state.mAggregate.Minutes(aWindow.mCurrent);
    if (!part.mCurrent.empty() || !part.mBefore.empty()) {
      parts.push_back(std::move(part));
    }
  }
  return parts;
}

OutcomeStore::RequestKey
OutcomeStore::KeyOfRequest(const std::string& aRequestId)
{
  return { Hash64(aRequestId, 0), Hash64(aRequestId, 1) };
}

void
OutcomeStore::Store(const Origin& aOrigin, const OutcomeRecord& aRecord)
{
  const RequestKey key = KeyOfRequest(aRecord.mRequestId);
  if (const auto it = mRecords.find(key); it != mRecords.end()) {
    Correct(it->second, aOrigin, aRecord);
    return;
  }
  auto& [origin, state] = StateOf(aOrigin);
  mOpen.erase(key);
  state.mAggregate.Add(aRecord);
  const bool isServed = aRecord.mStatus == OutcomeStatus::Served;
  auto& queue = isServed ? mServedArrivals : mOtherArrivals;
  queue.emplace_back(mClock.Now(), key);
  mRecords.emplace(key,
                   Entry{ PackOutcome(aRecord),
                          &origin,
                          aRecord.mStatus == OutcomeStatus::Lost });
  EnforceCount();
}

void
OutcomeStore::Correct(Entry& aEntry,
                      const Origin& aOrigin,
                      const OutcomeRecord& aRecord)
{
  // Only the end record of a daemon that was wrongly declared dead replaces a
  // record, namely the one that says "lost".
  if (!aEntry.mIsLost || aRecord.mStatus == OutcomeStatus::Lost ||
      *aEntry.mOrigin != aOrigin) {
    return;
  }
  auto& state = StateOf(aOrigin).second;
  const auto lost = UnpackOutcome(aEntry.mPacked, aOrigin.first);
  if (lost) {
    state.mAggregate.Remove(*lost);
  }
  state.mAggregate.Add(aRecord);
  aEntry.mPacked = PackOutcome(aRecord);
  aEntry.mIsLost = false;
}

void
OutcomeStore::StoreBegin(const Origin& aOrigin, const BeginRecord& aRecord)
{
  const RequestKey key = KeyOfRequest(aRecord.mRequestId);
  if (mRecords.count(key) != 0) {
    return;
  }
  if (StateOf(aOrigin).second.mIsDead) {
    OutcomeRecord lost = MakeLostRecord(aRecord);
    // The request ended at the latest now; its length is not known better.
    lost.mTotal =
      std::max<Duration>(mClock.Wall() - aRecord.mStart, Duration::zero());
    Store(aOrigin, lost);
    return;
  }
  const auto [it, isNew] =
    mOpen.emplace(key, OpenRequest{ aRecord, mClock.Now() });
  if (isNew) {
    mOpenArrivals.emplace_back(mClock.Now(), key);
  }
  while (mOpen.size() > mLimits.mMaxRecords) {
    mDropped += mOpen.erase(mOpenArrivals.front().second);
    mOpenArrivals.pop_front();
  }
}

void
OutcomeStore::TrimQueue(std::deque<Arrival>& aQueue, Instant aLimit)
{
  while (!aQueue.empty() && aQueue.front().first < aLimit) {
    mRecords.erase(aQueue.front().second);
    aQueue.pop_front();
  }
}

/** Forgets copies whose end record never arrived. */
void
OutcomeStore::TrimOpen(Instant aLimit)
{
  while (!mOpenArrivals.empty() && mOpenArrivals.front().first < aLimit) {
    mOpen.erase(mOpenArrivals.front().second);
    mOpenArrivals.pop_front();
  }
  // Arrivals of ended requests stay in the queue until their time is over;
  // this bounds them when requests are short and many.
  if (mOpenArrivals.size() > 2 * mOpen.size() + mLimits.mMaxRecords) {
    mOpenArrivals.erase(std::remove_if(mOpenArrivals.begin(),
                                       mOpenArrivals.end(),
                                       [this](const Arrival& aIt) {
                                         return mOpen.count(aIt.second) == 0;
                                       }),
                        mOpenArrivals.end());
  }
}

void
OutcomeStore::TrimOrigins(Instant aLimit)
{
  const Minute now = MinuteOf(mClock.Wall());
  for (auto it = mOrigins.begin(); it != mOrigins.end();) {
    it->second.mAggregate.Trim(now);
    const bool isOld =
      it->second.mAggregate.empty() && it->second.mLastChange < aLimit;
    it = isOld ? mOrigins.erase(it) : std::next(it);
  }
}

void
OutcomeStore::EnforceCount()
{
  while (mRecords.size() > mLimits.mMaxRecords) {
    auto& queue = mServedArrivals.empty() ? mOtherArrivals : mServedArrivals;
    mDropped += mRecords.erase(queue.front().second);
    queue.pop_front();
  }
}

std::pair<const OutcomeStore::Origin, OutcomeStore::OriginState>&
OutcomeStore::StateOf(const Origin& aOrigin)
{
  const auto it = mOrigins.emplace(aOrigin, OriginState()).first;
  it->second.mLastChange = mClock.Now();
  return *it;
}

} // namespace bulrushfold
