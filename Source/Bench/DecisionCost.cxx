#include "Bench/DecisionCost.h"

#include <chrono>
#include <string>
#include <vector>

#include "Policy/RoutingPolicy.h"

namespace bulrushfold {

namespace {
constexpr std::size_t kRequests = 20000;
constexpr std::size_t kDomains = 43;
constexpr std::size_t kWorkspaces = 330;
constexpr std::uint64_t kPrefixes = 200;

std::map<std::string, Endpoint>
ManyEndpoints(std::size_t aCount)
{
  std::map<std::string, Endpoint> endpoints;
  for (std::size_t n = 0; n < aCount; ++n) {
    Endpoint endpoint;
    endpoint.mName = "e" + std::to_string(n);
    endpoint.mFailureDomain = "fd" + std::to_string(n % kDomains);
    endpoint.mLink = "link" + std::to_string(n % kDomains);
    endpoint.mLinkBytesPerSecond = 1e10;
    endpoint.mModels = { "m" };
    endpoint.mRole = n % 2 == 0 ? EngineRole::Prefill : EngineRole::Decode;
    endpoints[endpoint.mName] = endpoint;
  }
  return endpoints;
}

ModelRequest
MakeRequest(std::size_t aIndex, Instant aNow, Random& aRandom)
{
  ModelRequest request;
  request.mId = "request-" + std::to_string(aIndex);
  request.mWorkspace = "w" + std::to_string(aRandom.UniformBelow(kWorkspaces));
  request.mModel = "m";
  request.mPromptTokens = 2000;
  request.mMaxTokens = 200;
  const auto prefix = aRandom.UniformBelow(kPrefixes);
  for (std::uint64_t n = 1; n <= 3; ++n) {
    request.mPrefixes.push_back({ prefix * 10 + n, n * kPrefixStepTokens });
  }
  request.mArrival = aNow;
  request.mDeadline = aNow + std::chrono::seconds(30);
  return request;
}

/** Grants all reservations of aActions and of the actions that follow. */
void
GrantAll(RoutingPolicy& aPolicy, Actions aActions, Instant aNow)
{
  while (!aActions.empty()) {
    Actions next;
    for (const auto& action : aActions) {
      if (const auto* it = std::get_if<ReserveAction>(&action)) {
        Grant grant;
        grant.mRequest = it->mReserve.mRequest;
        grant.mAttempt = it->mReserve.mAttempt;
        grant.mEndpoint = it->mReserve.mEndpoint;
        grant.mKind = it->mReserve.mKind;
        grant.mTerm = 1;
        const Actions more = aPolicy.OnGrant(grant, aNow);
        next.insert(next.end(), more.begin(), more.end());
      }
    }
    aActions = std::move(next);
  }
}
} // namespace

double
DecisionMicroseconds(std::size_t aEndpoints, std::uint64_t aSeed)
{
  Random random(aSeed);
  RoutingPolicy policy(PolicyOptions(), random);
  policy.SetPreset(Preset());
  policy.SetEndpoints(ManyEndpoints(aEndpoints));
  Instant now{ std::chrono::hours(1) };
  for (std::size_t n = 0; n < aEndpoints; ++n) {
    policy.OnLoadReport(
      "e" + std::to_string(n),
      { random.UniformBelow(15), random.UniformBelow(3), 20, 120, 30, {} },
      now);
  }
  std::chrono::nanoseconds spent{};
  for (std::size_t n = 0; n < kRequests; ++n) {
    now += std::chrono::milliseconds(10);
    const ModelRequest request = MakeRequest(n, now, random);
    const auto start = std::chrono::steady_clock::now();
    GrantAll(policy, policy.OnRequest(request, now), now);
    spent += std::chrono::steady_clock::now() - start;
    policy.OnPrefillDone(request.mId, 1, 0, now);
    policy.OnCallerDisconnected(request.mId, now);
  }
  return std::chrono::duration<double, std::micro>(spent).count() / kRequests;
}

} // namespace bulrushfold
