#include "Router/StreamCall.h"

#include <algorithm>
#include <utility>

#include "Net/HttpStatus.h"

namespace bulrushfold {

namespace {
/** Placements of one stream; bounds a loop of refusals. */
constexpr std::uint32_t kMaxPlacements = 40;
constexpr Duration kRetryAfter = std::chrono::milliseconds(500);
} // namespace

std::uint32_t
StreamCall::RepeatsToDecode() const
{
  return mPlacement.mPrefill.empty() ? 0 : 1;
}

bool
StreamCall::MayRunAgain() const
{
  if (mRuns == 0) {
    return true;
  }
  const Route& route = *mTerms.mCall.mRoute;
  return route.mIsResumable && mRuns < route.mMaxAttempts;
}

void
StreamCall::Retry(std::uint32_t aRepeats, Instant aNow)
{
  const bool isUseful = aNow < mTerms.mCall.mDeadline &&
                        mPlacements < kMaxPlacements && MayRunAgain();
  if (isUseful &&
      mRetryBudget.TryConsume(mTerms.mCall.mService, aRepeats, aNow)) {
    Submit(aNow);
    return;
  }
  Finish(RefusalReason::EndpointsFull, false);
}

void
StreamCall::ReleaseAll()
{
  mPort.ReleasePrefill(Duration::zero());
  mPort.ReleaseDecode();
  if (mCache) {
    mPort.DropCache(*mCache);
    mCache.reset();
  }
  if (!mReservation.empty()) {
    mPort.DropReservation(mPlacement.mDecode, mReservation);
    mReservation.clear();
  }
}

void
StreamCall::Finish(RefusalReason aReason, bool aIsTimeout)
{
  mState = StreamState::Over;
  if (mHasAnswer) {
    mPort.BreakAnswer(aReason);
  } else if (mRuns > 0) {
    mPort.Refuse(
      { aIsTimeout ? kHttpGatewayTimeout : kHttpBadGateway,
        aIsTimeout ? RefusalReason::Timeout : RefusalReason::OutcomeUnknown,
        Duration::zero() });
  } else {
    mPort.Refuse({ kHttpUnavailable, aReason, kRetryAfter });
  }
}

void
StreamCall::HandleStall(Instant aNow)
{
  switch (mState) {
    case StreamState::Reserving:
      mPort.CancelSend(SendResult::Slow);
      OnReserved("", aNow);
      return;
    case StreamState::Prefilling:
      mPort.CancelSend(SendResult::Slow);
      OnPrefilled(SendEnd::Unknown, {}, Duration::zero(), aNow);
      return;
    case StreamState::Starting:
    case StreamState::Streaming:
    case StreamState::Failing:
      mMove.reset();
      // A silent engine is not asked again for this stream.
      mIsPromptLost = true;
      mPort.CancelSend(SendResult::Slow);
      OnAnswerEnded(SendEnd::Unknown, aNow);
      return;
    case StreamState::Waiting:
    case StreamState::Over:
      return;
  }
}

void
StreamCall::OnWake(Instant aNow)
{
  if (mState == StreamState::Over) {
    return;
  }
  if (aNow < mTerms.mCall.mDeadline) {
    HandleStall(aNow);
    return;
  }
  if (mState == StreamState::Waiting) {
    mPort.WithdrawPlacement();
  } else {
    if (mState != StreamState::Reserving && mState != StreamState::Prefilling) {
      ++mRuns;
    }
    mPort.CancelSend(SendResult::Slow);
  }
  ReleaseAll();
  Finish(RefusalReason::Timeout, true);
}

void
StreamCall::OnCallerGone(Instant)
{
  if (mState == StreamState::Over) {
    return;
  }
  if (mState == StreamState::Waiting) {
    mPort.WithdrawPlacement();
  } else {
    mPort.CancelSend(SendResult::Answered);
  }
  if (mState == StreamState::Streaming) {
    mPort.NoteBroken(mPlacement.mDecode);
  }
  ReleaseAll();
  mState = StreamState::Over;
}

} // namespace bulrushfold
