#include "Routing/EndpointHealth.h"

#include <algorithm>

#include "Base/EnumNames.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<SendResult, 8> kResultNames{ {
  { SendResult::Answered, "answered" },
  { SendResult::ServerError, "server_error" },
  { SendResult::Refused, "refused" },
  { SendResult::Unready, "unready" },
  { SendResult::ConnectFailed, "connect_failed" },
  { SendResult::Interrupted, "broken" },
  { SendResult::Slow, "slow" },
  { SendResult::TimedOut, "timed_out" },
} };

/** Factors that reduce the weight of older results with each new result of the
 * endpoint or service. */
constexpr double kEndpointDecay = 0.95;
constexpr double kServiceDecay = 0.99;
/** Successive failures after which an endpoint is avoided. */
constexpr std::uint32_t kConsecutiveLimit = 3;
/** An endpoint is an outlier if it failed at least this often, */
constexpr double kMinFailures = 3;
/** and its share of failures exceeds that of the service by this much. */
constexpr double kExcessShare = 0.25;
/** An endpoint without an answer for this long is silent. */
constexpr Duration kSilence = std::chrono::milliseconds(500);
constexpr Duration kFirstAvoidance = std::chrono::milliseconds(500);
constexpr Duration kMaxAvoidance = std::chrono::seconds(8);
} // namespace

std::string_view
SendResultName(SendResult aResult)
{
  return FindEnumName(kResultNames, aResult);
}

bool
EndpointHealth::IsSilentOrGone(const State& aState,
                               SendResult aResult,
                               Instant aNow)
{
  switch (aResult) {
    case SendResult::Unready:
    case SendResult::ConnectFailed:
    case SendResult::Slow:
      return true;
    case SendResult::TimedOut:
      return aNow - aState.mAnsweredAt >= kSilence;
    case SendResult::Answered:
    case SendResult::ServerError:
    case SendResult::Refused:
    case SendResult::Interrupted:
      return false;
  }
  return false;
}

Duration
EndpointHealth::Avoid(State& aState, Instant aNow)
{
  const std::uint32_t doublings =
    std::min<std::uint32_t>(aState.mAvoidanceCount, 4);
  const Duration span =
    std::min(kFirstAvoidance * (1 << doublings), kMaxAvoidance);
  ++aState.mAvoidanceCount;
  // Random times keep the daemons from retrying the endpoint simultaneously.
  const Duration duration =
    FromSeconds(ToSeconds(span) * (0.75 + mRandom.UniformReal() / 2));
  aState.mAvoidedUntil = aNow + duration;
  return duration;
}

void
EndpointHealth::OnResult(const std::string& aService,
                         const std::string& aEndpoint,
                         SendResult aResult,
                         Instant aNow)
{
  const bool isFailure =
    aResult != SendResult::Answered && aResult != SendResult::Refused;
  State& state = mEndpoints[aEndpoint];
  ServiceState& service = mServices[aService];
  state.mRequests = state.mRequests * kEndpointDecay + 1;
  state.mFailures = state.mFailures * kEndpointDecay + (isFailure ? 1 : 0);
  service.mRequests = service.mRequests * kServiceDecay + 1;
  service.mFailures = service.mFailures * kServiceDecay + (isFailure ? 1 : 0);
  if (!isFailure) {
    state.mAnsweredAt = aNow;
    state.mConsecutiveFailures = 0;
    if (aNow > state.mAvoidedUntil && FailureShare(aEndpoint) < kExcessShare) {
      state.mAvoidanceCount = 0;
    }
    return;
  }
  ++state.mConsecutiveFailures;
  if (aNow < state.mAvoidedUntil) {
    return;
  }
  const double expected = service.mFailures / service.mRequests;
  const bool isOutlier = state.mFailures >= kMinFailures &&
                         FailureShare(aEndpoint) > expected + kExcessShare;
  if (IsSilentOrGone(state, aResult, aNow) ||
      state.mConsecutiveFailures >= kConsecutiveLimit || isOutlier) {
    const Duration duration = Avoid(state, aNow);
    if (mOnAvoided) {
      mOnAvoided({ aService,
                   aEndpoint,
                   aResult,
                   FailureShare(aEndpoint),
                   state.mConsecutiveFailures,
                   duration });
    }
  }
}

bool
EndpointHealth::IsAvoided(const std::string& aEndpoint, Instant aNow) const
{
  const auto it = mEndpoints.find(aEndpoint);
  return it != mEndpoints.end() && aNow < it->second.mAvoidedUntil;
}

double
EndpointHealth::FailureShare(const std::string& aEndpoint) const
{
  const auto it = mEndpoints.find(aEndpoint);
  return it == mEndpoints.end() || it->second.mRequests == 0
           ? 0
           : it->second.mFailures / it->second.mRequests;
}

} // namespace bulrushfold
