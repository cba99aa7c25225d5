#include "Policy/ReservationLedger.h"

#include <algorithm>
#include <cmath>

namespace bulrushfold {

namespace {
// Earlier repetitions of a reservation request would only add messages.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(5);
constexpr Duration kNoReportRetryDelay = std::chrono::milliseconds(50);
// Maximum age of the measurement in a load report. Also the time until the
// latest start that the ledger assumes for work reported by a claim.
constexpr Duration kHistoryTime = std::chrono::seconds(5);
// A prefill reported by a claim expires after this multiple of its remaining
// time, in addition to the grant term. Claims are renewed every few seconds,
// and three renewals may be lost.
constexpr std::int64_t kRenewalFactor = 3;
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
  EndTerm();
  mTerm = aTerm;
  mIsOwner = true;
  mCollectUntil = aNow + mOptions.mClaimWindow;
}

void
ReservationLedger::EndTerm()
{
  mIsOwner = false;
  mHasReport = false;
  mGrants.clear();
  mDecodeCount = 0;
  mStartedCount = 0;
  mPieces = 0;
  mHasCurrentPrefill = false;
  mStartedHistory.clear();
  mUnaccounted = 0;
  mPreviousUnaccounted = 0;
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
        aRequest, RefuseReason::NotOwner, kNoReportRetryDelay, aNow);
    case State::Collecting:
      return MakeRefusal(
        aRequest, RefuseReason::NotOwner, mCollectUntil - aNow, aNow);
    case State::Owning:
      break;
  }
  Expire(aNow);
  if (!mHasReport) {
    return MakeRefusal(
      aRequest, RefuseReason::NoSlot, kNoReportRetryDelay, aNow);
  }
  const Key key{ aRequest.mRequest, { aRequest.mAttempt, aRequest.mKind } };
  if (mGrants.count(key) > 0) {
    // The entry daemon repeated the request because the reply was lost.
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
  const double inAdvance =
    std::min(std::floor(mOptions.mCompletionShare * expected.mSlots),
             std::floor(mOptions.mMaxAdvanceShare * slots));
  const double used = static_cast<double>(mDecodeCount) + Unaccounted();
  const auto spare = static_cast<double>(aRequest.mMinFreeSlots);
  const double missing = used + spare + 1 - slots;
  const double rate = std::max(expected.mRatePerSecond, 0.1);
  if (missing > inAdvance) {
    return MakeRefusal(aRequest,
                       RefuseReason::NoSlot,
                       FromSeconds((missing - inAdvance) / rate),
                       aNow);
  }
  // Memory is never granted in advance: a KV cache that finds no memory is
  // lost, while one that finds no slot waits for some milliseconds.
  if (mPieces + aRequest.mPieces > mReport.mPiecesTotal) {
    return MakeRefusal(
      aRequest, RefuseReason::NoMemory, FromSeconds(1 / rate), aNow);
  }
  const double excess = used + 1 - slots;
  return MakeGrant(
    aRequest, excess > 0 ? FromSeconds(excess / rate) : Duration::zero(), aNow);
}

ReservationLedger::Completions
ReservationLedger::ExpectCompletions(Duration aPeriod) const
{
  Completions result;
  for (const auto& [key, entry] : mGrants) {
    if (entry.mKind != WorkKind::Decode || !entry.mIsStarted) {
      continue;
    }
    // The lengths of answers vary so much that the elapsed time hardly affects
    // the expected remaining time.
    const double work = std::max(0.001, ToSeconds(entry.mWork));
    const double endProbability = 1 - std::exp(-ToSeconds(aPeriod) / work);
    result.mSlots += endProbability;
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
  refusal.mFreeIn = std::max(kMinRetryDelay, aFreeIn);
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
  } else if (!mHasCurrentPrefill) {
    StartNextPrefill(aNow);
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
      RecordStarted(aNow);
    }
  }
  const bool isCurrentPrefill =
    mHasCurrentPrefill && aEntry->first == mCurrentPrefill;
  const auto next = mGrants.erase(aEntry);
  if (isCurrentPrefill) {
    StartNextPrefill(aNow);
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
ReservationLedger::ApplyClaim(const Claim& aClaim, Instant aNow)
{
  if (!mIsOwner) {
    return;
  }
  const Key key{ aClaim.mRequest, { aClaim.mAttempt, aClaim.mKind } };
  const Duration lifetime =
    mOptions.mGrantTerm + (aClaim.mKind == WorkKind::Decode
                             ? Duration::zero()
                             : kRenewalFactor * aClaim.mRemaining);
  if (const auto it = mGrants.find(key); it != mGrants.end()) {
    Entry& entry = it->second;
    entry.mExpires = aNow + lifetime;
    if (aClaim.mIsStarted && !entry.mIsStarted) {
      entry.mIsStarted = true;
      if (entry.mKind == WorkKind::Decode) {
        ++mStartedCount;
        RecordStarted(aNow);
      } else {
        // The engine has finished this prefill and starts the next one.
        StartNextPrefill(aNow);
      }
    }
    return;
  }
  Entry entry;
  entry.mDaemon = aClaim.mDaemon;
  entry.mKind = aClaim.mKind;
  entry.mPieces = aClaim.mPieces;
  entry.mWork = aClaim.mRemaining;
  entry.mExpires = aNow + lifetime;
  entry.mIsStarted = aClaim.mIsStarted;
  entry.mLatest = aNow + kHistoryTime;
  Add(key, entry, aNow);
  if (entry.mKind == WorkKind::Decode && entry.mIsStarted) {
    RecordStarted(aNow);
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
  mPreviousUnaccounted = mUnaccounted;
  mUnaccounted = std::max(0.0,
                          static_cast<double>(aReport.mRunning) -
                            StartedCountAt(aNow - aReport.mAge));
}

double
ReservationLedger::Unaccounted() const
{
  // A single report may include a stream that has ended but is not yet
  // released, so the lower of two reports counts.
  return std::min(mUnaccounted, mPreviousUnaccounted);
}

void
ReservationLedger::RecordStarted(Instant aNow)
{
  mStartedHistory.emplace_back(aNow, static_cast<double>(mStartedCount));
  while (mStartedHistory.size() > 1 &&
         mStartedHistory[1].first < aNow - kHistoryTime) {
    mStartedHistory.pop_front();
  }
}

double
ReservationLedger::StartedCountAt(Instant aTime) const
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
