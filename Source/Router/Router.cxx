#include "Router/Router.h"

#include <algorithm>
#include <utility>

#include "Base/Digest.h"
#include "Base/Log.h"
#include "Net/HttpStatus.h"
#include "Router/WorkspaceFilter.h"

namespace bulrushfold {

namespace {
/** File descriptors that are reserved for connections to endpoints, peers and
 * the store. */
constexpr std::size_t kReservedDescriptors = 400;
/** Part of the memory that the bodies of requests may use: one in so many. */
constexpr std::size_t kBodyMemoryDivisor = 4;
/** Minimum number of caller connections. */
constexpr std::size_t kMinCallerConnections = 100;
/** Part of the operators' tolerance for quotas that extends the bursts of the
 * workspaces; the rest is left for changes of the placement owner. */
constexpr double kBurstShareOfSlack = 0.5;
/** Interval at which buffered log lines are written. */
constexpr Duration kLogFlushInterval = std::chrono::milliseconds(250);
/** The connection is closed when a caller accepts no byte of its answer for
 * this time. */
constexpr Duration kCallerWriteTimeout = std::chrono::seconds(10);

const MetricInfo kOwnerChanges{ "bulrushfold_placement_owner_changes_total",
                                "Changes of the placement owner.",
                                {} };
const MetricInfo kIsOwner{
  "bulrushfold_placement_owner",
  "1 while this daemon places for the whole fleet, otherwise 0.",
  {}
};
const MetricInfo kBodyBytes{
  "bulrushfold_body_bytes",
  "Memory that the bodies of requests use, with the copies that are sent.",
  {}
};
const MetricInfo kStoreEra{
  "bulrushfold_store_era",
  "Era of the store; rises when the store comes back from a copy.",
  {}
};
const MetricInfo kReadsStore{
  "bulrushfold_store_watched",
  "1 while this daemon watches the store itself, 0 while it follows the owner.",
  {}
};
const MetricInfo kLogDrops{ "bulrushfold_log_lines_left_out_total",
                            "Log lines left out, by urgency.",
                            { "urgency" } };

/** Session number of a process that starts at aWall: greater than those of its
 * predecessors unless the time of day jumped. */
std::int64_t
FirstSession(WallTime aWall)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           aWall.time_since_epoch())
    .count();
}

void
LogAvoidance(const EndpointAvoidance& aAvoidance)
{
  LogEvent(LogLevel::Warning,
           "endpoint_avoided",
           { { "endpoint", aAvoidance.mEndpoint },
             { "service", aAvoidance.mService },
             { "result", SendResultName(aAvoidance.mResult) },
             { "failure_share", aAvoidance.mFailureShare },
             { "in_a_row", aAvoidance.mConsecutiveFailures },
             { "for_ms", ToMilliseconds(aAvoidance.mDuration) } });
}
} // namespace

HttpServerLimits
Router::ServerLimits(const CallerLimits& aLimits,
                     const RouterSettings& aSettings)
{
  HttpServerLimits limits;
  limits.mMaxHeaderBytes = aLimits.mMaxHeaderBytes;
  limits.mMaxBodyBytes = aLimits.mMaxBodyBytes;
  limits.mHeaderTimeout = aLimits.mHeaderTimeout;
  limits.mReadTimeout = aLimits.mHeaderTimeout;
  limits.mIdleTimeout = aLimits.mIdleTimeout;
  limits.mWriteTimeout = kCallerWriteTimeout;
  limits.mMaxBodyMemory = aSettings.mMaxMemory / kBodyMemoryDivisor;
  const std::size_t descriptors = aSettings.mMaxDescriptors;
  limits.mMaxConnections =
    descriptors > kReservedDescriptors + kMinCallerConnections
      ? descriptors - kReservedDescriptors
      : kMinCallerConnections;
  return limits;
}

Router::Router(EventLoop& aLoop,
               const RouterSettings& aSettings,
               HttpClient& aClient,
               ObjectStore& aStore,
               const EndpointProtocol& aProtocol,
               RegistryCodec aCodec)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mRandom(SystemSeed())
  , mClient(aClient)
  , mRelayedStore(aStore)
  , mFeed(FirstSession(mClock.Wall()))
  , mProtocol(aProtocol)
  , mCodec(std::move(aCodec))
  , mDirectory(aSettings.mEndpointGrace)
  , mRestoredEntries(aSettings.mEntryRewriteTime)
  , mCachedPrompts(mRuns)
  , mPrefillTurns(mLoads, aSettings.mName)
  , mHealth(mRandom, LogAvoidance)
  , mReach(mDirectory,
           [this](const ReachChange& aChange) { mLog.ReachChanged(aChange); })
  , mRetryBudget(aSettings.mRetryLimits, mClock.Now())
  , mGuard(mRandom)
  , mQuotas([this] { return QuotaShare(); },
            kBurstShareOfSlack * aSettings.mQuotaSlack)
  , mSelector(mDirectory, mLoads, mHealth, aSettings.mFailureDomain, mRandom)
  , mPlainQueue(mSelector)
  , mPlainTimer(aLoop, mClock, [this] { mPlainPlacer.Dispatch(); })
  , mPlainPlacer(mClock,
                 mPlainQueue,
                 [this](Instant aTime) { mPlainTimer.WakeAt(aTime); })
  , mScheduler(mDirectory,
               mLoads,
               mRuns,
               mCachedPrompts,
               mPrefillTurns,
               mHealth,
               aSettings.mFailureDomain,
               mRandom,
               mClock.Now())
  , mStreams(aLoop, mClock, mScheduler, mRuns, mCachedPrompts)
  , mEndpointClient(mClock, aClient, aProtocol, mDirectory)
  , mLog(mClock, aSettings.mName, mDirectory, mMetrics)
  , mCachedPromptQuery(aLoop,
                       mClock,
                       mEndpointClient,
                       aProtocol,
                       mDirectory,
                       mCachedPrompts)
  , mPeers(
      aLoop,
      mClock,
      mRandom,
      aStore,
      mSettings,
      { mLoads,
        mRuns,
        mRetryBudget,
        mGuard,
        mDeferredRequests,
        mCachedPrompts,
        mPrefillTurns,
        mDirectory,
        mQuotas,
        mOrigins },
      { [this] { mStreams.ScheduleDispatchAfterUpdate(); },
        [this](std::vector<FleetMember> aMembers) {
          mPlacement.SetMembers(std::move(aMembers));
        },
        [this](PeerTransport& aTransport) { HandleLinksOpen(aTransport); } })
  , mOwnerTimer(aLoop, mClock, [this] { mOwner.OnWake(); })
  , mOwner(mClock,
           { mPlainPlacer,
             mStreams,
             mLoads,
             mHealth,
             mRetryBudget,
             mGuard,
             mDeferredRequests,
             mDirectory,
             mFeed,
             mQuotas,
             mOrigins },
           aSettings.mPeerAddress,
           OwnerHooks())
  , mPlacementTimer(aLoop, mClock, [this] { mPlacement.OnWake(); })
  , mPlacement(mClock,
               aSettings.mName,
               FirstSession(mClock.Wall()),
               mPeers.Link(),
               mPlainPlacer,
               mStreams,
               PlacementHooks())
  , mOriginExchange(aLoop,
                    mClock,
                    mOrigins,
                    mSoftwareHistory,
                    mPeers.Link(),
                    OriginHooks())
  , mServices{ aLoop,
               mClock,
               mEndpointClient,
               aProtocol,
               mDirectory,
               mLoads,
               mHealth,
               mReach,
               mRetryBudget,
               mGuard,
               mDeferredRequests,
               mCachedPrompts,
               mCachedPromptQuery,
               mAnswerLengths,
               mPlacement,
               mOrigins,
               mOriginExchange,
               mGrants,
               mLog,
               mOnStopEnd,
               [this] { return mNextNumber++; } }
  , mRoles(aLoop,
           mClock,
           aStore,
           mEndpointClient,
           aProtocol,
           mDirectory,
           RoleBalancer(mDirectory, mLoads, mRuns, mHealth),
           mScheduler,
           mSettings,
           { [this] { return mTable; },
             [this] {
               const bool decides = mPlacement.IsLargeFleet()
                                      ? mPlacement.IsOwner()
                                      : mPeers.HasLowestName();
               return decides && !mStop.IsStopping();
             },
             [this](const std::string& aEndpoint, const RoleOrder& aOrder) {
               mDirectory.OnRoleOrdered(aEndpoint, aOrder, mClock.Now());
               mPeers.ScheduleBroadcast();
             } })
  , mConfigFollower(aLoop,
                    mRelayedStore,
                    mRandom,
                    aSettings.mConfigPrefix,
                    WithFeed(aSettings.mConfigPrefix, ConfigHooks()))
  , mEndpointFollower(aLoop,
                      mRelayedStore,
                      mRandom,
                      aSettings.mEndpointPrefix,
                      WithFeed(aSettings.mEndpointPrefix, EndpointHooks()))
  , mCallerServer(aLoop,
                  ServerLimits({}, aSettings),
                  [this](std::shared_ptr<HttpExchange> aExchange) {
                    HandleCaller(std::move(aExchange));
                  })
  , mReadinessServer(aLoop,
                     {},
                     [this](const std::shared_ptr<HttpExchange>& aExchange) {
                       HandleReadiness(*aExchange);
                     })
  , mMetricsServer(aLoop,
                   {},
                   [this](const std::shared_ptr<HttpExchange>& aExchange) {
                     HandleMetrics(*aExchange);
                   })
  , mStop(aLoop,
          mClock,
          aSettings.mStopTimeout,
          { [this] {
             const HttpServerWork work = mCallerServer.UnfinishedWork();
             return OpenWork{ *mOpenRequests,
                              mCallerServer.Connections(),
                              work.mBusyConnections,
                              work.mUnsentBytes };
           },
            [this] {
              mCallerServer.BeginDraining();
              mPlacement.BeginStop();
              mOwner.BeginStop();
              LogReadinessChange();
            },
            [this] {
              // A request that is read from now on could not be finished.
              mCallerServer.StopListening();
              mOnStopEnd.emit();
              mCallerServer.CloseIdle();
              mRoles.Stop();
              mPeers.AnnounceStop();
            },
            [this] { mLoop.Stop(); } })
{
  AddFilters();
  mDirectory.OnChange().connect(
    sigc::mem_fun(*this, &Router::HandleEndpointChange));
  mGuard.OnOwnLoss().connect([this] { mPlacement.ReportStatus(); });
  mGuard.OnDecision().connect(sigc::mem_fun(mLog, &RequestLog::PartDecided));
  mCallerServer.OnRefused([](const HttpRefusal& aRefusal) {
    LogEvent(LogLevel::Warning,
             "request_unreadable",
             { { "status", aRefusal.mStatus },
               { "reason", aRefusal.mReason },
               { "target", aRefusal.mHead.mTarget } });
  });
}

void
Router::AddFilters()
{
  mChain.Add(std::make_unique<RouteFilter>(
    mServices, mRandom, [this] { return mTable; }));
  mChain.Add(std::make_unique<WorkspaceFilter>(mServices, [this] {
    return mLostPrefixes.count(mSettings.mConfigPrefix) == 0;
  }));
  mChain.Add(std::make_unique<CrashFilter>(mServices));
  mChain.Add(std::make_unique<StopFilter>(
    mServices, [this](const CallParameters& aParameters) {
      return mStop.Refuses(aParameters.mRoute->mKind, aParameters.mDeadline);
    }));
  mChain.Add(std::make_unique<DispatchFilter>(mServices));
}

absl::Status
Router::Start()
{
  if (auto status = mCallerServer.Listen(mSettings.mCallerAddress);
      !status.ok()) {
    return status;
  }
  if (auto status = mReadinessServer.Listen(mSettings.mReadinessAddress);
      !status.ok()) {
    return status;
  }
  if (mSettings.mMetricsAddress) {
    if (auto status = mMetricsServer.Listen(*mSettings.mMetricsAddress);
        !status.ok()) {
      return status;
    }
  }
  mConfigFollower.Start();
  mEndpointFollower.Start();
  mPeers.Start();
  mRoles.Start();
  FlushLogs();
  LogEvent(LogLevel::Info,
           "router_started",
           { { "name", mSettings.mName },
             { "failure_domain", mSettings.mFailureDomain },
             { "caller_address", FormatAddress(mSettings.mCallerAddress) },
             { "store_address", FormatAddress(mSettings.mStoreAddress) } });
  return absl::OkStatus();
}

bool
Router::IsReady() const
{
  return mTable && mHasEndpoints && !mStop.IsStopping();
}

void
Router::LogReadinessChange()
{
  if (const bool isReady = IsReady(); isReady != mWasReady) {
    mWasReady = isReady;
    LogEvent(LogLevel::Info,
             "readiness_changed",
             { { "ready", isReady ? "yes" : "no" },
               { "config", mTable ? mTable->Config().mVersion : 0 },
               { "endpoints", mDirectory.Size() },
               { "stopping", mStop.IsStopping() ? "yes" : "no" } });
  }
}

void
Router::HandleReadiness(HttpExchange& aExchange)
{
  const bool isReady = IsReady();
  aExchange.Reply(
    isReady ? kHttpOk : kHttpUnavailable, {}, isReady ? "ready\n" : "");
}

void
Router::FlushLogs()
{
  FlushLog();
  mLogTimer = mLoop.After(kLogFlushInterval, [this] { FlushLogs(); });
}

void
Router::HandleMetrics(HttpExchange& aExchange)
{
  const LogDrops drops = CountLogDrops();
  mMetrics.GetCounter(kLogDrops, { "ordinary" })
    .Add(drops.mOrdinary - mReportedDrops.mOrdinary);
  mMetrics.GetCounter(kLogDrops, { "urgent" })
    .Add(drops.mUrgent - mReportedDrops.mUrgent);
  mReportedDrops = drops;
  mMetrics.GetCounter(kOwnerChanges)
    .Add(mPlacement.OwnerChanges() - mReportedOwnerChanges);
  mReportedOwnerChanges = mPlacement.OwnerChanges();
  mMetrics.GetGauge(kIsOwner).Set(mPlacement.IsOwner() ? 1 : 0);
  mMetrics.GetGauge(kReadsStore).Set(mRelayedStore.IsFed() ? 0 : 1);
  mMetrics.GetGauge(kStoreEra).Set(static_cast<double>(mStoreEra.value_or(0)));
  mMetrics.GetGauge(kBodyBytes)
    .Set(static_cast<double>(mCallerServer.BodyBytes()));
  aExchange.Reply(kHttpOk,
                  { { "Content-Type", "text/plain; version=0.0.4" } },
                  mMetrics.Format(mClock.Now()));
}

void
Router::HandleCaller(std::shared_ptr<HttpExchange> aExchange)
{
  const auto openRequests = mOpenRequests;
  ++*openRequests;
  const RoutedRequestPointer request(new RoutedRequest,
                                     [openRequests](RoutedRequest* aRequest) {
                                       --*openRequests;
                                       delete aRequest;
                                     });
  request->mNumber = mNextNumber++;
  request->mParameters.mArrival = aExchange->Arrival();
  request->mMetadata = mProtocol.ReadRequest(aExchange->Request());
  const HttpRequest& message = aExchange->Request();
  const std::uint64_t content = Hash64(message.mBody, Hash64(message.mTarget));
  request->mHash = Hash64(aExchange->CallerAddress(), content);
  request->mCrashKeys = { request->mMetadata.mSharedPromptParts,
                          request->mHash,
                          content };
  request->mExchange = std::move(aExchange);
  mChain.Run(request);
}

} // namespace bulrushfold
