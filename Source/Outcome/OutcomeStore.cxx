#include "Outcome/OutcomeStore.h"

#include <algorithm>

#include "Base/Digest.h"

namespace bulrushfold {

namespace {
// Equals the retention of the counts in OutcomeAggregate.
constexpr Duration kOriginRetention = std::chrono::hours(2);
} // namespace

OutcomeStore::OutcomeStore(std::string aDaemon,
                           std::string aIncarnation,
                           OutcomeLimits aLimits,
                           const Clock& aClock)
  : mOwnOrigin(std::move(aDaemon), std::move(aIncarnation))
  , mLimits(aLimits)
  , mClock(aClock)
{
}

void
OutcomeStore::Begin(BeginRecord aRecord)
{
  aRecord.mDaemon = mOwnOrigin.first;
  aRecord.mIncarnation = mOwnOrigin.second;
  mUnsentBegins.push_back(HashRequestId(aRecord.mRequestId));
  StoreBegin(mOwnOrigin, aRecord);
}

void
OutcomeStore::End(OutcomeRecord aRecord)
{
  aRecord.mDaemon = mOwnOrigin.first;
  Store(mOwnOrigin, aRecord);
  mUnsentEnds.push_back(std::move(aRecord));
  if (mUnsentEnds.size() > mLimits.mMaxRecords) {
    mUnsentEnds.pop_front();
  }
}

std::optional<OutcomeRecords>
OutcomeStore::CollectBatch(std::size_t aMaxRecords)
{
  OutcomeRecords batch;
  batch.mDaemon = mOwnOrigin.first;
  batch.mIncarnation = mOwnOrigin.second;
  std::size_t n = 0;
  for (; n < aMaxRecords && !mUnsentEnds.empty(); ++n) {
    batch.mEnds.push_back(std::move(mUnsentEnds.front()));
    mUnsentEnds.pop_front();
  }
  for (; n < aMaxRecords && !mUnsentBegins.empty(); mUnsentBegins.pop_front()) {
    const auto it = mInProgress.find(mUnsentBegins.front());
    if (it != mInProgress.end()) {
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
  for (const auto& [key, request] : mInProgress) {
    if (request.mBegin.mDaemon == mOwnOrigin.first &&
        request.mBegin.mIncarnation == mOwnOrigin.second) {
      mUnsentBegins.push_back(key);
    }
  }
}

void
OutcomeStore::Receive(const OutcomeRecords& aRecords)
{
  const Origin origin{ aRecords.mDaemon, aRecords.mIncarnation };
  if (origin == mOwnOrigin) {
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
  if (origin == mOwnOrigin) {
    return;
  }
  TouchOrigin(origin).second.mIsDead = true;
  std::vector<BeginRecord> lost;
  for (const auto& [key, request] : mInProgress) {
    if (request.mBegin.mDaemon == aDaemon &&
        request.mBegin.mIncarnation == aIncarnation) {
      lost.push_back(request.mBegin);
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
  TouchOrigin({ aDaemon, aIncarnation }).second.mIsDead = false;
}

void
OutcomeStore::Trim()
{
  const Instant limit = mClock.Now() - mLimits.mRetention;
  TrimRecords(mServedArrivals, limit);
  TrimRecords(mNotServedArrivals, limit);
  TrimInProgress(limit);
  TrimOrigins(mClock.Now() - std::max(kOriginRetention, mLimits.mRetention));
}

std::optional<Explanation>
OutcomeStore::Explain(const std::string& aRequestId) const
{
  const RequestKey key = HashRequestId(aRequestId);
  Explanation explanation;
  if (const auto it = mRecords.find(key); it != mRecords.end()) {
    explanation.mEnd =
      UnpackOutcome(it->second.mPacked, it->second.mOrigin->first);
  } else if (const auto request = mInProgress.find(key);
             request != mInProgress.end()) {
    explanation.mBegin = request->second.mBegin;
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
    const bool isOwn = origin == mOwnOrigin;
    if (!isOwn && aIsLive(origin.first, origin.second)) {
      continue;
    }
    ReportPart part;
    part.mDaemon = origin.first;
    part.mIncarnation = origin.second;
    part.mIsOwn = isOwn;
    part.mCurrent = state.mAggregate.Counts(aWindow.mCurrent);
    part.mPrevious = state.mAggregate.Counts(aWindow.mPrevious);
    part.mMinutes = state.mAggregate.Minutes(aWindow.mCurrent);
    if (!part.mCurrent.empty() || !part.mPrevious.empty()) {
      parts.push_back(std::move(part));
    }
  }
  return parts;
}

OutcomeStore::RequestKey
OutcomeStore::HashRequestId(const std::string& aRequestId)
{
  return { Hash64(aRequestId, 0), Hash64(aRequestId, 1) };
}

void
OutcomeStore::Store(const Origin& aOrigin, const OutcomeRecord& aRecord)
{
  const RequestKey key = HashRequestId(aRecord.mRequestId);
  if (const auto it = mRecords.find(key); it != mRecords.end()) {
    ReplaceLost(it->second, aOrigin, aRecord);
    return;
  }
  auto& [origin, state] = TouchOrigin(aOrigin);
  mInProgress.erase(key);
  state.mAggregate.Add(aRecord);
  const bool isServed = aRecord.mStatus == OutcomeStatus::Served;
  auto& queue = isServed ? mServedArrivals : mNotServedArrivals;
  queue.emplace_back(mClock.Now(), key);
  mRecords.emplace(key,
                   StoredRecord{ PackOutcome(aRecord),
                                 &origin,
                                 aRecord.mStatus == OutcomeStatus::Lost });
  EnforceMaxRecords();
}

void
OutcomeStore::ReplaceLost(StoredRecord& aStored,
                          const Origin& aOrigin,
                          const OutcomeRecord& aRecord)
{
  // Only a record with status "lost" can be replaced, by the end record of a
  // daemon that was wrongly declared dead.
  if (!aStored.mIsLost || aRecord.mStatus == OutcomeStatus::Lost ||
      *aStored.mOrigin != aOrigin) {
    return;
  }
  auto& state = TouchOrigin(aOrigin).second;
  const auto lost = UnpackOutcome(aStored.mPacked, aOrigin.first);
  if (lost) {
    state.mAggregate.Remove(*lost);
  }
  state.mAggregate.Add(aRecord);
  aStored.mPacked = PackOutcome(aRecord);
  aStored.mIsLost = false;
}

void
OutcomeStore::StoreBegin(const Origin& aOrigin, const BeginRecord& aRecord)
{
  const RequestKey key = HashRequestId(aRecord.mRequestId);
  if (mRecords.count(key) != 0) {
    return;
  }
  if (TouchOrigin(aOrigin).second.mIsDead) {
    OutcomeRecord lost = MakeLostRecord(aRecord);
    // The time of the end is unknown; the current time is its upper limit.
    lost.mTotal =
      std::max<Duration>(mClock.Wall() - aRecord.mStart, Duration::zero());
    Store(aOrigin, lost);
    return;
  }
  const auto [it, isNew] =
    mInProgress.emplace(key, RequestInProgress{ aRecord, mClock.Now() });
  if (isNew) {
    mInProgressArrivals.emplace_back(mClock.Now(), key);
  }
  while (mInProgress.size() > mLimits.mMaxRecords) {
    mDropped += mInProgress.erase(mInProgressArrivals.front().second);
    mInProgressArrivals.pop_front();
  }
}

void
OutcomeStore::TrimRecords(std::deque<Arrival>& aQueue, Instant aLimit)
{
  while (!aQueue.empty() && aQueue.front().first < aLimit) {
    mRecords.erase(aQueue.front().second);
    aQueue.pop_front();
  }
}

/** Removes begin records whose end record did not arrive before aLimit. */
void
OutcomeStore::TrimInProgress(Instant aLimit)
{
  while (!mInProgressArrivals.empty() &&
         mInProgressArrivals.front().first < aLimit) {
    mInProgress.erase(mInProgressArrivals.front().second);
    mInProgressArrivals.pop_front();
  }
  // Entries of ended requests stay in the queue until they expire. Removing
  // them here limits the queue when there are many short requests.
  if (mInProgressArrivals.size() >
      2 * mInProgress.size() + mLimits.mMaxRecords) {
    mInProgressArrivals.erase(std::remove_if(mInProgressArrivals.begin(),
                                             mInProgressArrivals.end(),
                                             [this](const Arrival& aIt) {
                                               return mInProgress.count(
                                                        aIt.second) == 0;
                                             }),
                              mInProgressArrivals.end());
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
OutcomeStore::EnforceMaxRecords()
{
  while (mRecords.size() > mLimits.mMaxRecords) {
    auto& queue =
      mServedArrivals.empty() ? mNotServedArrivals : mServedArrivals;
    mDropped += mRecords.erase(queue.front().second);
    queue.pop_front();
  }
}

std::pair<const OutcomeStore::Origin, OutcomeStore::OriginState>&
OutcomeStore::TouchOrigin(const Origin& aOrigin)
{
  const auto it = mOrigins.emplace(aOrigin, OriginState()).first;
  it->second.mLastChange = mClock.Now();
  return *it;
}

} // namespace bulrushfold
