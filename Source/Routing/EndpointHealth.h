#ifndef BULRUSHFOLD_ROUTING_ENDPOINTHEALTH_H
#define BULRUSHFOLD_ROUTING_ENDPOINTHEALTH_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "Base/Clock.h"
#include "Base/Random.h"

namespace bulrushfold {

/** How a request that was sent to an endpoint ended. */
enum class SendResult
{
  /** A whole answer of the endpoint, whatever its status. */
  Answered,
  /** The endpoint's answer says that it failed. */
  ServerError,
  /** It has not run: the endpoint was full or is another one. */
  Refused,
  /** It refuses all work for a while: it changes its role, or stops. */
  Unready,
  /** No connection came about. */
  ConnectFailed,
  /** The connection ended, or what arrived was no answer to the request. */
  Broken,
  /** No answer within a time in which the endpoint should have answered. */
  Slow,
};

std::string_view SendResultName(SendResult aResult);

/**
 * Judges endpoints by how requests to them end, because health checks cost
 * and may lie. An endpoint that cannot be reached, or that fails far more
 * often than others of its service, is avoided for a time that doubles with
 * each further failure. Avoiding is a preference: if all are avoided, the
 * best of them still gets requests.
 */
class EndpointHealth
{
public:
  explicit EndpointHealth(Random& aRandom)
    : mRandom(aRandom)
  {
  }

  void OnResult(const std::string& aService,
                const std::string& aEndpoint,
                SendResult aResult,
                Instant aNow);
  /** The endpoint is gone, or a new process took its place. */
  void Remove(const std::string& aEndpoint) { mEndpoints.erase(aEndpoint); }

  bool IsAvoided(const std::string& aEndpoint, Instant aNow) const;
  /** Share of recent requests that failed, 0 to 1. */
  double FailureShare(const std::string& aEndpoint) const;

private:
  struct State
  {
    std::uint32_t mConsecutive = 0;
    /** Decaying counts of requests and of those that failed. */
    double mRequests = 0;
    double mFailures = 0;
    std::uint32_t mAvoidances = 0;
    Instant mAvoidedUntil;
  };
  struct ServiceState
  {
    double mRequests = 0;
    double mFailures = 0;
  };

  void Avoid(State& aState, Instant aNow);

  Random& mRandom;
  std::map<std::string, State> mEndpoints;
  std::map<std::string, ServiceState> mServices;
};

} // namespace bulrushfold

#endif
