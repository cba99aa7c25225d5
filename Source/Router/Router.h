#ifndef BULRUSHFOLD_ROUTER_ROUTER_H
#define BULRUSHFOLD_ROUTER_ROUTER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/LogWriter.h"
#include "Base/Random.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "Outcome/Metrics.h"
#include "Platform/ObjectStore.h"
#include "Platform/ObjectWatcher.h"
#include "Platform/RelayedStore.h"
#include "Platform/StoreFeed.h"
#include "Router/EndpointClient.h"
#include "Router/EndpointProtocol.h"
#include "Router/PeerController.h"
#include "Router/PlacementClient.h"
#include "Router/PlacementOwner.h"
#include "Router/PlainPlacer.h"
#include "Router/RequestLog.h"
#include "Router/RoleController.h"
#include "Router/RouterFilters.h"
#include "Router/RouterServices.h"
#include "Router/RouterSettings.h"
#include "Router/StopController.h"
#include "Router/StreamDispatcher.h"
#include "Routing/CrashGuard.h"
#include "Routing/RestoredEntries.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** Parsers for the bodies of objects in the store. */
struct RegistryCodec
{
  /** InvalidArgument names the location of the error. */
  std::function<absl::StatusOr<RoutingConfig>(const StoredObject&)> mReadConfig;
  std::function<absl::StatusOr<EndpointRecord>(const StoredObject&)>
    mReadEndpoint;
};

/** One router process: creates its components and connects them. */
class Router
{
public:
  /** All arguments but aSettings must outlive the router. */
  Router(EventLoop& aLoop,
         const RouterSettings& aSettings,
         HttpClient& aClient,
         ObjectStore& aStore,
         const EndpointProtocol& aProtocol,
         RegistryCodec aCodec);
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /** Opens the listening sockets; the error names the address. */
  absl::Status Start();
  /** Starts a graceful shutdown, at whose end the event loop ends. */
  void Stop() { mStop.Begin(); }

private:
  static HttpServerLimits ServerLimits(const CallerLimits& aLimits,
                                       const RouterSettings& aSettings);
  void AddFilters();
  void HandleCaller(std::shared_ptr<HttpExchange> aExchange);
  void HandleReadiness(HttpExchange& aExchange);
  void HandleMetrics(HttpExchange& aExchange);
  void FlushLogs();
  bool IsReady() const;
  void LogReadinessChange();

  // Placement.
  PlacementOwner::Hooks OwnerHooks();
  PlacementClient::Hooks PlacementHooks();
  StreamOriginExchange::Hooks OriginHooks();
  /** The part of each workspace's quota that this daemon gives out: its own and
   * that of the daemons for which it decides. */
  double QuotaShare() const;
  void HandleLinksOpen(PeerTransport& aTransport);
  /** The objects under aPrefixes were fed and are watched at the store now. */
  void HandleWatched(const std::vector<std::string>& aPrefixes);
  void HandleNews(const std::string& aOwner,
                  const PeerStatus& aStatus,
                  std::size_t aDaemons);
  // Configuration.
  /** aHooks, which also pass on what they get to other daemons. */
  ObjectWatcherHooks WithFeed(const std::string& aPrefix,
                              const ObjectWatcherHooks& aHooks);
  ObjectWatcherHooks ConfigHooks();
  void ApplyConfig(const StoredObject& aObject);
  // Endpoints.
  ObjectWatcherHooks EndpointHooks();
  void ApplyEndpointListing(const StoreListing& aListing);
  void ApplyEndpoint(const StoredObject& aObject);
  /** True if aRecord, read at aVersion, takes effect now. */
  bool AcceptsEntry(const EndpointRecord& aRecord, std::uint64_t aVersion);
  /** An object of the config or the registry was read at aVersion. */
  void HandleVersion(std::uint64_t aVersion);
  /** Starts a grace period if the registry has come back from a copy. */
  void HandleRegistryVersion(std::uint64_t aVersion);
  /** Logs the reason once until it changes or the entry becomes readable: some
   * writers repeat an entry with each heartbeat. */
  void LogUnreadableEndpoint(const std::string& aKey,
                             const absl::Status& aStatus);
  void HandleEndpointChange(const EndpointRecord& aEndpoint,
                            EndpointChange aChange);
  void ScheduleExpiry();
  /** Time for which aEndpoint wants no requests. */
  Duration RemainingBackoff(const std::string& aEndpoint) const;
  void LogStoreState(std::string_view aPrefix, const absl::Status* aLost);

  EventLoop& mLoop;
  RouterSettings mSettings;
  SystemClock mClock;
  Random mRandom;
  HttpClient& mClient;
  RelayedStore mRelayedStore;
  StoreFeed mFeed;
  const EndpointProtocol& mProtocol;
  RegistryCodec mCodec;
  Metrics mMetrics;
  EndpointDirectory mDirectory;
  RestoredEntries mRestoredEntries;
  EndpointLoads mLoads;
  StreamRuns mRuns;
  CachedPrompts mCachedPrompts;
  LocalPrefillTurns mPrefillTurns;
  AnswerLengthEstimator mAnswerLengths;
  EndpointHealth mHealth;
  ServiceReach mReach;
  SharedRetryBudget mRetryBudget;
  CrashGuard mGuard;
  WorkspaceQuotas mQuotas;
  StreamOrigins mOrigins;
  SoftwareHistory mSoftwareHistory;
  DeferredRequests mDeferredRequests;
  PlainSelector mSelector;
  PlainQueue mPlainQueue;
  WakeTimer mPlainTimer;
  PlainPlacer mPlainPlacer;
  StreamScheduler mScheduler;
  StreamDispatcher mStreams;
  EndpointClient mEndpointClient;
  RecentGrants mGrants;
  RequestLog mLog;
  sigc::signal<void()> mOnStopEnd;
  CachedPromptQuery mCachedPromptQuery;
  PeerController mPeers;
  WakeTimer mOwnerTimer;
  PlacementOwner mOwner;
  WakeTimer mPlacementTimer;
  PlacementClient mPlacement;
  StreamOriginExchange mOriginExchange;
  RouterServices mServices;
  RoleController mRoles;
  std::shared_ptr<const RouteTable> mTable;
  bool mHasEndpoints = false;
  std::optional<StoreEra> mStoreEra;
  /** Prefixes whose watch has failed and is not back yet. */
  std::set<std::string> mLostPrefixes;
  /** Logged reasons by the keys of unreadable entries. */
  std::map<std::string, std::string> mUnreadableEndpoints;
  bool mWasReady = false;
  ObjectWatcher mConfigFollower;
  ObjectWatcher mEndpointFollower;
  RouterFilterChain mChain;
  HttpServer mCallerServer;
  HttpServer mReadinessServer;
  HttpServer mMetricsServer;
  StopController mStop;
  EventHandle mExpiryTimer;
  EventHandle mFeedTimer;
  EventHandle mLogTimer;
  /** Dropped log lines that the metrics already include. */
  LogDrops mReportedDrops;
  std::uint64_t mReportedOwnerChanges = 0;
  std::uint64_t mNextNumber = 1;
  /** Number of requests that have not ended. */
  std::shared_ptr<std::size_t> mOpenRequests = std::make_shared<std::size_t>(0);
};

} // namespace bulrushfold

#endif
