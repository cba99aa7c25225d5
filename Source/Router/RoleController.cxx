#include "Router/RoleController.h"

#include <utility>

#include "Base/Log.h"
#include "Net/HttpStatus.h"

namespace bulrushfold {

namespace {
constexpr Duration kTickInterval = std::chrono::milliseconds(500);
/** A tick that is late by more than this shows that the process was paused. */
constexpr Duration kClockGapLimit = std::chrono::seconds(1);
constexpr Duration kCallTimeout = std::chrono::milliseconds(800);
/** Maximum time in which the runs of an engine that is drained end or move. */
constexpr Duration kDrainTimeout = std::chrono::seconds(8);

/** The lease is as short as the minimum interval between the orders of two
 * holders allows, because the next holder waits until the lease has expired. */
OrderTiming
MakeOrderTiming(const RouterSettings& aSettings)
{
  OrderTiming timing;
  timing.mLease = aSettings.mOrderInterval + kClockGapLimit;
  timing.mClockGapLimit = kClockGapLimit;
  timing.mOrderTimeout = 2 * kCallTimeout;
  timing.mHolderInterval = aSettings.mOrderInterval;
  return timing;
}
} // namespace

RoleController::RoleController(EventLoop& aLoop,
                               const Clock& aClock,
                               ObjectStore& aStore,
                               EndpointClient& aClient,
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
  , mLease(aSettings.mName, MakeOrderTiming(aSettings))
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
    if (mPendingChange) {
      DropChange("pause");
    }
  }
  mLease.OnEra(mStore.Era(), now);
  const auto table = mHooks.mTable();
  if (!table) {
    return;
  }
  if (mPendingChange && !mCall &&
      table->FindService(mPendingService) == nullptr) {
    DropChange("service removed");
  }
  for (const auto& [name, service] : table->Config().mServices) {
    if (service.mEngine) {
      mBalancer.Sample(name, now);
      if (mPendingChange && mPendingService == name) {
        RevalidateChange(*service.mEngine);
      }
      if (!mPendingChange && mHooks.mHasLowestName()) {
        ProposeChange(name, *service.mEngine);
      }
    }
  }
  AdvanceLease(mPendingChange.has_value());
}

void
RoleController::RevalidateChange(const EngineProfile& aProfile)
{
  const Instant now = mClock.Now();
  if (mCall) {
    return;
  }
  if (mDrainDeadline && now >= *mDrainDeadline) {
    DropChange("not drained in time");
  } else if (!mBalancer.IsStillValid(*mPendingChange,
                                     mPendingService,
                                     aProfile,
                                     mScheduler.GrowthRate(),
                                     mScheduler.PrefillRate(),
                                     now)) {
    // An order can be delayed indefinitely while the store is unavailable, so
    // the reason for the change may no longer exist.
    DropChange("not needed any more");
  }
}

void
RoleController::DropChange(std::string_view aReason)
{
  LogEvent(LogLevel::Info,
           "role_change_dropped",
           { { "endpoint", mPendingChange->mEndpoint },
             { "role", EndpointRoleName(mPendingChange->mRole) },
             { "reason", aReason },
             { "registry", mDirectory.Revision() } });
  // An engine that was being drained gets new work again at the drain deadline,
  // which the peers also know.
  if (std::exchange(mDrainDeadline, std::nullopt)) {
    mBalancer.OnOrdered(mPendingService, mClock.Now());
  }
  mPendingChange.reset();
}

void
RoleController::ProposeChange(const std::string& aService,
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
  mPendingChange = change;
  mPendingService = aService;
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
  return mSettings.mOrderPrefix + mPendingService;
}

void
RoleController::AdvanceLease(bool aIsNeeded)
{
  const Instant now = mClock.Now();
  const bool isDraining =
    mDrainDeadline && mBalancer.RunsAt(mPendingChange->mEndpoint) > 0;
  if (isDraining) {
    return;
  }
  // A lease that is no longer needed is left to expire, so that the orders of
  // the next holder do not follow too soon after the orders of this one.
  if (!aIsNeeded) {
    return;
  }
  if (CanSendOrder()) {
    if (mPendingChange->mMustDrain && !mDrainDeadline) {
      StartDrain();
    } else if (!mCall) {
      StartOrder();
    }
    return;
  }
  ExecuteLeaseStep(mLease.Tick(true, false, now));
}

bool
RoleController::CanSendOrder()
{
  const Instant now = mClock.Now();
  mLease.OnEra(mStore.Era(), now);
  return mLease.CanSendOrder(now);
}

void
RoleController::ExecuteLeaseStep(const LeaseStep& aStep)
{
  const std::string key = LeaseKey();
  if (aStep.mNeedsRead) {
    mStore.Get(key, [this](const absl::StatusOr<StoredObject>& aObject) {
      mLease.OnEra(mStore.Era(), mClock.Now());
      mLease.OnRead(aObject, mClock.Now());
      AdvanceLease(mPendingChange.has_value());
    });
  }
  if (aStep.mBodyToWrite) {
    mStore.Put(key,
               *aStep.mBodyToWrite,
               aStep.mExpectedVersion,
               [this, write = aStep.mWriteNumber](
                 const absl::StatusOr<std::uint64_t>& aVersion) {
                 mLease.OnEra(mStore.Era(), mClock.Now());
                 mLease.OnWritten(write, aVersion, mClock.Now());
                 LogEvent(LogLevel::Info,
                          "order_lease",
                          { { "fence", mLease.FencingNumber() },
                            { "result", aVersion.status().ToString() } });
                 AdvanceLease(mPendingChange.has_value());
               });
  }
}

void
RoleController::StartDrain()
{
  const Instant now = mClock.Now();
  mDrainDeadline = now + kDrainTimeout;
  LogEvent(LogLevel::Info,
           "engine_set_aside",
           { { "endpoint", mPendingChange->mEndpoint },
             { "role", EndpointRoleName(mPendingChange->mRole) },
             { "runs", mBalancer.RunsAt(mPendingChange->mEndpoint) } });
  mHooks.mOnOrdered(mPendingChange->mEndpoint,
                    { mPendingChange->mRole, *mDrainDeadline });
}

void
RoleController::StartOrder()
{
  const EndpointRecord* endpoint = mDirectory.Find(mPendingChange->mEndpoint);
  if (endpoint == nullptr || mDirectory.IsLeaving(endpoint->mId)) {
    EndOrder("endpoint_left");
    return;
  }
  HttpCallRequest request = mProtocol.State(*endpoint);
  request.mReadTimeout = kCallTimeout;
  HttpCallHooks hooks;
  hooks.mOnDone = [this](const HttpCallReply& aReply) { HandleState(aReply); };
  mCall = mClient.Start(*endpoint, std::move(request), std::move(hooks));
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
  } else if (state->mIsBusy || state->mRole == mPendingChange->mRole) {
    EndOrder(state->mIsBusy ? "engine_busy" : "role_holds");
  } else if (!CanSendOrder()) {
    EndOrder("lease_over");
  } else {
    SendOrder(state->mOrdersAccepted);
  }
}

void
RoleController::SendOrder(std::uint64_t aOrdersAccepted)
{
  const EndpointRecord* endpoint = mDirectory.Find(mPendingChange->mEndpoint);
  if (endpoint == nullptr || mDirectory.IsLeaving(endpoint->mId)) {
    EndOrder("endpoint_left");
    return;
  }
  HttpCallRequest request = mProtocol.OrderRole(*endpoint,
                                                mPendingChange->mRole,
                                                mSettings.mName,
                                                mLease.FencingNumber(),
                                                aOrdersAccepted);
  request.mReadTimeout = kCallTimeout;
  // Without this timeout, a request that waits for a connection could arrive
  // after the lease has expired.
  request.mConnectTimeout = kCallTimeout;
  HttpCallHooks hooks;
  hooks.mOnDone = [this](const HttpCallReply& aReply) { HandleOrder(aReply); };
  mCall = mClient.Start(*endpoint, std::move(request), std::move(hooks));
}

void
RoleController::HandleOrder(const HttpCallReply& aReply)
{
  mCall.reset();
  const bool isAccepted = aReply.mResult == HttpCallResult::Complete &&
                          aReply.mStatus == kHttpAccepted;
  // If there was no answer, the engine may still execute the order.
  if (isAccepted || aReply.mResult != HttpCallResult::Complete) {
    mHooks.mOnOrdered(
      mPendingChange->mEndpoint,
      { mPendingChange->mRole, mClock.Now() + mSettings.mRoleChangeTime });
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
           { { "endpoint", mPendingChange->mEndpoint },
             { "role", EndpointRoleName(mPendingChange->mRole) },
             { "fence", mLease.FencingNumber() },
             { "result", aResult } });
  mDrainDeadline.reset();
  mBalancer.OnOrdered(mPendingService, mClock.Now());
  mPendingChange.reset();
}

} // namespace bulrushfold
