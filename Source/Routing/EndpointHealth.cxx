#include "Routing/EndpointHealth.h"

#include <algorithm>

#include "Base/EnumNames.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<SendResult, 7> kResultNames{ {
  { SendResult::Answered, "answered" },
  { SendResult::ServerError, "server_error" },
  { SendResult::Refused, "refused" },
  { SendResult::Unready, "unready" },
  { SendResult::ConnectFailed, "connect_failed" },
  { SendResult::Broken, "broken" },
  { SendResult::Slow, "slow" },
} };

/** Weight that older results keep with each new one of an endpoint. */
constexpr double kEndpointMemory = 0.95;
constexpr double kServiceMemory = 0.99;
/** Failures in a row that show a dead endpoint. */
constexpr std::uint32_t kConsecutiveLimit = 3;
/** An endpoint is an outlier when it failed this often, */
constexpr double kMinFailures = 3;
/** and by this much more than the whole service. */
constexpr double kExcessShare = 0.25;
constexpr Duration kFirstAvoidance = std::chrono::milliseconds(500);
constexpr Duration kLongestAvoidance = std::chrono::seconds(8);
} // namespace

std::string_view
SendResultName(SendResult aResult)
{
  return FindEnumName(kResultNames, aResult);
}

void
EndpointHealth::Avoid(State& aState, Instant aNow)
{
  const std::uint32_t doublings =
    std::min<std::uint32_t>(aState.mAvoidances, 4);
  const Duration span =
    std::min(kFirstAvoidance * (1 << doublings), kLongestAvoidance);
  ++aState.mAvoidances;
  // The daemons' trials must not come at the same moment.
  aState.mAvoidedUntil =
    aNow + FromSeconds(ToSeconds(span) * (0.75 + mRandom.UniformReal() / 2));
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
  state.mRequests = state.mRequests * kEndpointMemory + 1;
  state.mFailures = state.mFailures * kEndpointMemory + (isFailure ? 1 : 0);
  service.mRequests = service.mRequests * kServiceMemory + 1;
  service.mFailures = service.mFailures * kServiceMemory + (isFailure ? 1 : 0);
  if (!isFailure) {
    state.mConsecutive = 0;
    if (aNow > state.mAvoidedUntil && FailureShare(aEndpoint) < kExcessShare) {
      state.mAvoidances = 0;
    }
    return;
  }
  ++state.mConsecutive;
  if (aNow < state.mAvoidedUntil) {
    return;
  }
  const double expected = service.mFailures / service.mRequests;
  const bool isOutlier = state.mFailures >= kMinFailures &&
                         FailureShare(aEndpoint) > expected + kExcessShare;
  if (aResult == SendResult::Unready || aResult == SendResult::ConnectFailed ||
      aResult == SendResult::Slow || state.mConsecutive >= kConsecutiveLimit ||
      isOutlier) {
    Avoid(state, aNow);
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
