#include "Daemon/Daemon.h"

#include <csignal>
#include <utility>

#include "Base/Identifiers.h"
#include "Base/Log.h"
#include "Daemon/ProcessMetrics.h"
#include "Daemon/RequestFilters.h"
#include "Daemon/SuspectFilter.h"
#include "Outcome/RequestId.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;
constexpr Duration kStopPollInterval = std::chrono::milliseconds(50);
constexpr Duration kDrainingRetryAfter = std::chrono::seconds(1);

HttpServerLimits
CallerLimits(const LimitSettings& aLimits)
{
  HttpServerLimits limits;
  limits.mMaxHeaderBytes = aLimits.mMaxHeaderBytes;
  limits.mMaxBodyBytes = aLimits.mMaxBodyBytes;
  limits.mReadTimeout = aLimits.mCallerReadTimeout;
  limits.mHeaderTimeout = aLimits.mCallerReadTimeout;
  limits.mIdleTimeout = aLimits.mCallerReadTimeout;
  limits.mWriteTimeout = aLimits.mCallerWriteTimeout;
  return limits;
}

} // namespace

Daemon::Daemon(const Settings& aSettings)
  : mSettings(aSettings)
  , mRandom(SystemSeed())
  , mIncarnation(MakeUuidV7(mClock.Wall(), mRandom))
  , mOwnerId(absl::StrCat(aSettings.mDaemon.mName, "/", mIncarnation))
  , mHttpClient(mLoop)
  , mStore(mHttpClient, aSettings.mPlatform)
  , mTransport(mLoop, aSettings.mDaemon, aSettings.mPeers, mIncarnation)
  , mCluster(mLoop,
             mClock,
             mRandom,
             mTransport,
             mStore,
             mStore,
             mConfiguration,
             aSettings,
             mIncarnation)
  , mOutcomes(mLoop,
              mClock,
              mTransport,
              mCluster,
              mHttpClient,
              mConfiguration,
              mMetrics,
              aSettings,
              mIncarnation)
  , mEngines(mHttpClient, aSettings.mRouting)
  , mCancels(mLoop, mEngines, aSettings.mRouting)
  , mOwners(mLoop, mClock, mTransport, mCluster, mConfiguration)
  , mRouting(mLoop,
             mClock,
             mRandom,
             mConfiguration,
             mCluster,
             mOwners,
             mCancels,
             mOwnerId)
  , mLoads(mLoop, mEngines, mConfiguration, mRouting, aSettings.mRouting)
  , mHoldings(mLoop,
              mClock,
              mEngines,
              mCancels,
              mCluster,
              mOwners,
              mConfiguration)
  , mModelServices{ mLoop,    mClock,   mConfiguration,
                    mEngines, mRouting, mLoads,
                    mCluster, nullptr,  aSettings.mLimits,
                    mOwnerId }
  , mServiceClient(mHttpClient, mConfiguration, aSettings.mRouting)
  , mServiceServices{ mLoop, mClock, mServiceClient }
  , mBookings(mLoop,
              mClock,
              mTransport,
              mCluster,
              mStore,
              mServiceClient,
              aSettings,
              mOwnerId)
  , mLimits(mLoop, mClock, mTransport, mCluster, mConfiguration)
  , mChanges(mLoop, mClock, mRandom, mCluster, mStore, aSettings.mDaemon.mName)
  , mAdminServer(mLoop,
                 mSettings,
                 mIncarnation,
                 mCluster,
                 mConfiguration,
                 mChanges,
                 mOutcomes,
                 mLoads,
                 [this] { return Status(); })
  , mCallerServer(mLoop,
                  CallerLimits(aSettings.mLimits),
                  [this](std::shared_ptr<HttpExchange> aExchange) {
                    HandleCaller(std::move(aExchange));
                  })
{
  AddFilters();
  mTermSignal = mLoop.OnSignal(SIGTERM, [this] { BeginStop(); });
  mIntSignal = mLoop.OnSignal(SIGINT, [this] { BeginStop(); });
}

void
Daemon::AddFilters()
{
  mChain.Add(std::make_unique<TraceFilter>());
  mChain.Add(std::make_unique<IdentifyFilter>(mConfiguration));
  mChain.Add(
    std::make_unique<ClassifyFilter>(mConfiguration, mSettings.mLimits));
  mChain.Add(std::make_unique<LimitFilter>(mLimits));
  mChain.Add(std::make_unique<OutcomeFilter>(mOutcomes));
  mChain.Add(std::make_unique<BookingFilter>(mBookings));
  mChain.Add(std::make_unique<LookupFilter>(mServiceServices));
  auto suspects = std::make_unique<SuspectFilter>(mLoop, mClock, mCluster);
  mModelServices.mSuspects = suspects.get();
  mChain.Add(std::move(suspects));
  mChain.Add(std::make_unique<ModelFilter>(mModelServices));
}

absl::Status
Daemon::Start()
{
  if (auto status = mCallerServer.Listen(mSettings.mDaemon.mCallerAddress);
      !status.ok()) {
    return status;
  }
  if (auto status = mTransport.Listen(); !status.ok()) {
    return status;
  }
  if (auto status = mAdminServer.Listen(); !status.ok()) {
    return status;
  }
  mChanges.Start();
  mOutcomes.Start();
  mOwners.Start();
  mRouting.Start();
  mLoads.Start();
  mHoldings.Start();
  mLimits.Start();
  mBookings.Start();
  mCluster.Start();
  LogEvent(
    LogLevel::Info,
    "daemon_started",
    { { "name", mSettings.mDaemon.mName },
      { "incarnation", mIncarnation },
      { "failure_domain", mSettings.mDaemon.mFailureDomain },
      { "caller_address", FormatAddress(mSettings.mDaemon.mCallerAddress) } });
  return absl::OkStatus();
}

DaemonStatus
Daemon::Status() const
{
  return { IsReady(),
           mInProgress,
           mBookings.WaitingCount(),
           mStore.Statistics().mIsAvailable,
           mStore.Statistics().mLastAnswer };
}

bool
Daemon::IsReady() const
{
  return mCluster.IsReady() && !mIsStopping;
}

std::string
Daemon::FormatMetrics()
{
  UpdateGauges(mMetrics,
               { mTransport.Statistics(),
                 mStore.Statistics(),
                 mInProgress,
                 mRouting.WaitingCount(),
                 mBookings.WaitingCount(),
                 mCancels.Pending(),
                 mCluster.Rings().Size(),
                 IsReady() });
  return mMetrics.Format(mClock.Now());
}

bool
Daemon::AnswerHealth(HttpExchange& aExchange)
{
  const std::string& path = aExchange.Request().mPath;
  if (path == "/healthz") {
    aExchange.Reply(kStatusOk, { { "Content-Type", "text/plain" } }, "ok\n");
    return true;
  }
  if (path == "/metrics") {
    aExchange.Reply(kStatusOk,
                    { { "Content-Type", "text/plain; version=0.0.4" } },
                    FormatMetrics());
    return true;
  }
  if (path == "/readyz") {
    const char* reason = mIsStopping           ? "stopping\n"
                         : !mCluster.IsReady() ? "configuration not compared\n"
                                               : "ready\n";
    aExchange.Reply(IsReady() ? kStatusOk : kStatusUnavailable,
                    { { "Content-Type", "text/plain" } },
                    reason);
    return true;
  }
  return false;
}

void
Daemon::HandleCaller(std::shared_ptr<HttpExchange> aExchange)
{
  if (AnswerHealth(*aExchange)) {
    return;
  }
  auto request = std::make_shared<RequestContext>(
    std::move(aExchange),
    MakeRequestId(mClock.Wall(), mRandom, mSettings.mDaemon.mName),
    mClock);
  BeginRequest(request);
  mCluster.CheckClock();
  if (!IsReady()) {
    request->Refuse({ mIsStopping ? Cause::Draining : Cause::NotReady,
                      RanState::No,
                      "this daemon takes no new requests",
                      kDrainingRetryAfter });
    return;
  }
  mChain.Run(request);
}

void
Daemon::BeginRequest(const RequestPointer& aRequest)
{
  ++mInProgress;
  OutcomeRecord& partialRecord = aRequest->Timeline().PartialRecord();
  partialRecord.mDaemon = mSettings.mDaemon.mName;
  partialRecord.mPreset = mConfiguration.Presets().mInForce;
  partialRecord.mPresetVersion = mCluster.Version(kPresetsKey);
  aRequest->mOver.connect([this](const RequestContext& aOver) {
    --mInProgress;
    mOutcomes.End(aOver);
  });
}

void
Daemon::BeginStop()
{
  if (std::exchange(mIsStopping, true)) {
    return;
  }
  LogEvent(LogLevel::Info, "stop_begun", { { "in_progress", mInProgress } });
  mCluster.Leave();
  mBookings.BeginStop();
  mStopTimer = mLoop.Every(kStopPollInterval, [this] { EndStopWhenIdle(); });
}

void
Daemon::EndStopWhenIdle()
{
  if (mInProgress == 0 && mCancels.Pending() == 0 && mBookings.IsIdle()) {
    LogEvent(LogLevel::Info, "stop_complete", {});
    mOutcomes.SendBatches();
    // The last records leave within one turn of the loop.
    mStopTimer = mLoop.After(kStopPollInterval, [this] { mLoop.Stop(); });
  }
}

} // namespace bulrushfold
