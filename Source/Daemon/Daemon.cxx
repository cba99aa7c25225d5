#include "Daemon/Daemon.h"

#include <csignal>
#include <utility>

#include "Base/Identifiers.h"
#include "Base/Log.h"
#include "Daemon/RequestFilters.h"
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
  limits.mWriteTimeout = aLimits.mCallerWriteTimeout;
  return limits;
}

} // namespace

Daemon::Daemon(const Settings& aSettings)
  : mSettings(aSettings)
  , mRandom(SystemSeed())
  , mIncarnation(MakeUuidV7(mClock.Wall(), mRandom))
  , mHttpClient(mLoop)
  , mStore(mHttpClient, aSettings.mPlatform)
  , mLoader(mLoop, mStore, mConfiguration)
  , mEngines(mHttpClient, aSettings.mRouting)
  , mCancels(mLoop, mEngines, aSettings.mRouting)
  , mPairs(mConfiguration)
  , mModelServices{ mLoop,
                    mClock,
                    mConfiguration,
                    mEngines,
                    mCancels,
                    mPairs,
                    aSettings.mLimits,
                    absl::StrCat(aSettings.mDaemon.mName, "/", mIncarnation) }
  , mServiceClient(mHttpClient, mConfiguration, aSettings.mRouting)
  , mServiceServices{ mLoop, mClock, mServiceClient }
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
  mChain.Add(std::make_unique<TraceFilter>(mRandom));
  mChain.Add(std::make_unique<IdentifyFilter>(mConfiguration));
  mChain.Add(
    std::make_unique<ClassifyFilter>(mConfiguration, mSettings.mLimits));
  mChain.Add(std::make_unique<LookupFilter>(mServiceServices));
  mChain.Add(std::make_unique<ModelFilter>(mModelServices));
}

absl::Status
Daemon::Start()
{
  if (const auto status =
        mCallerServer.Listen(mSettings.mDaemon.mCallerAddress);
      !status.ok()) {
    return status;
  }
  mLoader.Start();
  LogEvent(
    LogLevel::Info,
    "daemon_started",
    { { "name", mSettings.mDaemon.mName },
      { "incarnation", mIncarnation },
      { "failure_domain", mSettings.mDaemon.mFailureDomain },
      { "caller_address", FormatAddress(mSettings.mDaemon.mCallerAddress) } });
  return absl::OkStatus();
}

bool
Daemon::IsReady() const
{
  return mLoader.IsLoaded() && !mIsStopping;
}

bool
Daemon::AnswerHealth(HttpExchange& aExchange) const
{
  const std::string& path = aExchange.Request().mPath;
  if (path == "/healthz") {
    aExchange.Reply(kStatusOk, { { "Content-Type", "text/plain" } }, "ok\n");
    return true;
  }
  if (path == "/readyz") {
    const char* reason = mIsStopping           ? "stopping\n"
                         : !mLoader.IsLoaded() ? "no configuration yet\n"
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
    std::move(aExchange), MakeUuidV7(mClock.Wall(), mRandom), mClock.Now());
  ++mInProgress;
  request->mOver.connect(
    [this](const RequestContext& aRequest, const RequestResult& aResult) {
      --mInProgress;
      LogEvent(
        LogLevel::Info,
        "request_over",
        { { "request", aRequest.RequestId() },
          { "workspace", aRequest.mWorkspace.mName },
          { "status", aResult.mStatus },
          { "code",
            aResult.mProblem
              ? std::string(ProblemCodeName(aResult.mProblem->mCode))
              : std::string(aResult.mIsCallerGone ? "caller_gone" : "none") },
          { "tokens", aResult.mTokens },
          { "ms", ToMilliseconds(mClock.Now() - aRequest.Start()) } });
    });
  if (!IsReady()) {
    request->Refuse(
      { mIsStopping ? ProblemCode::Draining : ProblemCode::NotReady,
        RanState::No,
        "this daemon takes no new requests",
        kDrainingRetryAfter });
    return;
  }
  mChain.Run(request);
}

void
Daemon::BeginStop()
{
  if (std::exchange(mIsStopping, true)) {
    return;
  }
  LogEvent(LogLevel::Info, "stop_begun", { { "in_progress", mInProgress } });
  mStopTimer = mLoop.Every(kStopPollInterval, [this] { EndStopWhenIdle(); });
}

void
Daemon::EndStopWhenIdle()
{
  if (mInProgress == 0 && mCancels.Pending() == 0) {
    LogEvent(LogLevel::Info, "stop_complete", {});
    mLoop.Stop();
  }
}

} // namespace bulrushfold
