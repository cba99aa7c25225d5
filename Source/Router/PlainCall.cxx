#include "Router/PlainCall.h"

#include <algorithm>
#include <utility>

#include "Base/EnumNames.h"
#include "Net/HttpStatus.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<RefusalReason, 15> kReasonNames{ {
  { RefusalReason::NoConfiguration, "no_configuration" },
  { RefusalReason::NoRoute, "no_route" },
  { RefusalReason::UnknownKey, "unknown_key" },
  { RefusalReason::QuotaExceeded, "quota_exceeded" },
  { RefusalReason::NoEndpoint, "no_endpoint" },
  { RefusalReason::EndpointsFull, "endpoints_full" },
  { RefusalReason::UnknownVersion, "unknown_version" },
  { RefusalReason::AttemptsUsed, "attempts_used" },
  { RefusalReason::RetryBudgetUsed, "retry_budget_used" },
  { RefusalReason::Overload, "overload" },
  { RefusalReason::WaitedTooLong, "waited_too_long" },
  { RefusalReason::CrashSuspect, "crash_suspect" },
  { RefusalReason::Stopping, "stopping" },
  { RefusalReason::Timeout, "timeout" },
  { RefusalReason::OutcomeUnknown, "outcome_unknown" },
} };

/** Maximum sends of one request, including refused ones; limits the retries. */
constexpr std::uint32_t kMaxSends = 6;
constexpr Duration kRetryAfter = std::chrono::milliseconds(200);
/** Minimum time before the deadline for which a further send is worthwhile. */
constexpr Duration kMinUsefulTime = std::chrono::milliseconds(20);
} // namespace

std::string_view
RefusalReasonName(RefusalReason aReason)
{
  return FindEnumName(kReasonNames, aReason);
}

PlainCall::PlainCall(PlainCallDelegate& aDelegate,
                     SharedRetryBudget& aRetryBudget,
                     CallParameters aParameters)
  : mDelegate(aDelegate)
  , mRetryBudget(aRetryBudget)
  , mParameters(std::move(aParameters))
{
}

void
PlainCall::Start(Instant aNow)
{
  mRetryBudget.OnRequest(mParameters.mService, aNow);
  if (aNow < mParameters.mDeadline) {
    mDelegate.WakeAt(mParameters.mDeadline);
    RequestEndpoint(Purpose::FirstSend, false);
  } else {
    Finish();
  }
}

void
PlainCall::RequestEndpoint(Purpose aPurpose, bool aNeedsUntried)
{
  mPurpose = aPurpose;
  PlainDemand demand;
  demand.mService = mParameters.mService;
  demand.mAttempted = mTriedEndpoints;
  demand.mNeedsUntried = aNeedsUntried;
  demand.mTarget = mParameters.mArrival + mParameters.mRoute->mLatencyTarget;
  mDelegate.RequestEndpoint(demand);
}

void
PlainCall::WithdrawRequest()
{
  if (std::exchange(mPurpose, Purpose::None) != Purpose::None) {
    mDelegate.WithdrawRequest();
  }
}

void
PlainCall::OnGranted(const PlainGrant& aGrant, Instant aNow)
{
  const Purpose purpose = std::exchange(mPurpose, Purpose::None);
  mRetryAfter = aGrant.mRetryAfter;
  mIsOverQuota = aGrant.mIsOverQuota;
  if (purpose == Purpose::Replacement) {
    if (!aGrant.mChoice) {
      mDelegate.WakeAt(mParameters.mDeadline);
      return;
    }
    AbandonSend(SendResult::Slow);
  }
  if (aGrant.mChoice) {
    Send(*aGrant.mChoice, aNow);
  } else {
    Finish();
  }
}

bool
PlainCall::MayRunAgain() const
{
  if (mPossibleRuns == 0) {
    return true;
  }
  return mParameters.mRoute->mKind == RequestKind::Idempotent &&
         mPossibleRuns < mParameters.mRoute->mMaxAttempts;
}

void
PlainCall::Send(const EndpointChoice& aChoice, Instant aNow)
{
  ++mSends;
  mTriedEndpoints.insert(aChoice.mEndpoint);
  mIsSending = true;
  // If the request may run again at another endpoint, the send is cancelled at
  // the latency target, because the endpoint may never answer.
  const bool mayTryAnother =
    mParameters.mRoute->mKind == RequestKind::Idempotent &&
    mPossibleRuns + 1 < mParameters.mRoute->mMaxAttempts &&
    aChoice.mCandidateCount > 1;
  const Instant cancelAt = aNow + mParameters.mRoute->mLatencyTarget;
  mDelegate.Send(aChoice, mParameters.mDeadline);
  if (mIsSending) {
    mDelegate.WakeAt(mayTryAnother ? std::min(cancelAt, mParameters.mDeadline)
                                   : mParameters.mDeadline);
  }
}

void
PlainCall::OnSendEnded(SendOutcome aOutcome,
                       EndpointAnswer aAnswer,
                       Instant aNow)
{
  if (mIsFinished) {
    return;
  }
  mIsSending = false;
  mLastOutcome = aOutcome;
  if (!IsCertainlyNotRun(aOutcome)) {
    ++mPossibleRuns;
  }
  if (aOutcome == SendOutcome::Answered) {
    if (aAnswer.mStatus < kHttpFirstServerError || !MayRunAgain()) {
      WithdrawRequest();
      mIsFinished = true;
      mDelegate.Deliver(aAnswer);
      return;
    }
    mErrorAnswer = std::move(aAnswer);
  }
  Retry(aNow);
}

void
PlainCall::Retry(Instant aNow)
{
  if (mPurpose == Purpose::Replacement && MayRunAgain()) {
    // The endpoint that was to replace the send serves the retry.
    mPurpose = Purpose::Retry;
    return;
  }
  WithdrawRequest();
  const bool isUseful = aNow + kMinUsefulTime < mParameters.mDeadline &&
                        mSends < kMaxSends && MayRunAgain() &&
                        !mDelegate.IsCrashSuspect();
  // A send without a connection does not count against the retry budget.
  if (isUseful && (mLastOutcome == SendOutcome::NotSent ||
                   mRetryBudget.TryConsume(mParameters.mService, 1, aNow))) {
    mDelegate.WakeAt(mParameters.mDeadline);
    // An endpoint that refused the request is full; sending the request there
    // again immediately only adds to its load.
    RequestEndpoint(Purpose::Retry, IsCertainlyNotRun(mLastOutcome));
    return;
  }
  Finish();
}

void
PlainCall::OnWake(Instant aNow)
{
  if (mIsFinished) {
    return;
  }
  if (aNow < mParameters.mDeadline) {
    if (mIsSending && mPurpose == Purpose::None) {
      mDelegate.WakeAt(mParameters.mDeadline);
      if (!mDelegate.IsCrashSuspect() &&
          mRetryBudget.TryConsume(mParameters.mService, 1, aNow)) {
        RequestEndpoint(Purpose::Replacement, true);
      }
    }
    return;
  }
  WithdrawRequest();
  if (mIsSending) {
    AbandonSend(SendResult::TimedOut);
    if (mPossibleRuns > 0) {
      FinishWith(
        { kHttpGatewayTimeout, RefusalReason::Timeout, Duration::zero() });
    } else {
      FinishWith({ kHttpUnavailable, RefusalReason::Timeout, kRetryAfter });
    }
  } else {
    Finish();
  }
}

void
PlainCall::AbandonSend(SendResult aReason)
{
  mIsSending = false;
  mLastOutcome = mDelegate.CancelSend(aReason);
  if (!IsCertainlyNotRun(mLastOutcome)) {
    ++mPossibleRuns;
  }
}

void
PlainCall::OnStopEnd(Instant)
{
  if (mIsFinished) {
    return;
  }
  WithdrawRequest();
  if (mIsSending) {
    AbandonSend(SendResult::Answered);
  }
  if (mErrorAnswer) {
    Finish();
  } else if (mPossibleRuns > 0) {
    FinishWith({ kHttpBadGateway, RefusalReason::Stopping, Duration::zero() });
  } else {
    FinishWith({ kHttpUnavailable, RefusalReason::Stopping, kRetryAfter });
  }
}

void
PlainCall::Finish()
{
  if (mErrorAnswer) {
    mIsFinished = true;
    mDelegate.Deliver(*mErrorAnswer);
  } else if (mPossibleRuns > 0) {
    FinishWith(
      { kHttpBadGateway, RefusalReason::OutcomeUnknown, Duration::zero() });
  } else if (mIsOverQuota) {
    FinishWith({ kHttpTooManyRequests,
                 RefusalReason::QuotaExceeded,
                 std::max(kRetryAfter, mRetryAfter) });
  } else {
    FinishWith(
      { kHttpUnavailable,
        mSends == 0 ? RefusalReason::NoEndpoint : RefusalReason::EndpointsFull,
        std::max(kRetryAfter, mRetryAfter) });
  }
}

void
PlainCall::FinishWith(const Refusal& aRefusal)
{
  mIsFinished = true;
  mDelegate.Refuse(aRefusal);
}

} // namespace bulrushfold
