#include "Outcome/OutcomeStore.h"

#include <algorithm>

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
  mUnsentBegins.push_back(aRecord.mRequestId);
  StoreBegin(mSelf, aRecord);
}

void
OutcomeStore::End(OutcomeRecord aRecord)
{
  aRecord.mDaemon = mSelf.first;
  mUnsentEnds.push_back(aRecord.mRequestId);
  if (mUnsentEnds.size() > mLimits.mMaxRecords) {
    mUnsentEnds.pop_front();
  }
  Store(mSelf, std::move(aRecord));
}

std::optional<OutcomeRecords>
OutcomeStore::TakeBatch(std::size_t aMaxRecords)
{
  OutcomeRecords batch;
  batch.mDaemon = mSelf.first;
  batch.mIncarnation = mSelf.second;
  std::size_t n = 0;
  for (; n < aMaxRecords && !mUnsentEnds.empty(); mUnsentEnds.pop_front()) {
    const auto it = mRecords.find(mUnsentEnds.front());
    if (it != mRecords.end()) {
      batch.mEnds.push_back(it->second.mRecord);
      ++n;
    }
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
OutcomeStore::RequeueOpen()
{
  mUnsentBegins.clear();
  for (const auto& [id, open] : mOpen) {
    if (open.mBegin.mDaemon == mSelf.first &&
        open.mBegin.mIncarnation == mSelf.second) {
      mUnsentBegins.push_back(id);
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
  StateOf(origin).mIsDead = true;
  std::vector<BeginRecord> lost;
  for (const auto& [id, open] : mOpen) {
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
OutcomeStore::HandleDaemonAlive(const std::string& aDaemon,
                                const std::string& aIncarnation)
{
  StateOf({ aDaemon, aIncarnation }).mIsDead = false;
}

void
OutcomeStore::Trim()
{
  const Instant limit = mClock.Now() - mLimits.mRetention;
  TrimQueue(mServedArrivals, limit);
  TrimQueue(mOtherArrivals, limit);
  TrimOpen(limit);
  TrimOrigins(mClock.Now() - kOriginRetention);
}

std::optional<Explanation>
OutcomeStore::Explain(const std::string& aRequestId) const
{
  Explanation explanation;
  if (const auto it = mRecords.find(aRequestId); it != mRecords.end()) {
    explanation.mEnd = it->second.mRecord;
    return explanation;
  }
  if (const auto it = mOpen.find(aRequestId); it != mOpen.end()) {
    explanation.mBegin = it->second.mBegin;
    return explanation;
  }
  return std::nullopt;
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

void
OutcomeStore::Store(const Origin& aOrigin, OutcomeRecord aRecord)
{
  OriginState& state = StateOf(aOrigin);
  const std::string id = aRecord.mRequestId;
  if (const auto it = mRecords.find(id); it != mRecords.end()) {
    // Only the end record of a daemon that was wrongly declared dead replaces
    // a record, namely the one that says "lost".
    const bool replaces = it->second.mRecord.mStatus == OutcomeStatus::Lost &&
                          aRecord.mStatus != OutcomeStatus::Lost &&
                          it->second.mOrigin == aOrigin;
    if (!replaces) {
      return;
    }
    state.mAggregate.Remove(it->second.mRecord);
    state.mAggregate.Add(aRecord);
    it->second.mRecord = std::move(aRecord);
    return;
  }
  mOpen.erase(id);
  state.mAggregate.Add(aRecord);
  auto& queue =
    aRecord.mStatus == OutcomeStatus::Served ? mServedArrivals : mOtherArrivals;
  queue.emplace_back(mClock.Now(), id);
  mRecords.emplace(id, Entry{ std::move(aRecord), aOrigin, mClock.Now() });
  EnforceCount();
}

void
OutcomeStore::StoreBegin(const Origin& aOrigin, const BeginRecord& aRecord)
{
  if (mRecords.count(aRecord.mRequestId) != 0) {
    return;
  }
  if (StateOf(aOrigin).mIsDead) {
    OutcomeRecord lost = MakeLostRecord(aRecord);
    // The request ended at the latest now; its length is not known better.
    lost.mTotal =
      std::max<Duration>(mClock.Wall() - aRecord.mStart, Duration::zero());
    Store(aOrigin, std::move(lost));
    return;
  }
  const auto [it, isNew] =
    mOpen.emplace(aRecord.mRequestId, OpenRequest{ aRecord, mClock.Now() });
  if (isNew) {
    mOpenArrivals.emplace_back(mClock.Now(), aRecord.mRequestId);
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

OutcomeStore::OriginState&
OutcomeStore::StateOf(const Origin& aOrigin)
{
  OriginState& state = mOrigins[aOrigin];
  state.mLastChange = mClock.Now();
  return state;
}

} // namespace bulrushfold
