#include "Router/StreamCall.h"

#include <utility>

namespace bulrushfold {

namespace {
/** Time in which a run is stopped and copied. */
constexpr Duration kMoveLimit = std::chrono::milliseconds(800);
constexpr std::uint32_t kMaxMoves = 3;
} // namespace

void
StreamCall::StartMove(const std::string& aTarget, Instant aNow)
{
  if (mState != StreamState::Streaming || mMove || mMoves >= kMaxMoves ||
      mRelay.Events() == 0 || mRelay.LastId().empty() ||
      !mRetryBudget.TryConsume(mTerms.mCall.mService, 1, aNow)) {
    return;
  }
  ++mMoves;
  mMove = RunMove{ mPlacement.mDecode, aTarget, false, false, {}, false };
  mPort.NoteMoved(aTarget);
  SetStallLimit(kMoveLimit, aNow);
  mPort.Move(mPlacement.mDecode, aTarget);
}

void
StreamCall::OnMoveAnswered(const std::optional<KvCache>& aCache,
                           bool aIsCopied,
                           Instant aNow)
{
  if (!mMove) {
    if (aCache) {
      mPort.DropCache(*aCache);
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
    // The run goes on where it was, or it ended meanwhile.
    const RunMove move = *std::exchange(mMove, std::nullopt);
    mPort.NoteMoved(move.mSource);
    if (move.mHasEnded) {
      OnAnswerEnded(SendEnd::Unknown, aNow);
    } else {
      mPort.WakeAt(mTerms.mCall.mDeadline);
    }
    return;
  }
  if (!mMove->mIsAnswered || !mMove->mHasEnded) {
    return;
  }
  const RunMove move = *std::exchange(mMove, std::nullopt);
  mRelay.Restart();
  mCache = move.mCache;
  mPlacement.mPrefill.clear();
  mPlacement.mDecode = move.mIsCopied ? move.mTarget : move.mSource;
  mMoveSource = move.mIsCopied ? move.mSource : std::string();
  mPort.NoteMoved(mPlacement.mDecode);
  SendDecode(aNow);
}

bool
StreamCall::ReturnToSource(Instant aNow)
{
  if (mState != StreamState::Starting || mMoveSource.empty() || !mCache ||
      !mRetryBudget.TryConsume(mTerms.mCall.mService, 1, aNow)) {
    return false;
  }
  mPlacement.mDecode = std::exchange(mMoveSource, std::string());
  mPort.NoteMoved(mPlacement.mDecode);
  SendDecode(aNow);
  return true;
}

} // namespace bulrushfold
