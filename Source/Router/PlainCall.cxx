#include "Router/PlainCall.h"

#include <algorithm>
#include <utility>

#include "Base/EnumNames.h"
#include "Net/HttpStatus.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<RefusalReason, 10> kReasonNames{ {
  { RefusalReason::NoConfiguration, "no_configuration" },
  { RefusalReason::NoRoute, "no_route" },
  { RefusalReason::NoEndpoint, "no_endpoint" },
  { RefusalReason::EndpointsFull, "endpoints_full" },
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
                     const PlainSelector& aSelector,
                     SharedRetryBudget& aRetryBudget,
                     CallParameters aParameters)
  : mDelegate(aDelegate)
  , mSelector(aSelector)
  , mRetryBudget(aRetryBudget)
  , mParameters(std::move(aParameters))
{
}

void
PlainCall::Start(Instant aNow)
{
  mRetryBudget.OnRequest(mParameters.mService, aNow);
  const auto choice =
    mSelector.Choose(mParameters.mService, mTriedEndpoints, aNow);
  if (choice && aNow < mParameters.mDeadline) {
    Send(*choice, aNow);
  } else {
    Finish(aNow);
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
  const bool isUseful = aNow + kMinUsefulTime < mParameters.mDeadline &&
                        mSends < kMaxSends && MayRunAgain();
  const auto choice =
    mSelector.Choose(mParameters.mService, mTriedEndpoints, aNow);
  // An endpoint that refused the request is full; sending the request there
  // again immediately only adds to its load.
  const bool hasCandidate =
    choice && !(IsCertainlyNotRun(mLastOutcome) &&
                mTriedEndpoints.count(choice->mEndpoint) > 0);
  // A send without a connection does not count against the retry budget.
  if (isUseful && hasCandidate &&
      (mLastOutcome == SendOutcome::NotSent ||
       mRetryBudget.TryConsume(mParameters.mService, 1, aNow))) {
    Send(*choice, aNow);
    return;
  }
  Finish(aNow);
}

void
PlainCall::OnWake(Instant aNow)
{
  if (mIsFinished || !mIsSending) {
    return;
  }
  const bool isTimeout = aNow >= mParameters.mDeadline;
  const auto choice =
    mSelector.Choose(mParameters.mService, mTriedEndpoints, aNow);
  const bool hasUntriedEndpoint =
    choice && mTriedEndpoints.count(choice->mEndpoint) == 0;
  if (!isTimeout && (!hasUntriedEndpoint ||
                     !mRetryBudget.TryConsume(mParameters.mService, 1, aNow))) {
    mDelegate.WakeAt(mParameters.mDeadline);
    return;
  }
  mIsSending = false;
  mLastOutcome = SendOutcome::Unknown;
  ++mPossibleRuns;
  mDelegate.CancelSend(SendResult::Slow);
  if (isTimeout) {
    FinishWith(
      { kHttpGatewayTimeout, RefusalReason::Timeout, Duration::zero() });
  } else {
    Send(*choice, aNow);
  }
}

void
PlainCall::OnStopEnd(Instant aNow)
{
  if (mIsFinished) {
    return;
  }
  if (std::exchange(mIsSending, false)) {
    ++mPossibleRuns;
    mDelegate.CancelSend(SendResult::Answered);
  }
  if (mErrorAnswer) {
    Finish(aNow);
  } else if (mPossibleRuns > 0) {
    FinishWith({ kHttpBadGateway, RefusalReason::Stopping, Duration::zero() });
  } else {
    FinishWith({ kHttpUnavailable, RefusalReason::Stopping, kRetryAfter });
  }
}

void
PlainCall::Finish(Instant aNow)
{
  if (mErrorAnswer) {
    mIsFinished = true;
    mDelegate.Deliver(*mErrorAnswer);
  } else if (mPossibleRuns > 0) {
    FinishWith(
      { kHttpBadGateway, RefusalReason::OutcomeUnknown, Duration::zero() });
  } else {
    const Instant accepted =
      mSelector.FirstBackoffEnd(mParameters.mService).value_or(aNow);
    FinishWith(
      { kHttpUnavailable,
        mSends == 0 ? RefusalReason::NoEndpoint : RefusalReason::EndpointsFull,
        std::max(kRetryAfter, accepted - aNow) });
  }
}

void
PlainCall::FinishWith(const Refusal& aRefusal)
{
  mIsFinished = true;
  mDelegate.Refuse(aRefusal);
}

} // namespace bulrushfold
