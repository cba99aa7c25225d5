#ifndef BULRUSHFOLD_ROUTING_ROUTINGCONFIG_H
#define BULRUSHFOLD_ROUTING_ROUTINGCONFIG_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"

namespace bulrushfold {

/** Whether a request may be sent again when its outcome is unknown. */
enum class RequestKind
{
  /** The request may run more than once. */
  Idempotent,
  /** The request may run at most once. */
  NonIdempotent,
  /** The answer is a stream of events from a model engine. */
  Stream,
};

/** A service that gets a share of a route's requests. */
struct ServiceShare
{
  std::string mService;
  /** Relative to the other shares of the route; not negative. */
  double mWeight = 1;
};

/** How requests of one host and path prefix are handled. */
struct Route
{
  std::string mName;
  std::string mHost;
  /** Begins and ends with a slash. */
  std::string mPathPrefix;
  RequestKind mKind = RequestKind::NonIdempotent;
  /** Longest time until the final answer. */
  Duration mTimeout = std::chrono::seconds(30);
  /** Time within which an answer, or a stream's first event, is on time. */
  Duration mLatencyTarget = std::chrono::seconds(1);
  /** Longest pause between events of a stream that is on time; zero: any. */
  Duration mEventIntervalTarget{};
  /** 0 is the most urgent. */
  int mPriority = 0;
  /** Maximum number of endpoints that one request is sent to. */
  std::uint32_t mMaxAttempts = 1;
  std::vector<ServiceShare> mServices;
  /** An interrupted stream may be resumed at another endpoint. */
  bool mIsResumable = false;
  /** Callers need no key. */
  bool mIsPublic = false;
};

/** Limit on the use of a workspace, for all daemons together. */
struct WorkspaceQuota
{
  /** Units per second; 0: no limit. */
  double mRate = 0;
  /** Units that may be used at once. */
  double mBurst = 0;
  /** The unit is a token; otherwise it is a request. */
  bool mCountsTokens = false;
  /** Tokens of a request that does not state any. */
  double mPlainTokens = 1;
};

/** A workspace with its keys and limits. */
struct Workspace
{
  std::string mName;
  std::vector<std::string> mKeys;
  /** Goes before the priority of the route. */
  std::optional<int> mPriority;
  WorkspaceQuota mQuota;
};

/** Capacity and features of the model engines of a service. */
struct EngineProfile
{
  /** Maximum number of requests in a batch. */
  std::uint32_t mSlots = 1;
  /** Engine memory, in tokens. */
  std::uint64_t mMemoryTokens = 0;
  /** Tokens in one event of a stream. */
  std::uint32_t mTokensPerEvent = 1;
  /** Longest time for which memory may be reserved; zero: the engines offer no
   * reservations. */
  Duration mMaxReservation{};
  /** Time for which a prefill engine keeps a KV cache for the decode engine. */
  Duration mCacheLifetime = std::chrono::milliseconds(500);
};

/** A service of endpoints. */
struct ServiceProfile
{
  std::string mName;
  /** Connections that one endpoint accepts from all callers together. */
  std::uint32_t mMaxConnections = 0;
  /** Set for model engines. */
  std::optional<EngineProfile> mEngine;
};

/** Limits on the size of callers' requests and on the time to send them. */
struct CallerLimits
{
  std::size_t mMaxHeaderBytes = 16 * 1024;
  std::size_t mMaxBodyBytes = 4 * 1024 * 1024;
  Duration mHeaderTimeout = std::chrono::seconds(3);
  Duration mIdleTimeout = std::chrono::seconds(15);
};

/** The operators' configuration in one version. */
struct RoutingConfig
{
  /** Increases with each change. */
  std::uint64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::map<std::string, ServiceProfile> mServices;
  CallerLimits mLimits;
  /** Empty: callers need no keys, and there are no workspaces. */
  std::vector<Workspace> mWorkspaces;
};

} // namespace bulrushfold

#endif
