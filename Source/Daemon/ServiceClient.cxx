#include "Daemon/ServiceClient.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bulrushfold {

ServiceClient::ServiceClient(HttpClient& aClient,
                             const Configuration& aConfiguration,
                             const RoutingSettings& aSettings)
  : mClient(aClient)
  , mConfiguration(aConfiguration)
  , mSettings(aSettings)
{
}

const Endpoint*
ServiceClient::Pick(const std::string& aService,
                    const std::vector<std::string>& aExcluded) const
{
  const Endpoint* best = nullptr;
  int fewest = 0;
  for (const auto& [name, endpoint] : mConfiguration.Endpoints()) {
    const bool isExcluded =
      std::find(aExcluded.begin(), aExcluded.end(), name) != aExcluded.end();
    if (endpoint.mKind != EndpointKind::Service ||
        endpoint.mService != aService ||
        endpoint.mState != EndpointState::Live || isExcluded) {
      continue;
    }
    const auto it = mInFlight->find(name);
    const int n = it == mInFlight->end() ? 0 : it->second;
    if (best == nullptr || n < fewest) {
      best = &endpoint;
      fewest = n;
    }
  }
  return best;
}

ServiceClient::Call
ServiceClient::Send(const Endpoint& aEndpoint,
                    const ServiceCallRequest& aRequest,
                    Hook aHook)
{
  HttpCallRequest request;
  request.mAddress = aEndpoint.mAddress;
  request.mMethod = aRequest.mMethod;
  request.mTarget = aRequest.mTarget;
  request.mBody = aRequest.mBody;
  request.mConnectTimeout = mSettings.mConnectTimeout;
  request.mReadTimeout = mSettings.mServiceTimeout;
  request.mMaxIdleTime = Duration::zero();
  request.mHeaders.Add("Content-Type", aRequest.mContentType);
  request.mHeaders.Add("Connection", "close");
  if (!aRequest.mTraceparent.empty()) {
    request.mHeaders.Add("traceparent", aRequest.mTraceparent);
  }
  if (!aRequest.mKey.empty()) {
    request.mHeaders.Add("Idempotency-Key", aRequest.mKey);
  }
  if (aRequest.mFencing && aEndpoint.mChecksFencing) {
    request.mHeaders.Add("Fencing-Number", absl::StrCat(*aRequest.mFencing));
  }
  ++(*mInFlight)[aEndpoint.mName];
  // Counts the call until its hooks are gone, also when it is cancelled.
  const std::shared_ptr<void> guard(
    nullptr, [inFlight = mInFlight, name = aEndpoint.mName](void*) {
      --(*inFlight)[name];
    });
  HttpCallHooks hooks;
  hooks.mOnDone = [guard, hook = std::move(aHook)](HttpCallReply aReply) {
    hook(std::move(aReply));
  };
  return mClient.Start(std::move(request), std::move(hooks));
}

} // namespace bulrushfold
