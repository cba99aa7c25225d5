#include "Policy/ReservationLedger.h"

#include <algorithm>
#include <cmath>

namespace bulrushfold {

namespace {
// Asking again sooner than this would only cost messages.
constexpr Duration kMinRetry = std::chrono::milliseconds(5);
constexpr Duration kNoReportRetry = std::chrono::milliseconds(50);
// Load readings are not older than this.
constexpr Duration kHistory = std::chrono::seconds(5);
// Renewals come every few seconds; three of them may be lost.
constexpr std::int64_t kRenewalMargin = 3;
} // namespace

ReservationLedger::ReservationLedger(std::string aEndpoint,
                                     const LedgerOptions& aOptions)
  : mEndpoint(std::move(aEndpoint))
  , mOptions(aOptions)
{
}

void
ReservationLedger::Acquire(std::uint64_t aTerm, Instant aNow)
{
  if (aTerm <= mTerm) {
    return;
  }
  Depose();
  mTerm = aTerm;
  mIsOwner = true;
  mCollectUntil = aNow + mOptions.mClaimWindow;
}

void
ReservationLedger::Depose()
{
  mIsOwner = false;
  mHasReport = false;
  mGrants.clear();
  mDecodeCount = 0;
  mStartedCount = 0;
  mPieces = 0;
  mHasHead = false;
  mStartedHistory.clear();
  mForeign = 0;
  mForeignBefore = 0;
}

ReservationLedger::State
ReservationLedger::CurrentState(Instant aNow) const
{
  if (!mIsOwner) {
    return State::NotOwner;
  }
  return aNow < mCollectUntil ? State::Collecting : State::Owning;
}

std::uint64_t
ReservationLedger::Slots() const
{
  return static_cast<std::uint64_t>(
    std::floor(static_cast<double>(mReport.mSlots) * mOptions.mSlotShare));
}

std::variant<Grant, Refusal>
ReservationLedger::Reserve(const ReserveRequest& aRequest, Instant aNow)
{
  switch (CurrentState(aNow)) {
    case State::NotOwner:
      return MakeRefusal(
        aRequest, RefuseReason::NotOwner, kNoReportRetry, aNow);
    case State::Collecting:
      return MakeRefusal(
        aRequest, RefuseReason::NotOwner, mCollectUntil - aNow, aNow);
    case State::Owning:
      break;
  }
  Expire(aNow);
  if (!mHasReport) {
    return MakeRefusal(aRequest, RefuseReason::NoSlot, kNoReportRetry, aNow);
  }
  const Key key{ aRequest.mRequest, { aRequest.mAttempt, aRequest.mKind } };
  if (mGrants.count(key) > 0) {
    // The reply was lost and the request was sent again.
    return DescribeGrant(aRequest, aNow);
  }
  return aRequest.mKind == WorkKind::Prefill ? ReservePrefill(aRequest, aNow)
                                             : ReserveDecode(aRequest, aNow);
}

std::variant<Grant, Refusal>
ReservationLedger::ReserveDecode(const ReserveRequest& aRequest, Instant aNow)
{
  const auto slots = static_cast<double>(Slots());
  const auto expected = ExpectCompletions(aRequest.mReadyIn);
  const double ahead =
    std::min(std::floor(mOptions.mAheadShare * expected.mSlots),
             std::floor(mOptions.mMaxAhead * slots));
  const double used = static_cast<double>(mDecodeCount) + Foreign();
  const auto spare = static_cast<double>(aRequest.mMinFreeSlots);
  const double missing = used + spare + 1 - slots;
  const double rate = std::max(expected.mRatePerSecond, 0.1);
  if (missing > ahead) {
    return MakeRefusal(aRequest,
                       RefuseReason::NoSlot,
                       FromSeconds((missing - ahead) / rate),
                       aNow);
  }
  // Memory is never promised ahead: a cache that finds none is lost, while one
  // that finds no slot waits some milliseconds.
  if (mPieces + aRequest.mPieces > mReport.mPiecesTotal) {
    return MakeRefusal(
      aRequest, RefuseReason::NoMemory, FromSeconds(1 / rate), aNow);
  }
  const double over = used + 1 - slots;
  return MakeGrant(
    aRequest, over > 0 ? FromSeconds(over / rate) : Duration::zero(), aNow);
}

ReservationLedger::Completions
ReservationLedger::ExpectCompletions(Duration aSpan) const
{
  Completions result;
  for (const auto& [key, entry] : mGrants) {
    if (entry.mKind != WorkKind::Decode || !entry.mIsStarted) {
      continue;
    }
    // The lengths of answers vary so much that the time already spent says
    // little about the time that remains.
    const double work = std::max(0.001, ToSeconds(entry.mWork));
    const double ends = 1 - std::exp(-ToSeconds(aSpan) / work);
    result.mSlots += ends;
    result.mRatePerSecond += 1 / work;
  }
  return result;
}

Grant
ReservationLedger::MakeGrant(const ReserveRequest& aRequest,
                             Duration aFreeIn,
                             Instant aNow)
{
  Entry entry;
  entry.mDaemon = aRequest.mDaemon;
  entry.mKind = aRequest.mKind;
  entry.mPieces = aRequest.mPieces;
  entry.mWork = aRequest.mWork;
  const Duration term = mOptions.mGrantTerm + aFreeIn + aRequest.mReadyIn;
  entry.mExpires = aNow + term;
  entry.mPriority = aRequest.mPriority;
  entry.mLatest =
    aNow + std::max({ aFreeIn, aRequest.mLatestIn, aRequest.mDueIn });
  Add(
    { aRequest.mRequest, { aRequest.mAttempt, aRequest.mKind } }, entry, aNow);
  Grant grant = DescribeGrant(aRequest, aNow);
  grant.mExpiresIn = term;
  grant.mFreeIn = aFreeIn;
  return grant;
}

Grant
ReservationLedger::DescribeGrant(const ReserveRequest& aRequest,
                                 Instant aNow) const
{
  Grant grant;
  grant.mRequest = aRequest.mRequest;
  grant.mAttempt = aRequest.mAttempt;
  grant.mEndpoint = mEndpoint;
  grant.mKind = aRequest.mKind;
  grant.mTerm = mTerm;
  grant.mExpiresIn = mOptions.mGrantTerm;
  grant.mBacklog = PrefillBacklog(aNow);
  return grant;
}

Refusal
ReservationLedger::MakeRefusal(const ReserveRequest& aRequest,
                               RefuseReason aReason,
                               Duration aFreeIn,
                               Instant aNow) const
{
  Refusal refusal;
  refusal.mRequest = aRequest.mRequest;
  refusal.mAttempt = aRequest.mAttempt;
  refusal.mEndpoint = mEndpoint;
  refusal.mKind = aRequest.mKind;
  refusal.mReason = aReason;
  refusal.mFreeIn = std::max(kMinRetry, aFreeIn);
  refusal.mBacklog = PrefillBacklog(aNow);
  return refusal;
}

void
ReservationLedger::Add(const Key& aKey, const Entry& aEntry, Instant aNow)
{
  Entry& entry = mGrants[aKey];
  entry = aEntry;
  entry.mOrder = mNextOrder++;
  mPieces += entry.mPieces;
  if (entry.mKind == WorkKind::Decode) {
    ++mDecodeCount;
    mStartedCount += entry.mIsStarted ? 1 : 0;
  } else if (!mHasHead) {
    NextHead(aNow);
  }
}

ReservationLedger::Entries::iterator
ReservationLedger::Remove(Entries::iterator aEntry, Instant aNow)
{
  const Entry& entry = aEntry->second;
  mPieces -= entry.mPieces;
  if (entry.mKind == WorkKind::Decode) {
    --mDecodeCount;
    if (entry.mIsStarted) {
      --mStartedCount;
      NoteStarted(aNow);
    }
  }
  const bool isHead = mHasHead && aEntry->first == mHead;
  const auto next = mGrants.erase(aEntry);
  if (isHead) {
    NextHead(aNow);
  }
  return next;
}

void
ReservationLedger::Release(const std::string& aRequest,
                           std::uint32_t aAttempt,
                           WorkKind aKind,
                           Instant aNow)
{
  if (const auto it = mGrants.find({ aRequest, { aAttempt, aKind } });
      it != mGrants.end()) {
    Remove(it, aNow);
  }
}

void
ReservationLedger::Adopt(const Claim& aClaim, Instant aNow)
{
  if (!mIsOwner) {
    return;
  }
  const Key key{ aClaim.mRequest, { aClaim.mAttempt, aClaim.mKind } };
  const Duration life =
    mOptions.mGrantTerm + (aClaim.mKind == WorkKind::Decode
                             ? Duration::zero()
                             : kRenewalMargin * aClaim.mRemaining);
  if (const auto it = mGrants.find(key); it != mGrants.end()) {
    Entry& entry = it->second;
    entry.mExpires = aNow + life;
    if (aClaim.mIsStarted && !entry.mIsStarted) {
      entry.mIsStarted = true;
      if (entry.mKind == WorkKind::Decode) {
        ++mStartedCount;
        NoteStarted(aNow);
      } else {
        // The engine has just finished one prefill and begins the next.
        NextHead(aNow);
      }
    }
    return;
  }
  Entry entry;
  entry.mDaemon = aClaim.mDaemon;
  entry.mKind = aClaim.mKind;
  entry.mPieces = aClaim.mPieces;
  entry.mWork = aClaim.mRemaining;
  entry.mExpires = aNow + life;
  entry.mIsStarted = aClaim.mIsStarted;
  entry.mLatest = aNow + kHistory;
  Add(key, entry, aNow);
  if (entry.mKind == WorkKind::Decode && entry.mIsStarted) {
    NoteStarted(aNow);
  }
}

void
ReservationLedger::OnLoadReport(const LoadReport& aReport, Instant aNow)
{
  if (!mIsOwner) {
    return;
  }
  mReport = aReport;
  mHasReport = true;
  mForeignBefore = mForeign;
  mForeign = std::max(0.0,
                      static_cast<double>(aReport.mRunning) -
                        StartedAt(aNow - aReport.mAge));
}

double
ReservationLedger::Foreign() const
{
  // A single reading may catch a stream between its end and its release.
  return std::min(mForeign, mForeignBefore);
}

void
ReservationLedger::NoteStarted(Instant aNow)
{
  mStartedHistory.emplace_back(aNow, static_cast<double>(mStartedCount));
  while (mStartedHistory.size() > 1 &&
         mStartedHistory[1].first < aNow - kHistory) {
    mStartedHistory.pop_front();
  }
}

double
ReservationLedger::StartedAt(Instant aTime) const
{
  double started = mStartedHistory.empty() ? 0 : mStartedHistory.front().second;
  for (const auto& [at, count] : mStartedHistory) {
    if (at > aTime) {
      break;
    }
    started = count;
  }
  return started;
}

void
ReservationLedger::ReleaseDaemon(const std::string& aDaemon, Instant aNow)
{
  for (auto it = mGrants.begin(); it != mGrants.end();) {
    it = it->second.mDaemon == aDaemon ? Remove(it, aNow) : std::next(it);
  }
}

void
ReservationLedger::Expire(Instant aNow)
{
  for (auto it = mGrants.begin(); it != mGrants.end();) {
    it = it->second.mExpires <= aNow ? Remove(it, aNow) : std::next(it);
  }
}

} // namespace bulrushfold
