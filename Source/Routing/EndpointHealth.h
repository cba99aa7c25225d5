#ifndef BULRUSHFOLD_ROUTING_ENDPOINTHEALTH_H
#define BULRUSHFOLD_ROUTING_ENDPOINTHEALTH_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "Base/Clock.h"
#include "Base/Random.h"

namespace bulrushfold {

/** How a request that was sent to an endpoint ended. */
enum class SendResult
{
  /** The endpoint sent a complete answer without a server error. */
  Answered,
  /** The endpoint answered with a server error. */
  ServerError,
  /** The request did not run: the endpoint was full, or another endpoint has
   * its address. */
  Refused,
  /** The endpoint refuses all requests because it changes its role or stops. */
  Unready,
  /** No connection could be established. */
  ConnectFailed,
  /** The connection was closed early, or the answer was invalid. */
  Interrupted,
  /** The endpoint did not answer within its timeout. */
  Slow,
  /** The caller's deadline or the route's timeout passed before the answer. */
  TimedOut,
};

/** The last SendResult. */
constexpr SendResult kLastSendResult = SendResult::TimedOut;

std::string_view SendResultName(SendResult aResult);

/** The request was sent, and no answer came while it was waited for. */
constexpr bool
IsWithoutAnswer(SendResult aResult)
{
  return aResult == SendResult::Slow || aResult == SendResult::TimedOut;
}

/** An endpoint that gets no requests for a time. */
struct EndpointAvoidance
{
  std::string mService;
  std::string mEndpoint;
  /** The result that led to it. */
  SendResult mResult = SendResult::Answered;
  /** Share of recent requests that failed, 0 to 1. */
  double mFailureShare = 0;
  std::uint32_t mConsecutiveFailures = 0;
  Duration mDuration{};
};

/**
 * Passive health checks: rates endpoints by the results of requests, because
 * active health checks add load and may succeed at a faulty endpoint. An
 * endpoint that cannot be reached, or that fails far more often than the other
 * endpoints of its service, is avoided for a time that doubles with each
 * further failure. If all endpoints are avoided, the best of them still gets
 * requests.
 *
 * The time that a caller or a route allows says little about an endpoint that
 * answers others meanwhile: a request that reaches it counts as a failure, but
 * on its own makes only a silent endpoint avoided.
 */
class EndpointHealth
{
public:
  using AvoidanceHook = std::function<void(const EndpointAvoidance&)>;

  /** aOnAvoided: called when an endpoint begins to be avoided; may be empty. */
  explicit EndpointHealth(Random& aRandom, AvoidanceHook aOnAvoided = nullptr)
    : mRandom(aRandom)
    , mOnAvoided(std::move(aOnAvoided))
  {
  }

  void OnResult(const std::string& aService,
                const std::string& aEndpoint,
                SendResult aResult,
                Instant aNow);
  /** Removes the results of an endpoint that was removed or restarted. */
  void Remove(const std::string& aEndpoint) { mEndpoints.erase(aEndpoint); }

  bool IsAvoided(const std::string& aEndpoint, Instant aNow) const;
  /** Share of recent requests that failed, 0 to 1. */
  double FailureShare(const std::string& aEndpoint) const;

private:
  struct State
  {
    std::uint32_t mConsecutiveFailures = 0;
    /** Decaying counts of requests and of those that failed. */
    double mRequests = 0;
    double mFailures = 0;
    std::uint32_t mAvoidanceCount = 0;
    Instant mAvoidedUntil;
    Instant mAnsweredAt;
  };
  struct ServiceState
  {
    double mRequests = 0;
    double mFailures = 0;
  };

  /** aResult alone is a reason to avoid an endpoint. */
  static bool IsSilentOrGone(const State& aState,
                             SendResult aResult,
                             Instant aNow);
  /** Avoids the endpoint for the time that is returned. */
  Duration Avoid(State& aState, Instant aNow);

  Random& mRandom;
  AvoidanceHook mOnAvoided;
  std::map<std::string, State> mEndpoints;
  std::map<std::string, ServiceState> mServices;
};

} // namespace bulrushfold

#endif
