#include "Router/StreamCall.h"

#include <utility>

namespace bulrushfold {

namespace {
/** Sends of a replacement: a prefill and a decode. */
constexpr std::uint32_t kReplacementSends = 2;
} // namespace

std::optional<RefusalReason>
StreamCall::ReplacementObstacle(Instant aNow)
{
  if (!MayRunAgain()) {
    return RefusalReason::AttemptsUsed;
  }
  if (mPlacementCount >= kMaxPlacements) {
    return RefusalReason::EndpointsFull;
  }
  if (mDelegate.IsPromptRefused()) {
    return RefusalReason::CrashSuspect;
  }
  if (!mRetryBudget.Allows(
        mParameters.mCall.mService, kReplacementSends, aNow)) {
    return RefusalReason::RetryBudgetUsed;
  }
  return std::nullopt;
}

void
StreamCall::HandleSilence(Instant aNow)
{
  if (mDelegate.IsReadPaused()) {
    SetStallTimeout(kStallTimeout, aNow);
    return;
  }
  const auto obstacle = ReplacementObstacle(aNow);
  mDelegate.ReportSilence(obstacle);
  if (obstacle) {
    SetStallTimeout(kStallTimeout, aNow);
    return;
  }
  mFailedEndpoints.insert(mAttempt.mPlacement.mDecode);
  mRunAside = std::exchange(mAttempt, Attempt());
  mIsReplacementCounted = false;
  mDelegate.SetRunAside();
  Submit(aNow);
}

bool
StreamCall::CountReplacement(Instant aNow)
{
  if (!mRunAside || mIsReplacementCounted) {
    return true;
  }
  mIsReplacementCounted = mRetryBudget.TryConsume(
    mParameters.mCall.mService, 1 + RepeatedPrefills(), aNow);
  return mIsReplacementCounted;
}

void
StreamCall::DropReplacement()
{
  if (!mRunAside) {
    return;
  }
  if (mAttempt.mState == StreamState::Waiting) {
    mDelegate.WithdrawPlacement();
  } else {
    mDelegate.CancelSend(SendResult::Answered);
  }
  ReleaseAll();
  mIsReplacementSent = false;
  mAttempt = *std::exchange(mRunAside, std::nullopt);
  mDelegate.ReturnToRun();
}

void
StreamCall::OnRunHeard(Instant aNow)
{
  if (mIsReplacementSent) {
    AbandonRunAside();
    WatchRun(aNow);
  } else if (mRunAside) {
    DropReplacement();
    SetStallTimeout(kStallTimeout, aNow);
  }
}

bool
StreamCall::ReturnToRunAside(Instant aNow)
{
  if (!std::exchange(mIsReplacementSent, false)) {
    return false;
  }
  mDelegate.SetRunAsideReading(true);
  if (!mMove || !mMove->mAnswer) {
    return false;
  }
  OnRunHeard(aNow);
  ContinueMove(aNow);
  return true;
}

void
StreamCall::AbandonRunAside()
{
  if (!mRunAside) {
    return;
  }
  const Attempt run = *std::exchange(mRunAside, std::nullopt);
  mIsReplacementSent = false;
  mDelegate.CancelRunAside();
  if (run.mCache) {
    mDelegate.DropCache(*run.mCache);
  }
  if (!run.mReservation.empty()) {
    mDelegate.DropReservation(run.mPlacement.mDecode, run.mReservation);
  }
  DropMove();
  mDelegate.ReportInterruptedRun(run.mPlacement.mDecode);
  // The stream does not return to an engine that stopped responding, even if
  // its cache has the prompt.
  mIsPromptLost = true;
  mRelay.DiscardPartialEvent();
}

} // namespace bulrushfold
