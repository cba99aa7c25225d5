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

OrderTiming
Timing()
{
  OrderTiming timing;
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
                               RoleBalance aBalance,
                               const StreamScheduler& aScheduler,
                               const RouterSettings& aSettings,
                               std::string aHolder,
                               Hooks aHooks)
  : mLoop(aLoop)
  , mClock(aClock)
  , mStore(aStore)
  , mClient(aClient)
  , mProtocol(aProtocol)
  , mDirectory(aDirectory)
  , mBalance(aBalance)
  , mScheduler(aScheduler)
  , mSettings(aSettings)
  , mHolder(std::move(aHolder))
  , mHooks(std::move(aHooks))
  , mLease(mHolder, Timing())
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
    mWanted.reset();
    mCall.reset();
  }
  if (mWanted && !mCall && !RoleBalance::Holds(*mWanted, now)) {
    LogEvent(
      LogLevel::Info,
      "role_change_dropped",
      { { "endpoint", mWanted->mEndpoint }, { "reason", "no lease in time" } });
    mWanted.reset();
  }
  const auto table = mHooks.mTable();
  if (!table) {
    return;
  }
  for (const auto& [name, service] : table->Config().mServices) {
    if (service.mEngine) {
      mBalance.Observe(name, now);
      if (!mWanted && mHooks.mIsFirst()) {
        Consider(name, *service.mEngine);
      }
    }
  }
  RunLease(mWanted.has_value());
}

void
RoleController::Consider(const std::string& aService,
                         const EngineProfile& aProfile)
{
  const auto change = mBalance.Decide(aService,
                                      aProfile,
                                      mScheduler.Growth(),
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
  // A lease that is not needed any more runs out by itself, so that another
  // holder's orders do not follow this one's closely.
  if (!aIsNeeded) {
    return;
  }
  if (mLease.CanOrder(now)) {
    if (!mCall) {
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
  if (aStep.mReads) {
    mStore.Get(key, [this](const absl::StatusOr<StoredObject>& aObject) {
      mLease.OnRead(aObject, mClock.Now());
      RunLease(mWanted.has_value());
    });
  }
  if (aStep.mWritten) {
    mStore.Put(key,
               *aStep.mWritten,
               aStep.mExpected,
               [this, write = aStep.mWrite](
                 const absl::StatusOr<std::uint64_t>& aVersion) {
                 mLease.OnWritten(write, aVersion, mClock.Now());
                 LogEvent(LogLevel::Info,
                          "order_lease",
                          { { "fence", mLease.Fencing() },
                            { "result", aVersion.status().ToString() } });
                 RunLease(mWanted.has_value());
               });
  }
}

void
RoleController::BeginOrder()
{
  const EndpointRecord* endpoint = mDirectory.Find(mWanted->mEndpoint);
  if (endpoint == nullptr || !mDirectory.IsUsable(mWanted->mEndpoint)) {
    EndOrder("endpoint_left");
    return;
  }
  HttpCallRequest request = mProtocol.State(*endpoint);
  request.mSilenceBound = kCallTimeout;
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
  } else if (!mLease.CanOrder(mClock.Now())) {
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
                                                mLease.Fencing(),
                                                aOrdersAccepted);
  request.mSilenceBound = kCallTimeout;
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
    mHooks.mOnOrdered(mWanted->mEndpoint, mWanted->mRole);
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
             { "fence", mLease.Fencing() },
             { "result", aResult } });
  mBalance.OnOrdered(mClock.Now());
  mWanted.reset();
}

} // namespace bulrushfold
