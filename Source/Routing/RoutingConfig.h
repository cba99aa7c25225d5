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

/** What may be done with a request whose outcome is unknown. */
enum class RequestKind
{
  /** It may run more than once. */
  Idempotent,
  /** It may run at most once. */
  NonIdempotent,
  /** A stream of events from a model engine. */
  Stream,
};

/** A service that takes a share of a route's requests. */
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
  /** Endpoints that may run one request. */
  std::uint32_t mMaxAttempts = 1;
  std::vector<ServiceShare> mServices;
  /** A broken stream may go on at another endpoint. */
  bool mIsResumable = false;
};

/** What the model engines of a service can do. */
struct EngineProfile
{
  /** Requests in a batch. */
  std::uint32_t mSlots = 1;
  /** Engine memory, in tokens. */
  std::uint64_t mMemoryTokens = 0;
  /** Tokens in one event of a stream. */
  std::uint32_t mTokensPerEvent = 1;
  /** Longest time for which memory may be reserved; zero: not offered. */
  Duration mMaxReservation{};
  /** Time for which a prefilled KV cache waits for its decode. */
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

/** Bounds on what callers may send, and how slowly. */
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
};

} // namespace bulrushfold

#endif
