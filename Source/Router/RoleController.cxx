#include "Router/RoleController.h"

#include <utility>

#include "Base/Log.h"
#include "Net/HttpStatus.h"

namespace bulrushfold {

namespace {
constexpr Duration kTickInterval = std::chrono::milliseconds(500);
/** A turn that comes this late shows that the process was paused. */
constexpr Duration kClockGapLimit = std::chrono::seconds(1);
constexpr Duration kCallTimeout = std::chrono::milliseconds(800);
/** Time in which the runs of an engine that is set aside end or move. */
constexpr Duration kDrainLimit = std::chrono::seconds(8);

/** A lease is as short as the interval between the orders of two holders
 * allows, because the next holder waits until it has run out. */
OrderTiming
Timing(const RouterSettings& aSettings)
{
  OrderTiming timing;
  timing.mLease = aSettings.mOrderInterval + kClockGapLimit;
  timing.mClockGapLimit = kClockGapLimit;
  timing.mOrderTimeout = 2 * kCallTimeout;
  return timing;
}
} // namespace

RoleController::RoleController(EventLoop& aLoop,
                               const Clock& aClock,
                               ObjectStore& aStore,
                               HttpClient& aClient,
                               const EndpointProtocol& aProtocol,
                               EndpointDirectory& aDirectory,
                               RoleBalancer aBalancer,
                               const StreamScheduler& aScheduler,
                               const RouterSettings& aSettings,
                               Hooks aHooks)
  : mLoop(aLoop)
  , mClock(aClock)
  , mStore(aStore)
  , mClient(aClient)
  , mProtocol(aProtocol)
  , mDirectory(aDirectory)
  , mBalancer(std::move(aBalancer))
  , mScheduler(aScheduler)
  , mSettings(aSettings)
  , mHooks(std::move(aHooks))
  , mLease(aSettings.mName, Timing(aSettings))
{
}

void
RoleController::Start()
{
  mLastTick = mClock.Now();
  mTimer = mLoop.Every(kTickInterval, [this] { Tick(); });
}

void
RoleController::Tick()
{
  const Instant now = mClock.Now();
  if (now - std::exchange(mLastTick, now) > kTickInterval + kClockGapLimit) {
    LogEvent(
      LogLevel::Warning, "order_lease_dropped", { { "reason", "pause" } });
    mLease.OnClockGap(now);
    mCall.reset();
    if (mWanted) {
      Drop("pause");
    }
  }
  const auto table = mHooks.mTable();
  if (!table) {
    return;
  }
  if (mWanted && !mCall && table->FindService(mWantedService) == nullptr) {
    Drop("service removed");
  }
  for (const auto& [name, service] : table->Config().mServices) {
    if (service.mEngine) {
      mBalancer.Sample(name, now);
      if (mWanted && mWantedService == name) {
        Reconsider(*service.mEngine);
      }
      if (!mWanted && mHooks.mIsFirst()) {
        Consider(name, *service.mEngine);
      }
    }
  }
  RunLease(mWanted.has_value());
}

void
RoleController::Reconsider(const EngineProfile& aProfile)
{
  const Instant now = mClock.Now();
  if (mCall) {
    return;
  }
  if (mDrainUntil && now >= *mDrainUntil) {
    Drop("not drained in time");
  } else if (!mBalancer.IsStillValid(*mWanted,
                                     mWantedService,
                                     aProfile,
                                     mScheduler.GrowthRate(),
                                     mScheduler.PrefillRate(),
                                     now)) {
    // A store that is away can delay an order for as long as it likes.
    Drop("not needed any more");
  }
}

void
RoleController::Drop(std::string_view aReason)
{
  LogEvent(LogLevel::Info,
           "role_change_dropped",
           { { "endpoint", mWanted->mEndpoint },
             { "role", EndpointRoleName(mWanted->mRole) },
             { "reason", aReason },
             { "registry", mDirectory.Revision() } });
  // An engine that was set aside gets work again when the time to drain it is
  // over; peers know that time, too.
  if (std::exchange(mDrainUntil, std::nullopt)) {
    mBalancer.OnOrdered(mWantedService, mClock.Now());
  }
  mWanted.reset();
}

void
RoleController::Consider(const std::string& aService,
                         const EngineProfile& aProfile)
{
  const auto change = mBalancer.Decide(aService,
                                       aProfile,
                                       mScheduler.GrowthRate(),
                                       mScheduler.PrefillRate(),
                                       mClock.Now());
  if (!change) {
    return;
  }
  mWanted = change;
  mWantedService = aService;
  LogEvent(LogLevel::Info,
           "role_change_wanted",
           { { "service", aService },
             { "endpoint", change->mEndpoint },
             { "role", EndpointRoleName(change->mRole) },
             { "rate_before", change->mRateBefore },
             { "rate_after", change->mRateAfter },
             { "prefill_rate", mScheduler.PrefillRate() },
             { "growth", mScheduler.GrowthRate() },
             { "runs", mBalancer.RunsAt(change->mEndpoint) },
             { "registry", mDirectory.Revision() } });
}

std::string
RoleController::LeaseKey() const
{
  return mSettings.mOrderPrefix + mWantedService;
}

void
RoleController::RunLease(bool aIsNeeded)
{
  const Instant now = mClock.Now();
  const bool isDraining =
    mDrainUntil && mBalancer.RunsAt(mWanted->mEndpoint) > 0;
  if (isDraining) {
    return;
  }
  // A lease that is not needed any more runs out by itself, so that another
  // holder's orders do not follow this one's closely.
  if (!aIsNeeded) {
    return;
  }
  if (mLease.CanSendOrder(now)) {
    if (mWanted->mMustDrain && !mDrainUntil) {
      SetAside();
    } else if (!mCall) {
      BeginOrder();
    }
    return;
  }
  Do(mLease.Tick(true, false, now));
}

void
RoleController::Do(const LeaseStep& aStep)
{
  const std::string key = LeaseKey();
  if (aStep.mNeedsRead) {
    mStore.Get(key, [this](const absl::StatusOr<StoredObject>& aObject) {
      mLease.OnRead(aObject, mClock.Now());
      RunLease(mWanted.has_value());
    });
  }
  if (aStep.mBodyToWrite) {
    mStore.Put(key,
               *aStep.mBodyToWrite,
               aStep.mExpectedVersion,
               [this, write = aStep.mWriteNumber](
                 const absl::StatusOr<std::uint64_t>& aVersion) {
                 mLease.OnWritten(write, aVersion, mClock.Now());
                 LogEvent(LogLevel::Info,
                          "order_lease",
                          { { "fence", mLease.FencingNumber() },
                            { "result", aVersion.status().ToString() } });
                 RunLease(mWanted.has_value());
               });
  }
}

void
RoleController::SetAside()
{
  const Instant now = mClock.Now();
  mDrainUntil = now + kDrainLimit;
  LogEvent(LogLevel::Info,
           "engine_set_aside",
           { { "endpoint", mWanted->mEndpoint },
             { "role", EndpointRoleName(mWanted->mRole) },
             { "runs", mBalancer.RunsAt(mWanted->mEndpoint) } });
  mHooks.mOnOrdered(mWanted->mEndpoint, { mWanted->mRole, *mDrainUntil });
}

void
RoleController::BeginOrder()
{
  const EndpointRecord* endpoint = mDirectory.Find(mWanted->mEndpoint);
  if (endpoint == nullptr || endpoint->mIsDraining) {
    EndOrder("endpoint_left");
    return;
  }
  HttpCallRequest request = mProtocol.State(*endpoint);
  request.mReadTimeout = kCallTimeout;
  HttpCallHooks hooks;
  hooks.mOnDone = [this](const HttpCallReply& aReply) { HandleState(aReply); };
  mCall = mClient.Start(std::move(request), std::move(hooks));
}

void
RoleController::HandleState(const HttpCallReply& aReply)
{
  mCall.reset();
  const auto state =
    aReply.mResult == HttpCallResult::Complete && aReply.mStatus == kHttpOk
      ? mProtocol.ReadState(aReply.mBody)
      : absl::StatusOr<EngineState>(
          absl::UnavailableError(HttpCallResultName(aReply.mResult).data()));
  if (!state.ok()) {
    EndOrder(state.status().message().data());
  } else if (state->mIsBusy || state->mRole == mWanted->mRole) {
    EndOrder(state->mIsBusy ? "engine_busy" : "role_holds");
  } else if (!mLease.CanSendOrder(mClock.Now())) {
    EndOrder("lease_over");
  } else {
    SendOrder(state->mOrdersAccepted);
  }
}

void
RoleController::SendOrder(std::uint64_t aOrdersAccepted)
{
  const EndpointRecord* endpoint = mDirectory.Find(mWanted->mEndpoint);
  if (endpoint == nullptr) {
    EndOrder("endpoint_left");
    return;
  }
  HttpCallRequest request = mProtocol.OrderRole(*endpoint,
                                                mWanted->mRole,
                                                mSettings.mName,
                                                mLease.FencingNumber(),
                                                aOrdersAccepted);
  request.mReadTimeout = kCallTimeout;
  // A request that waited for a connection would arrive under an old lease.
  request.mConnectTimeout = kCallTimeout;
  HttpCallHooks hooks;
  hooks.mOnDone = [this](const HttpCallReply& aReply) { HandleOrder(aReply); };
  mCall = mClient.Start(std::move(request), std::move(hooks));
}

void
RoleController::HandleOrder(const HttpCallReply& aReply)
{
  mCall.reset();
  const bool isAccepted = aReply.mResult == HttpCallResult::Complete &&
                          aReply.mStatus == kHttpAccepted;
  // Without an answer the order may still be carried out.
  if (isAccepted || aReply.mResult != HttpCallResult::Complete) {
    mHooks.mOnOrdered(
      mWanted->mEndpoint,
      { mWanted->mRole, mClock.Now() + mSettings.mRoleChangeTime });
  }
  EndOrder(aReply.mResult == HttpCallResult::Complete
             ? (isAccepted ? "accepted" : "refused")
             : HttpCallResultName(aReply.mResult));
}

void
RoleController::EndOrder(std::string_view aResult)
{
  LogEvent(LogLevel::Info,
           "role_order_ended",
           { { "endpoint", mWanted->mEndpoint },
             { "role", EndpointRoleName(mWanted->mRole) },
             { "fence", mLease.FencingNumber() },
             { "result", aResult } });
  mDrainUntil.reset();
  mBalancer.OnOrdered(mWantedService, mClock.Now());
  mWanted.reset();
}

} // namespace bulrushfold
