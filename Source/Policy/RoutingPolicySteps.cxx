#include "Policy/RoutingPolicy.h"

#include <algorithm>

#include "Policy/Flight.h"

namespace bulrushfold {

namespace {
// Time kept free before the first-token target for what predictions miss:
// message delays, the first decode steps and uneven engine speed.
constexpr Duration kMargin = std::chrono::milliseconds(60);
// A decode slot expected to be free is asked for again after this time.
constexpr Duration kSlotRetry = std::chrono::milliseconds(15);

// Slack below each bound gives the priority 9, 8 and so on: less time to spare
// goes first, and an interactive request goes before a patient one.
constexpr Duration kFirstSlack = std::chrono::milliseconds(50);
constexpr int kMaxPriority = 9;
// A workspace above its fair share does not overtake the others.
constexpr int kOverSharePenalty = 4;

int
PriorityFor(Duration aSlack)
{
  int priority = kMaxPriority;
  for (Duration bound = kFirstSlack; priority > 0 && aSlack > bound;
       bound *= 2) {
    --priority;
  }
  return priority;
}
} // namespace

Instant
RoutingPolicy::FirstTokenDue(const Flight& aFlight) const
{
  // The targets of a first attempt are lost for a later one, but its caller
  // still waits for an answer.
  return aFlight.mAttempt > 1 ? aFlight.mRequest.mDeadline
                              : mAdmission.FirstTokenDue(aFlight.mRequest);
}

bool
RoutingPolicy::Dispatch(Flight& aFlight, Instant aNow, Actions& aActions)
{
  const ModelRequest& request = aFlight.mRequest;
  const Duration budget = FirstTokenDue(aFlight) - aNow;
  const auto choice =
    mSelector.Choose(request, aFlight.mExcluded, budget, aNow);
  const auto decision = mAdmission.Decide(
    request,
    choice ? std::optional<Duration>(choice->mFirstToken) : std::nullopt,
    aNow);
  if (aFlight.mAttempt == 1 && decision.mVerdict == AdmissionVerdict::Reject) {
    Reject(aFlight, decision.mReason, decision.mRetryAfter, aNow, aActions);
    return true;
  }
  if (!choice || decision.mVerdict == AdmissionVerdict::Wait) {
    return false;
  }
  ReservePrefill(aFlight, *choice, aNow, aActions);
  return true;
}

void
RoutingPolicy::ReservePrefill(Flight& aFlight,
                              const PairChoice& aChoice,
                              Instant aNow,
                              Actions& aActions)
{
  const ModelRequest& request = aFlight.mRequest;
  aFlight.mStage = FlightStage::ReservingPrefill;
  aFlight.mPrefill = aChoice.mPrefill->mConfig.mName;
  aFlight.mDecode = aChoice.mDecode->mConfig.mName;
  aFlight.mWork = aChoice.mWork;
  ++aFlight.mReserves;
  const Duration wait = aChoice.mPrefill->mLoad.PrefillWait(aNow);
  // What follows the start of the prefill: computing, transfer, first step.
  const Duration after =
    std::max(aChoice.mWork, aChoice.mFirstToken - wait) + kMargin;
  const Duration latest = FirstTokenDue(aFlight) - aNow - after;
  ReserveRequest reserve;
  reserve.mRequest = request.mId;
  reserve.mAttempt = aFlight.mAttempt;
  reserve.mEndpoint = aFlight.mPrefill;
  reserve.mKind = WorkKind::Prefill;
  reserve.mWork = aChoice.mWork;
  reserve.mPieces = PieceCount(request.mPromptTokens);
  const double waitShare = mAdmission.WaitShare(request, aNow);
  aFlight.mPriority =
    std::max(0, PriorityFor(latest) - (waitShare < 1 ? kOverSharePenalty : 0));
  reserve.mPriority = aFlight.mPriority;
  reserve.mDueIn = latest;
  reserve.mLatestIn = FromSeconds(ToSeconds(latest) * waitShare);
  aActions.push_back(ReserveAction{ reserve });
}

bool
RoutingPolicy::ReserveDecode(Flight& aFlight, Instant aNow, Actions& aActions)
{
  const ModelRequest& request = aFlight.mRequest;
  const EndpointView* prefill = mEndpoints.Find(aFlight.mPrefill);
  if (prefill == nullptr) {
    return false;
  }
  const bool isComputed = aFlight.mStage == FlightStage::MovingDecode;
  const Duration ready =
    isComputed ? Duration::zero()
               : std::max(Duration::zero(),
                          aFlight.mPrefillStarts + aFlight.mWork - aNow);
  const Duration budget = FirstTokenDue(aFlight) - aNow;
  const auto choice = mSelector.ChooseDecode(
    request, *prefill, ready, aFlight.mExcluded, budget, aNow);
  if (!choice) {
    return false;
  }
  const EndpointView& decode = *choice->mDecode;
  aFlight.mDecode = decode.mConfig.mName;
  ++aFlight.mReserves;
  ReserveRequest reserve;
  reserve.mRequest = request.mId;
  reserve.mAttempt = aFlight.mAttempt;
  reserve.mEndpoint = aFlight.mDecode;
  reserve.mKind = WorkKind::Decode;
  reserve.mWork =
    mCosts.DecodeTime(request.mModel, decode.mSpeed, request.mMaxTokens);
  reserve.mPieces = aFlight.DecodePieces();
  reserve.mLinkBytes =
    &decode == prefill
      ? 0
      : mCosts.CacheBytes(request.mModel, request.mPromptTokens);
  reserve.mReadyIn = ready + mLinks.Estimate(prefill->mConfig.mLink,
                                             decode.mConfig.mLink,
                                             reserve.mLinkBytes,
                                             aNow + ready);
  reserve.mLatestIn = std::max(reserve.mReadyIn, budget);
  reserve.mMinFreeSlots =
    isComputed ? 0 : mAdmission.SpareSlots(request, decode.mLoad.Slots(), aNow);
  aActions.push_back(ReserveAction{ reserve });
  return true;
}

void
RoutingPolicy::StartPrefill(Flight& aFlight, Instant aNow, Actions& aActions)
{
  const ModelRequest& request = aFlight.mRequest;
  aFlight.mStage = FlightStage::Prefilling;
  aFlight.mIsAtPrefill = true;
  aFlight.mPrefillStarts = std::max(aFlight.mPrefillStarts, aNow);
  mAdmission.OnDispatched(request, ToSeconds(aFlight.mWork), aNow);
  if (EndpointView* view = mEndpoints.Find(aFlight.mPrefill)) {
    mEndpoints.OnSent(*view, aNow);
  }
  aActions.push_back(StartPrefillAction{
    request.mId, aFlight.mAttempt, aFlight.mPrefill, aFlight.mPriority });
}

void
RoutingPolicy::Continue(Flight& aFlight, Instant aNow, Actions& aActions)
{
  if (aFlight.mPrefill == aFlight.mDecode) {
    aFlight.mIsAtPrefill = false;
    StartDecode(aFlight, Duration::zero(), aActions);
    return;
  }
  const EndpointView* from = mEndpoints.Find(aFlight.mPrefill);
  EndpointView* to = mEndpoints.Find(aFlight.mDecode);
  if (from != nullptr && to != nullptr) {
    mLinks.Book(from->mConfig.mLink,
                to->mConfig.mLink,
                mCosts.CacheBytes(aFlight.mRequest.mModel,
                                  aFlight.mRequest.mPromptTokens),
                aNow);
    mEndpoints.OnSent(*to, aNow);
  }
  aFlight.mStage = FlightStage::Transferring;
  aFlight.mTransferStart = aNow;
  aFlight.mIsAtDecode = true;
  aActions.push_back(StartTransferAction{ aFlight.mRequest.mId,
                                          aFlight.mAttempt,
                                          aFlight.mPrefill,
                                          aFlight.mDecode });
}

void
RoutingPolicy::StartDecode(Flight& aFlight, Duration aDelay, Actions& aActions)
{
  aFlight.mStage = FlightStage::StartingDecode;
  aFlight.mIsAtDecode = true;
  aActions.push_back(StartDecodeAction{
    aFlight.mRequest.mId, aFlight.mAttempt, aFlight.mDecode, aDelay });
}

void
RoutingPolicy::OnPrefillRefused(Flight& aFlight,
                                const Refusal& aRefusal,
                                Instant aNow,
                                Actions& aActions)
{
  if (EndpointView* view = mEndpoints.Find(aRefusal.mEndpoint)) {
    view->mLoad.OnPrefillRefused(aRefusal.mBacklog, aNow);
  }
  aFlight.mExcluded.push_back(aRefusal.mEndpoint);
  const bool mayAsk = aFlight.mReserves < mOptions.mMaxReserves;
  if (!mayAsk || !Dispatch(aFlight, aNow, aActions)) {
    Wait(aFlight, aNow, aActions);
  }
}

void
RoutingPolicy::OnDecodeRefused(Flight& aFlight,
                               const Refusal& aRefusal,
                               Instant aNow,
                               Actions& aActions)
{
  if (EndpointView* view = mEndpoints.Find(aRefusal.mEndpoint)) {
    view->mLoad.OnDecodeRefused(aRefusal.mFreeIn, aNow);
  }
  if (aFlight.mStage == FlightStage::MovingDecode) {
    aFlight.mExcluded.clear();
    aFlight.mNotBefore = aNow + kSlotRetry;
    mMoving.push_back(aFlight.mRequest.mId);
    return;
  }
  aFlight.mExcluded.push_back(aRefusal.mEndpoint);
  const bool mayAsk = aFlight.mReserves < 2 * mOptions.mMaxReserves;
  if (!mayAsk || !ReserveDecode(aFlight, aNow, aActions)) {
    ReleasePrefill(aFlight, aNow, aActions);
    Wait(aFlight, aNow, aActions);
  }
}

} // namespace bulrushfold
