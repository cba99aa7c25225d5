#include "Daemon/PairSource.h"

#include <algorithm>

namespace bulrushfold {

namespace {
bool
IsExcluded(const PairRequest& aRequest, const std::string& aName)
{
  const auto& names = aRequest.mExcluded;
  return std::find(names.begin(), names.end(), aName) != names.end();
}
} // namespace

void
LocalPairSource::Select(const PairRequest& aRequest, Hook aHook)
{
  const Endpoint* prefill = nullptr;
  const Endpoint* decode = nullptr;
  const auto improves = [this](const Endpoint& aNew, const Endpoint* aOld) {
    return aOld == nullptr || mInFlight[aNew.mName] < mInFlight[aOld->mName];
  };
  for (const auto& [name, endpoint] : mConfiguration.Endpoints()) {
    if (endpoint.mKind != EndpointKind::Engine ||
        endpoint.mState != EndpointState::Live ||
        !endpoint.Serves(aRequest.mModel) || IsExcluded(aRequest, name)) {
      continue;
    }
    if (endpoint.CanPrefill() && improves(endpoint, prefill)) {
      prefill = &endpoint;
    }
    if (endpoint.CanDecode() && improves(endpoint, decode)) {
      decode = &endpoint;
    }
  }
  if (prefill == nullptr || decode == nullptr) {
    aHook(std::nullopt);
    return;
  }
  const EndpointPair pair{ prefill->mName, decode->mName };
  ++mInFlight[pair.mPrefill];
  ++mInFlight[pair.mDecode];
  mAttempts[{ aRequest.mRequestId, aRequest.mAttempt }] = pair;
  aHook(pair);
}

void
LocalPairSource::Release(const std::string& aRequestId, std::uint32_t aAttempt)
{
  const auto it = mAttempts.find({ aRequestId, aAttempt });
  if (it != mAttempts.end()) {
    --mInFlight[it->second.mPrefill];
    --mInFlight[it->second.mDecode];
    mAttempts.erase(it);
  }
}

} // namespace bulrushfold
