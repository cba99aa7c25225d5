#include "Router/StreamCall.h"

#include <utility>

namespace bulrushfold {

namespace {
constexpr std::uint32_t kMaxMoves = 3;
} // namespace

void
StreamCall::StartMove(const std::string& aTarget, Instant aNow)
{
  if (mAttempt.mState != StreamState::Streaming || mMove ||
      mMoveCount >= kMaxMoves || mRelay.Events() == 0 ||
      mRelay.LastId().empty() || !MayContinueAt(aTarget) ||
      !mRetryBudget.TryConsume(mParameters.mCall.mService, 1, aNow)) {
    return;
  }
  ++mMoveCount;
  mMove = RunMove{ mAttempt.mPlacement.mDecode, aTarget, {}, {} };
  mDelegate.ReportMoved(aTarget);
  mDelegate.Move(mAttempt.mPlacement.mDecode, aTarget);
}

void
StreamCall::OnMoveAnswered(const MoveAnswer& aAnswer, Instant aNow)
{
  if (!mMove) {
    if (aAnswer.mCache) {
      mDelegate.DropCache(*aAnswer.mCache);
    }
    return;
  }
  mMove->mAnswer = aAnswer;
  if (!mIsReplacementSent) {
    OnRunHeard(aNow);
    ContinueMove(aNow);
  }
}

void
StreamCall::ContinueMove(Instant aNow)
{
  if (!mMove->mAnswer) {
    return;
  }
  if (!mMove->mAnswer->mCache) {
    const RunMove move = *std::exchange(mMove, std::nullopt);
    mAttempt.mMayBeStopped =
      mAttempt.mMayBeStopped || move.mAnswer->mOutcome == MoveOutcome::Unknown;
    mDelegate.ReportMoved(move.mSource);
    if (move.mEnd) {
      OnAnswerEnded(*move.mEnd, aNow);
    } else {
      WatchRun(aNow);
    }
    return;
  }
  if (!mMove->mEnd) {
    return;
  }
  const RunMove move = *std::exchange(mMove, std::nullopt);
  mRelay.DiscardPartialEvent();
  mAttempt.mCache = move.mAnswer->mCache;
  mAttempt.mContinuesRun = true;
  mAttempt.mPlacement.mPrefill.clear();
  // The source keeps its cache after the copy.
  const bool usesTarget = move.mAnswer->mOutcome == MoveOutcome::Copied &&
                          mDelegate.IsUsable(move.mTarget) &&
                          MayContinueAt(move.mTarget);
  mAttempt.mPlacement.mDecode = usesTarget ? move.mTarget : move.mSource;
  mAttempt.mMoveSource = usesTarget ? move.mSource : std::string();
  mDelegate.ReportMoved(mAttempt.mPlacement.mDecode);
  if (!mDelegate.CanReceive(mAttempt.mPlacement.mDecode)) {
    // Neither target nor source accepts the run, so its KV cache is lost.
    mFailedEndpoints.insert(mAttempt.mPlacement.mDecode);
    ReleaseAll();
    Retry(1, aNow);
    return;
  }
  SendDecode(aNow);
}

void
StreamCall::DropMove()
{
  const auto move = std::exchange(mMove, std::nullopt);
  if (move && move->mAnswer && move->mAnswer->mCache) {
    mDelegate.DropCache(*move->mAnswer->mCache);
  }
}

bool
StreamCall::ResumeAtSource(Instant aNow)
{
  if (mAttempt.mState != StreamState::Starting ||
      mAttempt.mMoveSource.empty() || !mAttempt.mCache ||
      !mDelegate.CanReceive(mAttempt.mMoveSource) ||
      !MayContinueAt(mAttempt.mMoveSource) ||
      !mRetryBudget.TryConsume(mParameters.mCall.mService, 1, aNow)) {
    return false;
  }
  mAttempt.mPlacement.mDecode =
    std::exchange(mAttempt.mMoveSource, std::string());
  mDelegate.ReportMoved(mAttempt.mPlacement.mDecode);
  SendDecode(aNow);
  return true;
}

} // namespace bulrushfold
