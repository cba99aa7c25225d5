#include "Router/StreamCall.h"

#include <utility>

#include "Net/HttpStatus.h"

namespace bulrushfold {

namespace {
/** Maximum size of an error answer; a longer one counts as interrupted. */
constexpr std::size_t kMaxErrorBytes = 1024 * 1024;

bool
IsEventStream(const HttpHeaders& aHeaders)
{
  constexpr std::string_view kType = "text/event-stream";
  const std::string type = aHeaders.Find("Content-Type").value_or("");
  return type.compare(0, kType.size(), kType) == 0;
}
} // namespace

void
StreamCall::OnAnswerStarted(SendOutcome aOutcome,
                            int aStatus,
                            const HttpHeaders& aHeaders,
                            Instant aNow)
{
  if (mAttempt.mState != StreamState::Starting) {
    return;
  }
  if (aOutcome != SendOutcome::Answered) {
    mDelegate.CancelSend(aOutcome == SendOutcome::Unknown
                           ? SendResult::Interrupted
                           : SendResult::Refused);
    OnAnswerEnded(aOutcome, aNow);
    return;
  }
  AbandonRunAside();
  // The engine has fetched the KV cache and used the reservation.
  mAttempt.mCache.reset();
  mAttempt.mReservation.clear();
  mDelegate.ReleasePrefill(Duration::zero());
  if (aStatus != kHttpOk) {
    mAttempt.mState = StreamState::ReceivingError;
    mErrorAnswer = { aStatus, aHeaders, std::string() };
    return;
  }
  mAttempt.mState = StreamState::Streaming;
  mAttempt.mIsUnframed =
    !aHeaders.Find("Content-Length") && !aHeaders.Find("Transfer-Encoding");
  mAttempt.mMoveSource.clear();
  mDelegate.ReportDecodeStarted();
  mDelegate.WakeAt(mParameters.mCall.mDeadline);
  if (std::exchange(mHasStartedAnswer, true)) {
    mIsSingleRun = false;
  } else {
    mFirstEventAt = aNow;
    if (!IsEventStream(aHeaders)) {
      mRelay.SetMode(RelayMode::Bytes);
    }
    mDelegate.StartAnswer(aStatus, aHeaders);
  }
}

void
StreamCall::OnAnswerData(std::string_view aData, Instant aNow)
{
  if (mAttempt.mState == StreamState::ReceivingError) {
    WatchRun(aNow);
    mErrorAnswer.mBody.append(aData);
    if (mErrorAnswer.mBody.size() > kMaxErrorBytes) {
      mDelegate.CancelSend(SendResult::Interrupted);
      OnAnswerEnded(SendOutcome::Unknown, aNow);
    }
    return;
  }
  if (mAttempt.mState != StreamState::Streaming) {
    return;
  }
  WatchRun(aNow);
  const bool isValid = mRelay.Feed(aData);
  if (!mSoftware && mRelay.Events() > 0) {
    mSoftware = mAttempt.mSoftware;
    mDelegate.ReportVersion(*mSoftware, true);
  }
  if (!isValid) {
    mDelegate.CancelSend(SendResult::Interrupted);
    OnAnswerEnded(SendOutcome::Unknown, aNow);
  }
}

void
StreamCall::OnAnswerEnded(SendOutcome aOutcome, Instant aNow)
{
  if (mAttempt.mState != StreamState::Starting &&
      mAttempt.mState != StreamState::Streaming &&
      mAttempt.mState != StreamState::ReceivingError) {
    return;
  }
  if (mMove && mAttempt.mState == StreamState::Streaming &&
      (aOutcome != SendOutcome::Answered || MayHaveBeenStopped())) {
    mMove->mEnd = aOutcome;
    ContinueMove(aNow);
    return;
  }
  const bool isComplete =
    aOutcome == SendOutcome::Answered && !MayHaveBeenStopped();
  if (mAttempt.mState == StreamState::Streaming && isComplete &&
      !EndsInsideEvent()) {
    if (mIsSingleRun) {
      mDelegate.ReportAnswer(mRelay.Events(), aNow - mFirstEventAt);
    }
    mDelegate.ReleaseDecode();
    mAttempt.mState = StreamState::Finished;
    mDelegate.EndAnswer();
    return;
  }
  if (IsCertainlyNotRun(aOutcome) && ResumeAtSource(aNow)) {
    return;
  }
  const bool hasErrorAnswer =
    mAttempt.mState == StreamState::ReceivingError && isComplete;
  if (!IsCertainlyNotRun(aOutcome)) {
    AbandonRunAside();
    mDelegate.ReportInterruptedRun(mAttempt.mPlacement.mDecode);
  } else if (!mAttempt.mContinuesRun) {
    --mPossibleRuns;
  }
  mIsPromptLost = mIsPromptLost || mAttempt.mPlacement.mCachedTokens > 0;
  mFailedEndpoints.insert(mAttempt.mPlacement.mDecode);
  if (!mRunAside) {
    mRelay.DiscardPartialEvent();
  }
  // A further attempt repeats the decode and, if there was one, the prefill.
  const std::uint32_t repeats =
    (aOutcome == SendOutcome::NotSent ? 0 : 1) + RepeatedPrefills();
  ReleaseAll();
  if (hasErrorAnswer && !mHasStartedAnswer &&
      (!MayRunAgain() || mDelegate.IsPromptRefused() ||
       !mRetryBudget.TryConsume(mParameters.mCall.mService, repeats, aNow))) {
    mAttempt.mState = StreamState::Finished;
    mDelegate.Deliver(mErrorAnswer);
    return;
  }
  if (!ReturnToRunAside(aNow)) {
    Retry(hasErrorAnswer && !mHasStartedAnswer ? 0 : repeats, aNow);
  }
}

} // namespace bulrushfold
