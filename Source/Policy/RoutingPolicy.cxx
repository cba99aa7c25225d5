#include "Policy/RoutingPolicy.h"

#include "Policy/Flight.h"

namespace bulrushfold {

namespace {
// Enough for the prefixes that the engines of one deployment hold; about 100
// bytes each.
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
    mPrefixes.Forget(id);
  }
  for (const auto& [name, endpoint] : aEndpoints) {
    mLinks.SetRate(endpoint.mLink, endpoint.mLinkBytesPerSecond);
  }
}

Flight*
RoutingPolicy::Find(const std::string& aRequest, std::uint32_t aAttempt)
{
  const auto it = mFlights.find(aRequest);
  const bool isCurrent =
    it != mFlights.end() && it->second->mAttempt == aAttempt;
  return isCurrent ? it->second.get() : nullptr;
}

Actions
RoutingPolicy::OnRequest(const ModelRequest& aRequest, Instant aNow)
{
  Actions actions;
  mRetries.OnRequest();
  auto& flight = mFlights[aRequest.mId];
  flight = std::make_unique<Flight>();
  flight->mRequest = aRequest;
  if (aNow >= aRequest.mDeadline) {
    Reject(*flight, RejectReason::DeadlinePassed, {}, aNow, actions);
    return actions;
  }
  if (mEndpoints.PoolOf(aRequest.mModel) == nullptr) {
    Reject(*flight, RejectReason::NoEndpoint, {}, aNow, actions);
    return actions;
  }
  mCosts.ObservePrompt(aRequest.mModel, aRequest.mPromptTokens);
  // Others that wait longer go first.
  if (!mQueue.empty() || !Dispatch(*flight, aNow, actions)) {
    Wait(*flight, aNow, actions);
  }
  return actions;
}

Actions
RoutingPolicy::OnGrant(const Grant& aGrant, Instant aNow)
{
  Actions actions;
  Flight* flight = Find(aGrant.mRequest, aGrant.mAttempt);
  const auto isAwaited = [&](FlightStage aStage, const std::string& aName) {
    return flight != nullptr && flight->mStage == aStage &&
           aName == aGrant.mEndpoint;
  };
  if (aGrant.mKind == WorkKind::Prefill &&
      isAwaited(FlightStage::ReservingPrefill,
                flight ? flight->mPrefill : "")) {
    flight->mHoldsPrefill = true;
    flight->mPrefillStarts = aNow + aGrant.mFreeIn;
    flight->mPrefillWaits = aGrant.mFreeIn > Duration::zero();
    if (EndpointView* view = mEndpoints.Find(aGrant.mEndpoint)) {
      view->mLoad.OnPrefillGranted(aGrant.mBacklog, flight->mWork, aNow);
    }
    flight->mStage = FlightStage::ReservingDecode;
    if (!ReserveDecode(*flight, aNow, actions)) {
      ReleasePrefill(*flight, aNow, actions);
      Wait(*flight, aNow, actions);
    }
    return actions;
  }
  const std::string decode = flight ? flight->mDecode : "";
  const bool isFirst = isAwaited(FlightStage::ReservingDecode, decode);
  if (aGrant.mKind == WorkKind::Decode &&
      (isFirst || isAwaited(FlightStage::MovingDecode, decode))) {
    flight->mHoldsDecode = true;
    if (EndpointView* view = mEndpoints.Find(decode)) {
      view->mLoad.OnDecodeReserved(flight->DecodePieces());
    }
    if (isFirst) {
      StartPrefill(*flight, aNow, actions);
    } else {
      Continue(*flight, aNow, actions);
    }
    return actions;
  }
  // Nobody waits for this grant any more.
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
    // The owner saves effort and is not needed for safety: without one, work
    // goes on and the engine's own admission decides.
    Grant grant;
    grant.mRequest = aRefusal.mRequest;
    grant.mAttempt = aRefusal.mAttempt;
    grant.mEndpoint = aRefusal.mEndpoint;
    grant.mKind = aRefusal.mKind;
    return OnGrant(grant, aNow);
  }
  Flight* flight = Find(aRefusal.mRequest, aRefusal.mAttempt);
  if (flight == nullptr) {
    return actions;
  }
  if (aRefusal.mKind == WorkKind::Prefill) {
    if (flight->mStage == FlightStage::ReservingPrefill) {
      OnPrefillRefused(*flight, aRefusal, aNow, actions);
    }
  } else if (flight->mStage == FlightStage::ReservingDecode ||
             flight->mStage == FlightStage::MovingDecode) {
    OnDecodeRefused(*flight, aRefusal, aNow, actions);
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
  Flight* flight = Find(aRequest, aAttempt);
  if (flight == nullptr || flight->mStage != FlightStage::Prefilling) {
    return actions;
  }
  const ModelRequest& request = flight->mRequest;
  if (EndpointView* view = mEndpoints.Find(flight->mPrefill)) {
    mEndpoints.OnSuccess(*view);
    mPrefixes.OnPrefill(view->mId, request.mPrefixes, aCachedTokens);
    if (!flight->mPrefillWaits && aCachedTokens < request.mPromptTokens) {
      mCosts.ObservePrefill(request.mModel,
                            view->mSpeed,
                            request.mPromptTokens - aCachedTokens,
                            aNow - flight->mPrefillStarts);
    }
  }
  Claim claim;
  claim.mRequest = request.mId;
  claim.mAttempt = flight->mAttempt;
  claim.mEndpoint = flight->mPrefill;
  claim.mKind = WorkKind::Prefill;
  claim.mPieces = PieceCount(request.mPromptTokens);
  claim.mIsStarted = true;
  actions.push_back(ClaimAction{ claim });
  Continue(*flight, aNow, actions);
  return actions;
}

Actions
RoutingPolicy::OnTransferDone(const std::string& aRequest,
                              std::uint32_t aAttempt,
                              double aBytes,
                              Instant aNow)
{
  Actions actions;
  Flight* flight = Find(aRequest, aAttempt);
  if (flight == nullptr || flight->mStage != FlightStage::Transferring) {
    return actions;
  }
  const EndpointView* from = mEndpoints.Find(flight->mPrefill);
  const EndpointView* to = mEndpoints.Find(flight->mDecode);
  if (from != nullptr && to != nullptr) {
    mLinks.Observe(from->mConfig.mLink,
                   to->mConfig.mLink,
                   aBytes,
                   aNow - flight->mTransferStart);
  }
  mCosts.ObserveTransfer(
    flight->mRequest.mModel, flight->mRequest.mPromptTokens, aBytes);
  flight->mIsAtPrefill = false;
  ReleasePrefill(*flight, aNow, actions);
  StartDecode(*flight, Duration::zero(), actions);
  return actions;
}

Actions
RoutingPolicy::OnFirstToken(const std::string& aRequest,
                            std::uint32_t aAttempt,
                            Instant aNow)
{
  Actions actions;
  Flight* flight = Find(aRequest, aAttempt);
  if (flight == nullptr || flight->mStage != FlightStage::StartingDecode) {
    return actions;
  }
  flight->mStage = FlightStage::Decoding;
  flight->mFirstToken = aNow;
  flight->mIsDecoding = true;
  if (EndpointView* view = mEndpoints.Find(flight->mDecode)) {
    mEndpoints.OnSuccess(*view);
    view->mLoad.OnDecodeStarted(flight->DecodePieces(), aNow);
  }
  actions.push_back(ClaimAction{ MakeDecodeClaim(*flight) });
  return actions;
}

Actions
RoutingPolicy::OnFinished(const std::string& aRequest,
                          std::uint32_t aAttempt,
                          std::uint64_t aTokens,
                          Instant aNow)
{
  Actions actions;
  Flight* flight = Find(aRequest, aAttempt);
  if (flight == nullptr) {
    return actions;
  }
  if (EndpointView* view = mEndpoints.Find(flight->mDecode);
      view != nullptr && flight->mIsDecoding) {
    mCosts.ObserveDecode(flight->mRequest.mModel,
                         view->mSpeed,
                         aTokens,
                         flight->mRequest.mMaxTokens,
                         aNow - flight->mFirstToken);
  }
  ReleasePrefill(*flight, aNow, actions);
  ReleaseDecode(*flight, aNow, actions);
  Forget(*flight);
  RunQueue(aNow, actions);
  return actions;
}

Actions
RoutingPolicy::OnCallerDisconnected(const std::string& aRequest, Instant aNow)
{
  Actions actions;
  const auto it = mFlights.find(aRequest);
  if (it == mFlights.end()) {
    return actions;
  }
  Flight& flight = *it->second;
  Abandon(flight, aNow, actions);
  Forget(flight);
  RunQueue(aNow, actions);
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
  for (const auto& it : mQueue.TakeExpired(aNow)) {
    if (const auto flight = mFlights.find(it.mRequest);
        flight != mFlights.end()) {
      Reject(*flight->second,
             aNow >= flight->second->mRequest.mDeadline
               ? RejectReason::DeadlinePassed
               : RejectReason::WaitedTooLong,
             std::chrono::seconds(1),
             aNow,
             actions);
    }
  }
  RunMoves(aNow, actions);
  RunQueue(aNow, actions);
  if (aNow - mLastRenewal >= mOptions.mClaimInterval) {
    mLastRenewal = aNow;
    RenewClaims(actions);
  }
  return actions;
}

} // namespace bulrushfold
