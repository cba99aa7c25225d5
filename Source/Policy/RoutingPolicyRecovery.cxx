#include "Policy/RoutingPolicy.h"

#include <algorithm>
#include <utility>

#include "Policy/RequestProgress.h"

namespace bulrushfold {

namespace {
// Delay before /engine/decode is called again after a refusal for want of a
// slot.
constexpr Duration kDecodeRetryDelay = std::chrono::milliseconds(15);
constexpr Duration kRetryAfter = std::chrono::seconds(1);
// Maximum number of queued requests that one call dispatches, which limits the
// time of the call.
constexpr std::size_t kMaxDispatchesPerCall = 8;
} // namespace

Claim
RoutingPolicy::MakeDecodeClaim(const RequestProgress& aProgress) const
{
  Claim claim;
  claim.mRequest = aProgress.mRequest.mId;
  claim.mAttempt = aProgress.mAttempt;
  claim.mEndpoint = aProgress.mDecode;
  claim.mKind = WorkKind::Decode;
  claim.mPieces = aProgress.DecodePieces();
  claim.mRemaining = mCosts.DecodeTime(
    aProgress.mRequest.mModel, EndpointSpeed(), aProgress.mRequest.mMaxTokens);
  claim.mIsStarted = aProgress.mIsDecoding;
  return claim;
}

void
RoutingPolicy::Enqueue(RequestProgress& aProgress,
                       Instant aNow,
                       Actions& aActions)
{
  aProgress.mStage = RequestStage::Waiting;
  aProgress.mReservations = 0;
  aProgress.mExcluded.clear();
  aProgress.mHasPrefillReservation = false;
  const ModelRequest& request = aProgress.mRequest;
  const Duration work =
    mCosts.PrefillTime(request.mModel, EndpointSpeed(), request.mPromptTokens);
  const QueuedRequest item{ request.mId,
                            request.mWorkspace,
                            request.mShare,
                            std::max(1e-3, ToSeconds(work)),
                            FirstTokenDue(aProgress) - work };
  if (item.mExpires <= aNow) {
    Reject(aProgress, RejectReason::WaitedTooLong, kRetryAfter, aNow, aActions);
    return;
  }
  const auto removed = mQueue.Push(item);
  if (!removed || removed->mRequest != request.mId) {
    aActions.push_back(QueueAction{ request.mId });
  }
  if (removed) {
    if (const auto it = mRequests.find(removed->mRequest);
        it != mRequests.end()) {
      Reject(*it->second, RejectReason::QueueFull, kRetryAfter, aNow, aActions);
    }
  }
}

void
RoutingPolicy::DispatchQueued(Instant aNow, Actions& aActions)
{
  std::vector<QueuedRequest> notDue;
  for (std::size_t n = 0; n < kMaxDispatchesPerCall; ++n) {
    const auto next = mQueue.Pop();
    if (!next) {
      break;
    }
    const auto it = mRequests.find(next->mRequest);
    if (it == mRequests.end()) {
      continue;
    }
    if (aNow < it->second->mNotBefore) {
      notDue.push_back(*next);
      continue;
    }
    if (!Dispatch(*it->second, aNow, aActions)) {
      mQueue.PushFront(*next);
      break;
    }
  }
  for (auto it = notDue.rbegin(); it != notDue.rend(); ++it) {
    mQueue.PushFront(*it);
  }
}

void
RoutingPolicy::ReselectDecode(RequestProgress& aProgress,
                              Instant aNow,
                              Actions& aActions)
{
  if (aProgress.mUsesDecode) {
    aActions.push_back(CancelAction{
      aProgress.mRequest.mId, aProgress.mAttempt, aProgress.mDecode });
    aProgress.mUsesDecode = false;
  }
  ReleaseDecode(aProgress, aNow, aActions);
  aProgress.mStage = RequestStage::ReselectingDecode;
  aProgress.mExcluded.assign(1, aProgress.mDecode);
  if (!ReserveDecode(aProgress, aNow, aActions)) {
    aProgress.mExcluded.clear();
    if (!ReserveDecode(aProgress, aNow, aActions)) {
      Retry(aProgress, aNow, aActions);
    }
  }
}

void
RoutingPolicy::OnTransferFailed(RequestProgress& aProgress,
                                FailureKind aKind,
                                Instant aNow,
                                Actions& aActions)
{
  if (aKind == FailureKind::Evicted) {
    Retry(aProgress, aNow, aActions);
    return;
  }
  EndpointView* from = mEndpoints.Find(aProgress.mPrefill);
  EndpointView* to = mEndpoints.Find(aProgress.mDecode);
  if (aKind == FailureKind::Stalled && from != nullptr && to != nullptr) {
    // The links count as slow from now on, so that the selector compares the
    // same links, another decode engine and a decode on the prefill engine by
    // cost.
    mLinks.OnTransferStalled(from->mConfig.mLink, to->mConfig.mLink);
  }
  if (aKind == FailureKind::Lost && to != nullptr) {
    mEndpoints.OnFailure(*to, aNow, mRandom);
  }
  ReselectDecode(aProgress, aNow, aActions);
}

void
RoutingPolicy::OnDecodeFailed(RequestProgress& aProgress,
                              FailureKind aKind,
                              Instant aNow,
                              Actions& aActions)
{
  if (aKind == FailureKind::NoSlot &&
      aProgress.mStage == RequestStage::StartingDecode) {
    StartDecode(aProgress, kDecodeRetryDelay, aActions);
    return;
  }
  EndpointView* view = mEndpoints.Find(aProgress.mDecode);
  if (aKind == FailureKind::Lost && view != nullptr) {
    mEndpoints.OnFailure(*view, aNow, mRandom);
  }
  Retry(aProgress, aNow, aActions);
}

Actions
RoutingPolicy::OnFailed(const std::string& aRequest,
                        std::uint32_t aAttempt,
                        FailureKind aKind,
                        Instant aNow)
{
  Actions actions;
  RequestProgress* progress = Find(aRequest, aAttempt);
  if (progress == nullptr) {
    return actions;
  }
  switch (progress->mStage) {
    case RequestStage::Prefilling:
      if (EndpointView* view = mEndpoints.Find(progress->mPrefill);
          view != nullptr && aKind == FailureKind::Lost) {
        mEndpoints.OnFailure(*view, aNow, mRandom);
      }
      Retry(*progress, aNow, actions);
      break;
    case RequestStage::Transferring:
    case RequestStage::ReselectingDecode:
      OnTransferFailed(*progress, aKind, aNow, actions);
      break;
    case RequestStage::StartingDecode:
    case RequestStage::Decoding:
      OnDecodeFailed(*progress, aKind, aNow, actions);
      break;
    case RequestStage::Waiting:
    case RequestStage::ReservingPrefill:
    case RequestStage::ReservingDecode:
      break;
  }
  return actions;
}

void
RoutingPolicy::Retry(RequestProgress& aProgress,
                     Instant aNow,
                     Actions& aActions)
{
  CancelAttempt(aProgress, aNow, aActions);
  if (aProgress.mAttempt >= mOptions.mMaxAttempts) {
    Reject(aProgress, RejectReason::Failed, kRetryAfter, aNow, aActions);
    return;
  }
  if (!mRetries.TryConsume()) {
    Reject(aProgress, RejectReason::RetryBudget, kRetryAfter, aNow, aActions);
    return;
  }
  aProgress.mNotBefore = aNow + mRetries.Backoff(aProgress.mAttempt);
  ++aProgress.mAttempt;
  Enqueue(aProgress, aNow, aActions);
}

void
RoutingPolicy::Reject(RequestProgress& aProgress,
                      RejectReason aReason,
                      Duration aRetryAfter,
                      Instant aNow,
                      Actions& aActions)
{
  CancelAttempt(aProgress, aNow, aActions);
  aActions.push_back(
    RejectAction{ aProgress.mRequest.mId, aReason, aRetryAfter });
  EraseRequest(aProgress);
}

void
RoutingPolicy::ReleasePrefill(RequestProgress& aProgress,
                              Instant aNow,
                              Actions& aActions)
{
  if (!aProgress.mHasPrefillReservation) {
    return;
  }
  aProgress.mHasPrefillReservation = false;
  const bool isComputed = aProgress.mStage != RequestStage::ReservingDecode &&
                          aProgress.mStage != RequestStage::Prefilling;
  if (EndpointView* view = mEndpoints.Find(aProgress.mPrefill);
      view != nullptr && !isComputed) {
    view->mLoad.OnPrefillReleased(aProgress.mWork, aNow);
  }
  aActions.push_back(ReleaseAction{ aProgress.mRequest.mId,
                                    aProgress.mAttempt,
                                    aProgress.mPrefill,
                                    WorkKind::Prefill });
}

void
RoutingPolicy::ReleaseDecode(RequestProgress& aProgress,
                             Instant aNow,
                             Actions& aActions)
{
  if (!aProgress.mHasDecodeReservation) {
    return;
  }
  aProgress.mHasDecodeReservation = false;
  if (EndpointView* view = mEndpoints.Find(aProgress.mDecode)) {
    if (aProgress.mIsDecoding) {
      view->mLoad.OnDecodeEnded(aProgress.DecodePieces(), aNow);
    } else {
      view->mLoad.OnDecodeReleased(aProgress.DecodePieces());
    }
  }
  aProgress.mIsDecoding = false;
  aActions.push_back(ReleaseAction{ aProgress.mRequest.mId,
                                    aProgress.mAttempt,
                                    aProgress.mDecode,
                                    WorkKind::Decode });
}

void
RoutingPolicy::CancelAttempt(RequestProgress& aProgress,
                             Instant aNow,
                             Actions& aActions)
{
  const auto& id = aProgress.mRequest.mId;
  if (aProgress.mUsesPrefill) {
    aActions.push_back(
      CancelAction{ id, aProgress.mAttempt, aProgress.mPrefill });
  }
  if (aProgress.mUsesDecode) {
    aActions.push_back(
      CancelAction{ id, aProgress.mAttempt, aProgress.mDecode });
  }
  // OnGrant releases a reservation whose grant arrives after this call.
  ReleasePrefill(aProgress, aNow, aActions);
  ReleaseDecode(aProgress, aNow, aActions);
  aProgress.mUsesPrefill = false;
  aProgress.mUsesDecode = false;
}

void
RoutingPolicy::EraseRequest(const RequestProgress& aProgress)
{
  const std::string id = aProgress.mRequest.mId;
  if (aProgress.mStage == RequestStage::Waiting) {
    mQueue.Remove(id);
  }
  mRequests.erase(id);
}

void
RoutingPolicy::RenewClaims(Actions& aActions)
{
  for (const auto& [id, progress] : mRequests) {
    if (progress->mHasDecodeReservation) {
      aActions.push_back(ClaimAction{ MakeDecodeClaim(*progress) });
    }
  }
}

void
RoutingPolicy::RetryReselections(Instant aNow, Actions& aActions)
{
  std::vector<std::string> notDue;
  for (const auto& id : std::exchange(mReselecting, {})) {
    const auto it = mRequests.find(id);
    if (it == mRequests.end() ||
        it->second->mStage != RequestStage::ReselectingDecode) {
      continue;
    }
    RequestProgress& progress = *it->second;
    if (aNow < progress.mNotBefore) {
      notDue.push_back(id);
    } else if (!ReserveDecode(progress, aNow, aActions)) {
      Retry(progress, aNow, aActions);
    }
  }
  mReselecting.insert(mReselecting.end(), notDue.begin(), notDue.end());
}

Actions
RoutingPolicy::OnOwnerChanged(const std::string& aEndpoint, Instant aNow)
{
  Actions actions;
  for (const auto& [id, progress] : mRequests) {
    if (progress->mHasDecodeReservation && progress->mDecode == aEndpoint) {
      actions.push_back(ClaimAction{ MakeDecodeClaim(*progress) });
    }
    if (progress->mHasPrefillReservation && progress->mPrefill == aEndpoint) {
      Claim claim;
      claim.mRequest = id;
      claim.mAttempt = progress->mAttempt;
      claim.mEndpoint = aEndpoint;
      claim.mKind = WorkKind::Prefill;
      claim.mPieces = PieceCount(progress->mRequest.mPromptTokens);
      claim.mRemaining =
        std::clamp(progress->mPrefillStart + progress->mWork - aNow,
                   Duration::zero(),
                   progress->mWork);
      claim.mIsStarted = progress->mStage > RequestStage::Prefilling;
      actions.push_back(ClaimAction{ claim });
    }
  }
  return actions;
}

} // namespace bulrushfold
