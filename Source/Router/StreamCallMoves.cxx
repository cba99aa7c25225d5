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
      mRelay.LastId().empty() ||
      !mRetryBudget.TryConsume(mParameters.mCall.mService, 1, aNow)) {
    return;
  }
  ++mMoveCount;
  mMove =
    RunMove{ mAttempt.mPlacement.mDecode, aTarget, false, false, {}, false };
  mDelegate.ReportMoved(aTarget);
  mDelegate.Move(mAttempt.mPlacement.mDecode, aTarget);
}

void
StreamCall::OnMoveAnswered(const std::optional<KvCache>& aCache,
                           bool aIsCopied,
                           Instant aNow)
{
  OnRunHeard(aNow);
  if (!mMove) {
    if (aCache) {
      mDelegate.DropCache(*aCache);
    }
    return;
  }
  mMove->mIsAnswered = true;
  mMove->mCache = aCache;
  mMove->mIsCopied = aIsCopied;
  ContinueMove(aNow);
}

void
StreamCall::ContinueMove(Instant aNow)
{
  if (mMove->mIsAnswered && !mMove->mCache) {
    // The source did not stop the run, which continues there or has ended.
    const RunMove move = *std::exchange(mMove, std::nullopt);
    mDelegate.ReportMoved(move.mSource);
    if (move.mHasEnded) {
      OnAnswerEnded(SendOutcome::Unknown, aNow);
    } else {
      WatchRun(aNow);
    }
    return;
  }
  if (!mMove->mIsAnswered || !mMove->mHasEnded) {
    return;
  }
  const RunMove move = *std::exchange(mMove, std::nullopt);
  mRelay.DiscardPartialEvent();
  mAttempt.mCache = move.mCache;
  mAttempt.mContinuesRun = true;
  mAttempt.mPlacement.mPrefill.clear();
  // The source keeps its cache after the copy.
  const bool usesTarget = move.mIsCopied && mDelegate.IsUsable(move.mTarget);
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

bool
StreamCall::ResumeAtSource(Instant aNow)
{
  if (mAttempt.mState != StreamState::Starting ||
      mAttempt.mMoveSource.empty() || !mAttempt.mCache ||
      !mDelegate.CanReceive(mAttempt.mMoveSource) ||
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
