#include "Policy/RoutingPolicy.h"

#include <algorithm>
#include <utility>

#include "Policy/Flight.h"

namespace bulrushfold {

namespace {
constexpr Duration kSlotRetry = std::chrono::milliseconds(15);
constexpr Duration kRetryAfter = std::chrono::seconds(1);
// Waiting requests dispatched in one turn; bounds the time of a turn.
constexpr std::size_t kMaxPerTurn = 8;
} // namespace

Claim
RoutingPolicy::MakeDecodeClaim(const Flight& aFlight) const
{
  Claim claim;
  claim.mRequest = aFlight.mRequest.mId;
  claim.mAttempt = aFlight.mAttempt;
  claim.mEndpoint = aFlight.mDecode;
  claim.mKind = WorkKind::Decode;
  claim.mPieces = aFlight.DecodePieces();
  claim.mRemaining = mCosts.DecodeTime(
    aFlight.mRequest.mModel, EndpointSpeed(), aFlight.mRequest.mMaxTokens);
  claim.mIsStarted = aFlight.mIsDecoding;
  return claim;
}

void
RoutingPolicy::Wait(Flight& aFlight, Instant aNow, Actions& aActions)
{
  aFlight.mStage = FlightStage::Waiting;
  aFlight.mReserves = 0;
  aFlight.mExcluded.clear();
  aFlight.mHoldsPrefill = false;
  const ModelRequest& request = aFlight.mRequest;
  const Duration work =
    mCosts.PrefillTime(request.mModel, EndpointSpeed(), request.mPromptTokens);
  const QueuedRequest item{ request.mId,
                            request.mWorkspace,
                            request.mShare,
                            std::max(1e-3, ToSeconds(work)),
                            FirstTokenDue(aFlight) - work };
  if (item.mExpires <= aNow) {
    Reject(aFlight, RejectReason::WaitedTooLong, kRetryAfter, aNow, aActions);
    return;
  }
  const auto removed = mQueue.Push(item);
  if (!removed || removed->mRequest != request.mId) {
    aActions.push_back(QueueAction{ request.mId });
  }
  if (removed) {
    if (const auto it = mFlights.find(removed->mRequest);
        it != mFlights.end()) {
      Reject(*it->second, RejectReason::QueueFull, kRetryAfter, aNow, aActions);
    }
  }
}

void
RoutingPolicy::RunQueue(Instant aNow, Actions& aActions)
{
  std::vector<QueuedRequest> early;
  for (std::size_t n = 0; n < kMaxPerTurn; ++n) {
    const auto next = mQueue.Pop();
    if (!next) {
      break;
    }
    const auto it = mFlights.find(next->mRequest);
    if (it == mFlights.end()) {
      continue;
    }
    if (aNow < it->second->mNotBefore) {
      early.push_back(*next);
      continue;
    }
    if (!Dispatch(*it->second, aNow, aActions)) {
      mQueue.PutBack(*next);
      break;
    }
  }
  for (auto it = early.rbegin(); it != early.rend(); ++it) {
    mQueue.PutBack(*it);
  }
}

void
RoutingPolicy::MoveDecode(Flight& aFlight, Instant aNow, Actions& aActions)
{
  if (aFlight.mIsAtDecode) {
    aActions.push_back(
      CancelAction{ aFlight.mRequest.mId, aFlight.mAttempt, aFlight.mDecode });
    aFlight.mIsAtDecode = false;
  }
  ReleaseDecode(aFlight, aNow, aActions);
  aFlight.mStage = FlightStage::MovingDecode;
  aFlight.mExcluded.assign(1, aFlight.mDecode);
  if (!ReserveDecode(aFlight, aNow, aActions)) {
    aFlight.mExcluded.clear();
    if (!ReserveDecode(aFlight, aNow, aActions)) {
      Retry(aFlight, aNow, aActions);
    }
  }
}

void
RoutingPolicy::OnTransferFailed(Flight& aFlight,
                                FailureKind aKind,
                                Instant aNow,
                                Actions& aActions)
{
  if (aKind == FailureKind::Evicted) {
    Retry(aFlight, aNow, aActions);
    return;
  }
  EndpointView* from = mEndpoints.Find(aFlight.mPrefill);
  EndpointView* to = mEndpoints.Find(aFlight.mDecode);
  if (aKind == FailureKind::Stalled && from != nullptr && to != nullptr) {
    // The links count as slow now, so that the selector compares the same
    // path, another decode engine and a local continuation by cost.
    mLinks.OnStall(from->mConfig.mLink, to->mConfig.mLink);
  }
  if (aKind == FailureKind::Lost && to != nullptr) {
    mEndpoints.OnFailure(*to, aNow, mRandom);
  }
  MoveDecode(aFlight, aNow, aActions);
}

void
RoutingPolicy::OnDecodeFailed(Flight& aFlight,
                              FailureKind aKind,
                              Instant aNow,
                              Actions& aActions)
{
  if (aKind == FailureKind::NoSlot &&
      aFlight.mStage == FlightStage::StartingDecode) {
    StartDecode(aFlight, kSlotRetry, aActions);
    return;
  }
  EndpointView* view = mEndpoints.Find(aFlight.mDecode);
  if (aKind == FailureKind::Lost && view != nullptr) {
    mEndpoints.OnFailure(*view, aNow, mRandom);
  }
  Retry(aFlight, aNow, aActions);
}

Actions
RoutingPolicy::OnFailed(const std::string& aRequest,
                        std::uint32_t aAttempt,
                        FailureKind aKind,
                        Instant aNow)
{
  Actions actions;
  Flight* flight = Find(aRequest, aAttempt);
  if (flight == nullptr) {
    return actions;
  }
  switch (flight->mStage) {
    case FlightStage::Prefilling:
      if (EndpointView* view = mEndpoints.Find(flight->mPrefill);
          view != nullptr && aKind == FailureKind::Lost) {
        mEndpoints.OnFailure(*view, aNow, mRandom);
      }
      Retry(*flight, aNow, actions);
      break;
    case FlightStage::Transferring:
    case FlightStage::MovingDecode:
      OnTransferFailed(*flight, aKind, aNow, actions);
      break;
    case FlightStage::StartingDecode:
    case FlightStage::Decoding:
      OnDecodeFailed(*flight, aKind, aNow, actions);
      break;
    case FlightStage::Waiting:
    case FlightStage::ReservingPrefill:
    case FlightStage::ReservingDecode:
      break;
  }
  return actions;
}

void
RoutingPolicy::Retry(Flight& aFlight, Instant aNow, Actions& aActions)
{
  Abandon(aFlight, aNow, aActions);
  if (aFlight.mAttempt >= mOptions.mMaxAttempts) {
    Reject(aFlight, RejectReason::Failed, kRetryAfter, aNow, aActions);
    return;
  }
  if (!mRetries.Take()) {
    Reject(aFlight, RejectReason::RetryBudget, kRetryAfter, aNow, aActions);
    return;
  }
  aFlight.mNotBefore = aNow + mRetries.Backoff(aFlight.mAttempt);
  ++aFlight.mAttempt;
  Wait(aFlight, aNow, aActions);
}

void
RoutingPolicy::Reject(Flight& aFlight,
                      RejectReason aReason,
                      Duration aRetryAfter,
                      Instant aNow,
                      Actions& aActions)
{
  Abandon(aFlight, aNow, aActions);
  aActions.push_back(
    RejectAction{ aFlight.mRequest.mId, aReason, aRetryAfter });
  Forget(aFlight);
}

void
RoutingPolicy::ReleasePrefill(Flight& aFlight, Instant aNow, Actions& aActions)
{
  if (!aFlight.mHoldsPrefill) {
    return;
  }
  aFlight.mHoldsPrefill = false;
  const bool isComputed = aFlight.mStage != FlightStage::ReservingDecode &&
                          aFlight.mStage != FlightStage::Prefilling;
  if (EndpointView* view = mEndpoints.Find(aFlight.mPrefill);
      view != nullptr && !isComputed) {
    view->mLoad.OnPrefillReleased(aFlight.mWork, aNow);
  }
  aActions.push_back(ReleaseAction{ aFlight.mRequest.mId,
                                    aFlight.mAttempt,
                                    aFlight.mPrefill,
                                    WorkKind::Prefill });
}

void
RoutingPolicy::ReleaseDecode(Flight& aFlight, Instant aNow, Actions& aActions)
{
  if (!aFlight.mHoldsDecode) {
    return;
  }
  aFlight.mHoldsDecode = false;
  if (EndpointView* view = mEndpoints.Find(aFlight.mDecode)) {
    if (aFlight.mIsDecoding) {
      view->mLoad.OnDecodeEnded(aFlight.DecodePieces(), aNow);
    } else {
      view->mLoad.OnDecodeReleased(aFlight.DecodePieces());
    }
  }
  aFlight.mIsDecoding = false;
  aActions.push_back(ReleaseAction{ aFlight.mRequest.mId,
                                    aFlight.mAttempt,
                                    aFlight.mDecode,
                                    WorkKind::Decode });
}

void
RoutingPolicy::Abandon(Flight& aFlight, Instant aNow, Actions& aActions)
{
  const auto& id = aFlight.mRequest.mId;
  if (aFlight.mIsAtPrefill) {
    aActions.push_back(CancelAction{ id, aFlight.mAttempt, aFlight.mPrefill });
  }
  if (aFlight.mIsAtDecode) {
    aActions.push_back(CancelAction{ id, aFlight.mAttempt, aFlight.mDecode });
  }
  // A reservation whose reply is on its way is released by OnGrant.
  ReleasePrefill(aFlight, aNow, aActions);
  ReleaseDecode(aFlight, aNow, aActions);
  aFlight.mIsAtPrefill = false;
  aFlight.mIsAtDecode = false;
}

void
RoutingPolicy::Forget(const Flight& aFlight)
{
  const std::string id = aFlight.mRequest.mId;
  if (aFlight.mStage == FlightStage::Waiting) {
    mQueue.Remove(id);
  }
  mFlights.erase(id);
}

void
RoutingPolicy::RenewClaims(Actions& aActions)
{
  for (const auto& [id, flight] : mFlights) {
    if (flight->mHoldsDecode) {
      aActions.push_back(ClaimAction{ MakeDecodeClaim(*flight) });
    }
  }
}

void
RoutingPolicy::RunMoves(Instant aNow, Actions& aActions)
{
  std::vector<std::string> later;
  for (const auto& id : std::exchange(mMoving, {})) {
    const auto it = mFlights.find(id);
    if (it == mFlights.end() ||
        it->second->mStage != FlightStage::MovingDecode) {
      continue;
    }
    Flight& flight = *it->second;
    if (aNow < flight.mNotBefore) {
      later.push_back(id);
    } else if (!ReserveDecode(flight, aNow, aActions)) {
      Retry(flight, aNow, aActions);
    }
  }
  mMoving.insert(mMoving.end(), later.begin(), later.end());
}

Actions
RoutingPolicy::OnOwnerChanged(const std::string& aEndpoint, Instant aNow)
{
  Actions actions;
  for (const auto& [id, flight] : mFlights) {
    if (flight->mHoldsDecode && flight->mDecode == aEndpoint) {
      actions.push_back(ClaimAction{ MakeDecodeClaim(*flight) });
    }
    if (flight->mHoldsPrefill && flight->mPrefill == aEndpoint) {
      Claim claim;
      claim.mRequest = id;
      claim.mAttempt = flight->mAttempt;
      claim.mEndpoint = aEndpoint;
      claim.mKind = WorkKind::Prefill;
      claim.mPieces = PieceCount(flight->mRequest.mPromptTokens);
      claim.mRemaining =
        std::clamp(flight->mPrefillStarts + flight->mWork - aNow,
                   Duration::zero(),
                   flight->mWork);
      claim.mIsStarted = flight->mStage > FlightStage::Prefilling;
      actions.push_back(ClaimAction{ claim });
    }
  }
  return actions;
}

} // namespace bulrushfold
