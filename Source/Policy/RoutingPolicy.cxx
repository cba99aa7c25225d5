#include "Policy/RoutingPolicy.h"

#include "Policy/RequestProgress.h"

namespace bulrushfold {

namespace {
// Enough for the prefixes that the engines of one deployment cache; an entry
// takes about 100 bytes.
constexpr std::size_t kMaxPrefixes = 20000;
} // namespace

RoutingPolicy::RoutingPolicy(const PolicyOptions& aOptions, Random& aRandom)
  : mOptions(aOptions)
  , mRandom(aRandom)
  , mPrefixes(kMaxPrefixes)
  , mSelector(mEndpoints, mPrefixes, mLinks, mCosts, aRandom)
  , mQueue(mPreset.mMaxQueue)
  , mRetries(aOptions.mRetryShare, aRandom)
{
}

RoutingPolicy::~RoutingPolicy() = default;

void
RoutingPolicy::SetPreset(const Preset& aPreset)
{
  mPreset = aPreset;
  mSelector.SetPreset(aPreset);
  mAdmission.SetPreset(aPreset);
  mQueue.SetMaxSize(aPreset.mMaxQueue);
}

void
RoutingPolicy::SetEndpoints(const std::map<std::string, Endpoint>& aEndpoints)
{
  mEndpoints.Set(aEndpoints);
  for (const auto id : mEndpoints.Removed()) {
    mPrefixes.RemoveEndpoint(id);
  }
  for (const auto& [name, endpoint] : aEndpoints) {
    mLinks.SetRate(endpoint.mLink, endpoint.mLinkBytesPerSecond);
  }
}

RequestProgress*
RoutingPolicy::Find(const std::string& aRequest, std::uint32_t aAttempt)
{
  const auto it = mRequests.find(aRequest);
  const bool isCurrent =
    it != mRequests.end() && it->second->mAttempt == aAttempt;
  return isCurrent ? it->second.get() : nullptr;
}

Actions
RoutingPolicy::OnRequest(const ModelRequest& aRequest, Instant aNow)
{
  Actions actions;
  mRetries.OnRequest();
  auto& progress = mRequests[aRequest.mId];
  progress = std::make_unique<RequestProgress>();
  progress->mRequest = aRequest;
  if (aNow >= aRequest.mDeadline) {
    Reject(*progress, RejectReason::DeadlinePassed, {}, aNow, actions);
    return actions;
  }
  if (mEndpoints.PoolOf(aRequest.mModel) == nullptr) {
    Reject(*progress, RejectReason::NoEndpoint, {}, aNow, actions);
    return actions;
  }
  mCosts.ObservePrompt(aRequest.mModel, aRequest.mPromptTokens);
  // Requests that are already in the queue are dispatched first.
  if (!mQueue.empty() || !Dispatch(*progress, aNow, actions)) {
    Enqueue(*progress, aNow, actions);
  }
  return actions;
}

Actions
RoutingPolicy::OnGrant(const Grant& aGrant, Instant aNow)
{
  Actions actions;
  RequestProgress* progress = Find(aGrant.mRequest, aGrant.mAttempt);
  const auto isAwaited = [&](RequestStage aStage, const std::string& aName) {
    return progress != nullptr && progress->mStage == aStage &&
           aName == aGrant.mEndpoint;
  };
  if (aGrant.mKind == WorkKind::Prefill &&
      isAwaited(RequestStage::ReservingPrefill,
                progress ? progress->mPrefill : "")) {
    progress->mHasPrefillReservation = true;
    progress->mPrefillStart = aNow + aGrant.mFreeIn;
    progress->mIsPrefillDelayed = aGrant.mFreeIn > Duration::zero();
    if (EndpointView* view = mEndpoints.Find(aGrant.mEndpoint)) {
      view->mLoad.OnPrefillGranted(aGrant.mBacklog, progress->mWork, aNow);
    }
    progress->mStage = RequestStage::ReservingDecode;
    if (!ReserveDecode(*progress, aNow, actions)) {
      ReleasePrefill(*progress, aNow, actions);
      Enqueue(*progress, aNow, actions);
    }
    return actions;
  }
  const std::string decode = progress ? progress->mDecode : "";
  const bool isFirst = isAwaited(RequestStage::ReservingDecode, decode);
  if (aGrant.mKind == WorkKind::Decode &&
      (isFirst || isAwaited(RequestStage::ReselectingDecode, decode))) {
    progress->mHasDecodeReservation = true;
    if (EndpointView* view = mEndpoints.Find(decode)) {
      view->mLoad.OnDecodeReserved(progress->DecodePieces());
    }
    if (isFirst) {
      StartPrefill(*progress, aNow, actions);
    } else {
      StartTransferOrDecode(*progress, aNow, actions);
    }
    return actions;
  }
  // Before this grant arrived, the request ended or requested a reservation
  // at another endpoint.
  actions.push_back(ReleaseAction{
    aGrant.mRequest, aGrant.mAttempt, aGrant.mEndpoint, aGrant.mKind });
  return actions;
}

Actions
RoutingPolicy::OnRefusal(const Refusal& aRefusal, Instant aNow)
{
  Actions actions;
  if (aRefusal.mReason == RefuseReason::NoAnswer ||
      aRefusal.mReason == RefuseReason::NotOwner) {
    // A grant only avoids wasted work, and safety does not depend on it.
    // Without an owner the request continues, and the engine's own admission
    // control decides.
    Grant grant;
    grant.mRequest = aRefusal.mRequest;
    grant.mAttempt = aRefusal.mAttempt;
    grant.mEndpoint = aRefusal.mEndpoint;
    grant.mKind = aRefusal.mKind;
    return OnGrant(grant, aNow);
  }
  RequestProgress* progress = Find(aRefusal.mRequest, aRefusal.mAttempt);
  if (progress == nullptr) {
    return actions;
  }
  if (aRefusal.mKind == WorkKind::Prefill) {
    if (progress->mStage == RequestStage::ReservingPrefill) {
      OnPrefillRefused(*progress, aRefusal, aNow, actions);
    }
  } else if (progress->mStage == RequestStage::ReservingDecode ||
             progress->mStage == RequestStage::ReselectingDecode) {
    OnDecodeRefused(*progress, aRefusal, aNow, actions);
  }
  return actions;
}

Actions
RoutingPolicy::OnPrefillDone(const std::string& aRequest,
                             std::uint32_t aAttempt,
                             std::uint64_t aCachedTokens,
                             Instant aNow)
{
  Actions actions;
  RequestProgress* progress = Find(aRequest, aAttempt);
  if (progress == nullptr || progress->mStage != RequestStage::Prefilling) {
    return actions;
  }
  const ModelRequest& request = progress->mRequest;
  if (EndpointView* view = mEndpoints.Find(progress->mPrefill)) {
    mEndpoints.OnSuccess(*view);
    mPrefixes.OnPrefill(view->mId, request.mPrefixes, aCachedTokens);
    if (!progress->mIsPrefillDelayed && aCachedTokens < request.mPromptTokens) {
      mCosts.ObservePrefill(request.mModel,
                            view->mSpeed,
                            request.mPromptTokens - aCachedTokens,
                            aNow - progress->mPrefillStart);
    }
  }
  Claim claim;
  claim.mRequest = request.mId;
  claim.mAttempt = progress->mAttempt;
  claim.mEndpoint = progress->mPrefill;
  claim.mKind = WorkKind::Prefill;
  claim.mPieces = PieceCount(request.mPromptTokens);
  claim.mIsStarted = true;
  actions.push_back(ClaimAction{ claim });
  StartTransferOrDecode(*progress, aNow, actions);
  return actions;
}

Actions
RoutingPolicy::OnTransferDone(const std::string& aRequest,
                              std::uint32_t aAttempt,
                              double aBytes,
                              Instant aNow)
{
  Actions actions;
  RequestProgress* progress = Find(aRequest, aAttempt);
  if (progress == nullptr || progress->mStage != RequestStage::Transferring) {
    return actions;
  }
  const EndpointView* from = mEndpoints.Find(progress->mPrefill);
  const EndpointView* to = mEndpoints.Find(progress->mDecode);
  if (from != nullptr && to != nullptr) {
    mLinks.ObserveTransfer(from->mConfig.mLink,
                           to->mConfig.mLink,
                           aBytes,
                           aNow - progress->mTransferStart);
  }
  mCosts.ObserveTransfer(
    progress->mRequest.mModel, progress->mRequest.mPromptTokens, aBytes);
  progress->mUsesPrefill = false;
  ReleasePrefill(*progress, aNow, actions);
  StartDecode(*progress, Duration::zero(), actions);
  return actions;
}

Actions
RoutingPolicy::OnFirstToken(const std::string& aRequest,
                            std::uint32_t aAttempt,
                            Instant aNow)
{
  Actions actions;
  RequestProgress* progress = Find(aRequest, aAttempt);
  if (progress == nullptr || progress->mStage != RequestStage::StartingDecode) {
    return actions;
  }
  progress->mStage = RequestStage::Decoding;
  progress->mFirstToken = aNow;
  progress->mIsDecoding = true;
  if (EndpointView* view = mEndpoints.Find(progress->mDecode)) {
    mEndpoints.OnSuccess(*view);
    view->mLoad.OnDecodeStarted(progress->DecodePieces(), aNow);
  }
  actions.push_back(ClaimAction{ MakeDecodeClaim(*progress) });
  return actions;
}

Actions
RoutingPolicy::OnFinished(const std::string& aRequest,
                          std::uint32_t aAttempt,
                          std::uint64_t aTokens,
                          Instant aNow)
{
  Actions actions;
  RequestProgress* progress = Find(aRequest, aAttempt);
  if (progress == nullptr) {
    return actions;
  }
  if (EndpointView* view = mEndpoints.Find(progress->mDecode);
      view != nullptr && progress->mIsDecoding) {
    mCosts.ObserveDecode(progress->mRequest.mModel,
                         view->mSpeed,
                         aTokens,
                         progress->mRequest.mMaxTokens,
                         aNow - progress->mFirstToken);
  }
  ReleasePrefill(*progress, aNow, actions);
  ReleaseDecode(*progress, aNow, actions);
  EraseRequest(*progress);
  DispatchQueued(aNow, actions);
  return actions;
}

Actions
RoutingPolicy::OnCallerDisconnected(const std::string& aRequest, Instant aNow)
{
  Actions actions;
  const auto it = mRequests.find(aRequest);
  if (it == mRequests.end()) {
    return actions;
  }
  RequestProgress& progress = *it->second;
  CancelAttempt(progress, aNow, actions);
  EraseRequest(progress);
  DispatchQueued(aNow, actions);
  return actions;
}

void
RoutingPolicy::OnLoadReport(const std::string& aEndpoint,
                            const LoadReport& aReport,
                            Instant aNow)
{
  if (EndpointView* view = mEndpoints.Find(aEndpoint); view != nullptr) {
    const auto& models = view->mConfig.mModels;
    view->mLoad.OnReport(
      aReport, mCosts.MeanPrefillTime(models.empty() ? "" : models[0]), aNow);
  }
}

void
RoutingPolicy::OnCacheEvents(const std::string& aEndpoint,
                             const std::vector<CacheEvent>& aEvents)
{
  if (const EndpointView* view = mEndpoints.Find(aEndpoint); view != nullptr) {
    mPrefixes.OnEvents(view->mId, aEvents);
  }
}

Actions
RoutingPolicy::Tick(Instant aNow)
{
  Actions actions;
  for (const auto& it : mQueue.RemoveExpired(aNow)) {
    if (const auto progress = mRequests.find(it.mRequest);
        progress != mRequests.end()) {
      Reject(*progress->second,
             aNow >= progress->second->mRequest.mDeadline
               ? RejectReason::DeadlinePassed
               : RejectReason::WaitedTooLong,
             std::chrono::seconds(1),
             aNow,
             actions);
    }
  }
  RetryReselections(aNow, actions);
  DispatchQueued(aNow, actions);
  if (aNow - mLastRenewal >= mOptions.mClaimInterval) {
    mLastRenewal = aNow;
    RenewClaims(actions);
  }
  return actions;
}

} // namespace bulrushfold
