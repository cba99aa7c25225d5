#include "Policy/RoutingPolicy.h"

#include <algorithm>

#include "Policy/RequestProgress.h"

namespace bulrushfold {

namespace {
// Safety margin before the first-token target for delays that the predictions
// do not include: message delays, the first decode steps and uneven engine
// speed.
constexpr Duration kFirstTokenMargin = std::chrono::milliseconds(60);
// Delay before a decode reservation is requested again after a refusal.
constexpr Duration kReservationRetryDelay = std::chrono::milliseconds(15);

// A prefill with at most this slack gets the highest priority; each further
// doubling of the slack lowers the priority by one. So less slack goes first,
// and an interactive request goes before a patient one.
constexpr Duration kTopPrioritySlack = std::chrono::milliseconds(50);
constexpr int kMaxPriority = 9;
// Subtracted from the priority of a workspace above its fair share, so that it
// does not overtake the others.
constexpr int kOverSharePenalty = 4;

int
PriorityFor(Duration aSlack)
{
  int priority = kMaxPriority;
  for (Duration limit = kTopPrioritySlack; priority > 0 && aSlack > limit;
       limit *= 2) {
    --priority;
  }
  return priority;
}
} // namespace

Instant
RoutingPolicy::FirstTokenDue(const RequestProgress& aProgress) const
{
  // A retry can no longer meet the first-token target, but its caller still
  // waits for the answer until the deadline.
  return aProgress.mAttempt > 1 ? aProgress.mRequest.mDeadline
                                : mAdmission.FirstTokenDue(aProgress.mRequest);
}

bool
RoutingPolicy::Dispatch(RequestProgress& aProgress,
                        Instant aNow,
                        Actions& aActions)
{
  const ModelRequest& request = aProgress.mRequest;
  const Duration budget = FirstTokenDue(aProgress) - aNow;
  const auto choice =
    mSelector.Choose(request, aProgress.mExcluded, budget, aNow);
  const auto decision = mAdmission.Decide(
    request,
    choice ? std::optional<Duration>(choice->mFirstToken) : std::nullopt,
    aNow);
  if (aProgress.mAttempt == 1 &&
      decision.mVerdict == AdmissionVerdict::Reject) {
    Reject(aProgress, decision.mReason, decision.mRetryAfter, aNow, aActions);
    return true;
  }
  if (!choice || decision.mVerdict == AdmissionVerdict::Wait) {
    return false;
  }
  ReservePrefill(aProgress, *choice, aNow, aActions);
  return true;
}

void
RoutingPolicy::ReservePrefill(RequestProgress& aProgress,
                              const PairChoice& aChoice,
                              Instant aNow,
                              Actions& aActions)
{
  const ModelRequest& request = aProgress.mRequest;
  aProgress.mStage = RequestStage::ReservingPrefill;
  aProgress.mPrefill = aChoice.mPrefill->mConfig.mName;
  aProgress.mDecode = aChoice.mDecode->mConfig.mName;
  aProgress.mWork = aChoice.mWork;
  ++aProgress.mReservations;
  const Duration wait = aChoice.mPrefill->mLoad.PrefillWait(aNow);
  // Time from the start of the prefill to the first token: computation,
  // transfer and first decode step.
  const Duration after =
    std::max(aChoice.mWork, aChoice.mFirstToken - wait) + kFirstTokenMargin;
  const Duration latest = FirstTokenDue(aProgress) - aNow - after;
  ReserveRequest reserve;
  reserve.mRequest = request.mId;
  reserve.mAttempt = aProgress.mAttempt;
  reserve.mEndpoint = aProgress.mPrefill;
  reserve.mKind = WorkKind::Prefill;
  reserve.mWork = aChoice.mWork;
  reserve.mPieces = PieceCount(request.mPromptTokens);
  const double waitShare = mAdmission.WaitShare(request, aNow);
  aProgress.mPriority =
    std::max(0, PriorityFor(latest) - (waitShare < 1 ? kOverSharePenalty : 0));
  reserve.mPriority = aProgress.mPriority;
  reserve.mDueIn = latest;
  reserve.mLatestIn = FromSeconds(ToSeconds(latest) * waitShare);
  aActions.push_back(ReserveAction{ reserve });
}

bool
RoutingPolicy::ReserveDecode(RequestProgress& aProgress,
                             Instant aNow,
                             Actions& aActions)
{
  const ModelRequest& request = aProgress.mRequest;
  const EndpointView* prefill = mEndpoints.Find(aProgress.mPrefill);
  if (prefill == nullptr) {
    return false;
  }
  const bool isComputed = aProgress.mStage == RequestStage::ReselectingDecode;
  const Duration ready =
    isComputed ? Duration::zero()
               : std::max(Duration::zero(),
                          aProgress.mPrefillStart + aProgress.mWork - aNow);
  const Duration budget = FirstTokenDue(aProgress) - aNow;
  const auto choice = mSelector.ChooseDecode(
    request, *prefill, ready, aProgress.mExcluded, budget, aNow);
  if (!choice) {
    return false;
  }
  const EndpointView& decode = *choice->mDecode;
  aProgress.mDecode = decode.mConfig.mName;
  ++aProgress.mReservations;
  ReserveRequest reserve;
  reserve.mRequest = request.mId;
  reserve.mAttempt = aProgress.mAttempt;
  reserve.mEndpoint = aProgress.mDecode;
  reserve.mKind = WorkKind::Decode;
  reserve.mWork =
    mCosts.DecodeTime(request.mModel, decode.mSpeed, request.mMaxTokens);
  reserve.mPieces = aProgress.DecodePieces();
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
    isComputed ? 0
               : mAdmission.MinFreeSlots(request, decode.mLoad.Slots(), aNow);
  aActions.push_back(ReserveAction{ reserve });
  return true;
}

void
RoutingPolicy::StartPrefill(RequestProgress& aProgress,
                            Instant aNow,
                            Actions& aActions)
{
  const ModelRequest& request = aProgress.mRequest;
  aProgress.mStage = RequestStage::Prefilling;
  aProgress.mUsesPrefill = true;
  aProgress.mPrefillStart = std::max(aProgress.mPrefillStart, aNow);
  mAdmission.OnDispatched(request, ToSeconds(aProgress.mWork), aNow);
  if (EndpointView* view = mEndpoints.Find(aProgress.mPrefill)) {
    mEndpoints.OnSent(*view, aNow);
  }
  aActions.push_back(StartPrefillAction{
    request.mId, aProgress.mAttempt, aProgress.mPrefill, aProgress.mPriority });
}

void
RoutingPolicy::StartTransferOrDecode(RequestProgress& aProgress,
                                     Instant aNow,
                                     Actions& aActions)
{
  if (aProgress.mPrefill == aProgress.mDecode) {
    aProgress.mUsesPrefill = false;
    StartDecode(aProgress, Duration::zero(), aActions);
    return;
  }
  const EndpointView* from = mEndpoints.Find(aProgress.mPrefill);
  EndpointView* to = mEndpoints.Find(aProgress.mDecode);
  if (from != nullptr && to != nullptr) {
    mLinks.Schedule(from->mConfig.mLink,
                    to->mConfig.mLink,
                    mCosts.CacheBytes(aProgress.mRequest.mModel,
                                      aProgress.mRequest.mPromptTokens),
                    aNow);
    mEndpoints.OnSent(*to, aNow);
  }
  aProgress.mStage = RequestStage::Transferring;
  aProgress.mTransferStart = aNow;
  aProgress.mUsesDecode = true;
  aActions.push_back(StartTransferAction{ aProgress.mRequest.mId,
                                          aProgress.mAttempt,
                                          aProgress.mPrefill,
                                          aProgress.mDecode });
}

void
RoutingPolicy::StartDecode(RequestProgress& aProgress,
                           Duration aDelay,
                           Actions& aActions)
{
  aProgress.mStage = RequestStage::StartingDecode;
  aProgress.mUsesDecode = true;
  aActions.push_back(StartDecodeAction{
    aProgress.mRequest.mId, aProgress.mAttempt, aProgress.mDecode, aDelay });
}

void
RoutingPolicy::OnPrefillRefused(RequestProgress& aProgress,
                                const Refusal& aRefusal,
                                Instant aNow,
                                Actions& aActions)
{
  if (EndpointView* view = mEndpoints.Find(aRefusal.mEndpoint)) {
    view->mLoad.OnPrefillRefused(aRefusal.mBacklog, aNow);
  }
  aProgress.mExcluded.push_back(aRefusal.mEndpoint);
  const bool canReserve = aProgress.mReservations < mOptions.mMaxReservations;
  if (!canReserve || !Dispatch(aProgress, aNow, aActions)) {
    Enqueue(aProgress, aNow, aActions);
  }
}

void
RoutingPolicy::OnDecodeRefused(RequestProgress& aProgress,
                               const Refusal& aRefusal,
                               Instant aNow,
                               Actions& aActions)
{
  if (EndpointView* view = mEndpoints.Find(aRefusal.mEndpoint)) {
    view->mLoad.OnDecodeRefused(aRefusal.mFreeIn, aNow);
  }
  if (aProgress.mStage == RequestStage::ReselectingDecode) {
    aProgress.mExcluded.clear();
    aProgress.mNotBefore = aNow + kReservationRetryDelay;
    mReselecting.push_back(aProgress.mRequest.mId);
    return;
  }
  aProgress.mExcluded.push_back(aRefusal.mEndpoint);
  const bool canReserve =
    aProgress.mReservations < 2 * mOptions.mMaxReservations;
  if (!canReserve || !ReserveDecode(aProgress, aNow, aActions)) {
    ReleasePrefill(aProgress, aNow, aActions);
    Enqueue(aProgress, aNow, aActions);
  }
}

} // namespace bulrushfold
