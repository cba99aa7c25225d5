#include "Router/StreamCall.h"

#include <algorithm>
#include <utility>

#include "Net/HttpStatus.h"

namespace bulrushfold {

namespace {
constexpr Duration kRetryAfter = std::chrono::milliseconds(500);
/** Callers that are refused during a burst are asked to retry after it. */
constexpr Duration kOverloadRetryAfter = std::chrono::milliseconds(2500);
} // namespace

std::uint32_t
StreamCall::RepeatedPrefills() const
{
  return mAttempt.mPlacement.mPrefill.empty() ? 0 : 1;
}

bool
StreamCall::MayRunAgain() const
{
  if (mPossibleRuns == 0) {
    return true;
  }
  const Route& route = *mParameters.mCall.mRoute;
  return route.mIsResumable && mRelay.MayContinue() &&
         mPossibleRuns < route.mMaxAttempts;
}

bool
StreamCall::MayPrefillAgain(Instant aNow)
{
  return mPlacementCount < kMaxPlacements && aNow < QueueDeadline(aNow) &&
         mRetryBudget.Allows(mParameters.mCall.mService, 1, aNow);
}

bool
StreamCall::EndIfPromptRefused(Instant aNow)
{
  if (!mDelegate.IsPromptRefused()) {
    return false;
  }
  ReleaseAll();
  FailAttempt(RefusalReason::CrashSuspect, aNow);
  return true;
}

void
StreamCall::Retry(std::uint32_t aRepeatedSends, Instant aNow)
{
  if (EndIfPromptRefused(aNow)) {
    return;
  }
  if (aNow >= mParameters.mCall.mDeadline ||
      mPlacementCount >= kMaxPlacements) {
    FailAttempt(RefusalReason::EndpointsFull, aNow);
  } else if (!MayRunAgain()) {
    FailAttempt(RefusalReason::AttemptsUsed, aNow);
  } else if (!mRetryBudget.TryConsume(
               mParameters.mCall.mService, aRepeatedSends, aNow)) {
    FailAttempt(RefusalReason::RetryBudgetUsed, aNow);
  } else {
    Submit(aNow);
  }
}

void
StreamCall::ReleaseAll()
{
  mDelegate.ReleasePrefill(Duration::zero());
  mDelegate.ReleaseDecode();
  if (mAttempt.mCache) {
    mDelegate.DropCache(*mAttempt.mCache);
    mAttempt.mCache.reset();
  }
  if (!mAttempt.mReservation.empty()) {
    mDelegate.DropReservation(mAttempt.mPlacement.mDecode,
                              mAttempt.mReservation);
    mAttempt.mReservation.clear();
  }
}

void
StreamCall::FailAttempt(RefusalReason aReason,
                        Instant aNow,
                        Duration aMinRetryAfter)
{
  if (mRunAside) {
    DropReplacement();
    SetStallTimeout(kStallTimeout, aNow);
  } else {
    Finish(aReason, aMinRetryAfter);
  }
}

void
StreamCall::Finish(RefusalReason aReason, Duration aMinRetryAfter)
{
  mAttempt.mState = StreamState::Finished;
  const bool isTimeout = aReason == RefusalReason::Timeout;
  if (mHasStartedAnswer) {
    mDelegate.AbortAnswer(aReason);
  } else if (mPossibleRuns > 0) {
    const bool isNamed = isTimeout || aReason == RefusalReason::Stopping;
    mDelegate.Refuse({ isTimeout ? kHttpGatewayTimeout : kHttpBadGateway,
                       isNamed ? aReason : RefusalReason::OutcomeUnknown,
                       Duration::zero() });
  } else {
    // A retry does not help a prompt that crashes engines, nor a stream whose
    // version no daemon knows.
    const bool isRetryUseful = aReason != RefusalReason::CrashSuspect &&
                               aReason != RefusalReason::UnknownVersion;
    const bool isOverQuota = aReason == RefusalReason::QuotaExceeded;
    mDelegate.Refuse({ isOverQuota ? kHttpTooManyRequests : kHttpUnavailable,
                       aReason,
                       isRetryUseful ? std::max(kRetryAfter, aMinRetryAfter)
                                     : Duration::zero() });
  }
}

void
StreamCall::HandleStall(Instant aNow)
{
  switch (mAttempt.mState) {
    case StreamState::Reserving:
      mDelegate.CancelSend(SendResult::Slow);
      OnReserved("", aNow);
      return;
    case StreamState::Prefilling:
      if (!MayPrefillAgain(aNow)) {
        // The engine may go on, and no other one may be tried.
        SetStallTimeout(kPrefillTimeout, aNow);
        return;
      }
      mDelegate.CancelSend(SendResult::Slow);
      OnPrefilled(SendOutcome::Unknown, {}, Duration::zero(), aNow);
      return;
    case StreamState::Starting:
      if (mIsReplacementSent) {
        AbandonRunAside();
        WatchRun(aNow);
        return;
      }
      HandleSilence(aNow);
      return;
    case StreamState::Streaming:
    case StreamState::ReceivingError:
      HandleSilence(aNow);
      return;
    case StreamState::Waiting:
    case StreamState::Finished:
      return;
  }
}

void
StreamCall::OnWake(Instant aNow)
{
  if (mAttempt.mState == StreamState::Finished) {
    return;
  }
  if (aNow < mParameters.mCall.mDeadline) {
    HandleStall(aNow);
    return;
  }
  EndEarly(RefusalReason::Timeout, SendResult::TimedOut);
}

void
StreamCall::OnStopEnd()
{
  if (mAttempt.mState == StreamState::Finished) {
    return;
  }
  DropReplacement();
  if (mAttempt.mState == StreamState::Streaming) {
    mDelegate.ReportInterruptedRun(mAttempt.mPlacement.mDecode);
  }
  EndEarly(RefusalReason::Stopping, SendResult::Answered);
}

void
StreamCall::OnCallerDisconnected(Instant)
{
  if (mAttempt.mState == StreamState::Finished) {
    return;
  }
  DropReplacement();
  if (mAttempt.mState == StreamState::Streaming) {
    mDelegate.ReportInterruptedRun(mAttempt.mPlacement.mDecode);
  }
  CancelStep(SendResult::Answered);
  mAttempt.mState = StreamState::Finished;
}

void
StreamCall::EndEarly(RefusalReason aReason, SendResult aSendResult)
{
  DropReplacement();
  CancelStep(aSendResult);
  Finish(aReason);
}

void
StreamCall::CancelStep(SendResult aSendResult)
{
  if (mAttempt.mState == StreamState::Waiting) {
    mDelegate.WithdrawPlacement();
  } else {
    mDelegate.CancelSend(aSendResult);
  }
  DropMove();
  ReleaseAll();
}

void
StreamCall::OnOverload(Instant aNow)
{
  if (mAttempt.mState != StreamState::Waiting) {
    return;
  }
  if (mRunAside || mHasStartedAnswer || mPossibleRuns > 0) {
    FailAttempt(RefusalReason::Overload, aNow);
  } else {
    RefuseForOverload();
  }
}

void
StreamCall::RefuseForOverload()
{
  mAttempt.mState = StreamState::Finished;
  mDelegate.Refuse(
    { kHttpUnavailable, RefusalReason::Overload, kOverloadRetryAfter });
}

} // namespace bulrushfold
