#include "Router/Router.h"

#include <functional>
#include <utility>

namespace bulrushfold {

namespace {
/** Time for the first feed of a new owner. All daemons notice within this time
 * that the former one has failed. */
constexpr Duration kFeedWait = std::chrono::milliseconds(700);
} // namespace

PlacementOwner::Hooks
Router::OwnerHooks()
{
  PlacementOwner::Hooks hooks;
  hooks.mNextNumber = [this] { return mNextNumber++; };
  hooks.mMemberCount = [this] { return mPlacement.MemberCount(); };
  hooks.mFindCachedPrompt = [this](const StreamDemand& aDemand,
                                   std::function<void()> aDone) {
    if (mCachedPrompts.Find(aDemand.mPromptKey, mClock.Now()).empty()) {
      mCachedPromptQuery.Start(aDemand.mService, std::move(aDone));
    } else {
      aDone();
    }
  };
  hooks.mOnStepDown = [this] { mPlacement.StepDown(); };
  hooks.mWakeAt = [this](Instant aTime) { mOwnerTimer.WakeAt(aTime); };
  return hooks;
}

PlacementClient::Hooks
Router::PlacementHooks()
{
  PlacementClient::Hooks hooks;
  hooks.mMakeStatus = [this] { return mPeers.MakeSummary(); };
  hooks.mOnNews = [this](const std::string& aOwner,
                         const PeerStatus& aStatus,
                         std::size_t aDaemons) {
    HandleNews(aOwner, aStatus, aDaemons);
  };
  hooks.mOnOwnerLeft = [this](const std::string& aOwner, bool aHasNext) {
    mFeedTimer = EventHandle();
    if (aHasNext) {
      mRelayedStore.OnFeedChanging();
      mFeedTimer = mLoop.After(
        kFeedWait, [this] { HandleWatched(mRelayedStore.StopWaiting()); });
    } else {
      HandleWatched(mRelayedStore.OnFeedLost());
    }
    mRetryBudget.RemovePeer(aOwner);
  };
  hooks.mReachesStore = [this] {
    return mHasEndpoints && mLostPrefixes.empty() && !mRelayedStore.IsFed();
  };
  hooks.mFeedPositions = [this] { return mRelayedStore.Positions(); };
  hooks.mOnFeed = [this](const FeedUpdate& aUpdate) {
    mRelayedStore.OnFeed(aUpdate);
    // Two daemons that pass on each other's feed would both miss changes.
    if (aUpdate.mIsCurrent) {
      mFeed.OnLost(aUpdate.mPrefix);
    }
  };
  hooks.mIsUsable = [this](const std::string& aEndpoint) {
    return mDirectory.IsUsable(aEndpoint);
  };
  hooks.mTakeQuota = [this](const PlacementTerms& aTerms) {
    return mQuotas.Take(aTerms, mClock.Now());
  };
  hooks.mRefundQuota = [this](const PlacementTerms& aTerms) {
    mQuotas.Refund(aTerms);
  };
  hooks.mOnFollowing = [this] {
    mQuotas.Suspend();
    mOrigins.TellAgain(mClock.Now());
  };
  hooks.mWakeAt = [this](Instant aTime) { mPlacementTimer.WakeAt(aTime); };
  hooks.mDefer = [this](std::function<void()> aCallback) {
    mLoop.Defer(std::move(aCallback));
  };
  return hooks;
}

StreamOriginExchange::Hooks
Router::OriginHooks()
{
  StreamOriginExchange::Hooks hooks;
  hooks.mRecordHolders = [this] {
    return mPlacement.IsLargeFleet() ? mPlacement.RecordHolders()
                                     : mPeers.LivePeers();
  };
  hooks.mIsOwner = [this] { return mPlacement.IsOwner(); };
  return hooks;
}

double
Router::QuotaShare() const
{
  const std::size_t served = mPlacement.IsLargeFleet()
                               ? mOwner.ClientCount() + 1
                               : mPeers.LiveCount() + 1;
  const std::size_t members = mPlacement.MemberCount();
  return members == 0 ? 1
                      : static_cast<double>(served) /
                          static_cast<double>(std::max(served, members));
}

void
Router::HandleLinksOpen(PeerTransport& aTransport)
{
  mOriginExchange.HandleLinksOpen(aTransport);
  using Kind = wire::MessageKind;
  using Responder = PeerTransport::Responder;
  const auto handleCall = [&](Kind::type aKind,
                              void (PlacementOwner::*aHandler)(
                                const std::string&,
                                const std::string&,
                                PlacementOwner::Responder)) {
    aTransport.Handle(
      aKind,
      [this, aHandler](const std::string& aSender,
                       const std::string& aPayload,
                       Responder aResponder) {
        std::invoke(aHandler, mOwner, aSender, aPayload, std::move(aResponder));
      });
  };
  handleCall(Kind::PLACE_PLAIN, &PlacementOwner::HandlePlain);
  handleCall(Kind::PLACE_STREAM, &PlacementOwner::HandleStream);
  handleCall(Kind::PLACEMENT_POLL, &PlacementOwner::HandlePoll);
  aTransport.Handle(
    Kind::PLACEMENT_EVENTS,
    [this](const std::string& aSender,
           const std::string& aPayload,
           const Responder&) { mOwner.HandleEvents(aSender, aPayload); });
}

void
Router::HandleWatched(const std::vector<std::string>& aPrefixes)
{
  for (const auto& it : aPrefixes) {
    mFeed.OnWatched(it);
  }
}

void
Router::HandleNews(const std::string& aOwner,
                   const PeerStatus& aStatus,
                   std::size_t aDaemons)
{
  const Instant now = mClock.Now();
  mRetryBudget.SetFleet(aOwner, aStatus.mRetries, aDaemons - 1);
  mGuard.Merge(aStatus.mCrashes, now);
  for (const auto& [endpoint, order] : aStatus.mRoleOrders) {
    mDirectory.OnRoleOrdered(endpoint, order, now);
  }
}

} // namespace bulrushfold
