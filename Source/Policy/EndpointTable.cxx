#include "Policy/EndpointTable.h"

namespace bulrushfold {

namespace {
// Higher than the threshold of an endpoint: a failure domain has several
// endpoints, and a single failing endpoint opens its own breaker long before it
// could open the domain's.
constexpr std::uint32_t kDomainFailureThreshold = 10;
} // namespace

void
EndpointTable::Set(const std::map<std::string, Endpoint>& aEndpoints)
{
  mRemoved.clear();
  for (auto it = mViews.begin(); it != mViews.end();) {
    if (aEndpoints.count(it->first) > 0) {
      ++it;
      continue;
    }
    mRemoved.push_back(it->second->mId);
    mById.erase(it->second->mId);
    it = mViews.erase(it);
  }
  for (const auto& [name, endpoint] : aEndpoints) {
    if (endpoint.mKind != EndpointKind::Engine) {
      continue;
    }
    auto& view = mViews[name];
    if (view == nullptr) {
      view = std::make_unique<EndpointView>();
      view->mId = mNextId++;
      mById[view->mId] = view.get();
    }
    view->mConfig = endpoint;
  }
  RebuildPools();
}

void
EndpointTable::RebuildPools()
{
  mPools.clear();
  // The pools are ordered by id, so that a simulated run depends only on its
  // random seed.
  const std::map<std::uint32_t, EndpointView*> ordered(mById.begin(),
                                                       mById.end());
  for (const auto& [id, view] : ordered) {
    if (view->mConfig.mState != EndpointState::Live) {
      continue;
    }
    for (const auto& model : view->mConfig.mModels) {
      auto& pool = mPools[model];
      if (view->mConfig.CanPrefill()) {
        pool.mPrefill.push_back(view);
      }
      if (view->mConfig.CanDecode()) {
        pool.mDecode.push_back(view);
      }
    }
  }
  for (const auto& [id, view] : ordered) {
    mDomainBreakers.try_emplace(
      view->mConfig.mFailureDomain,
      BreakerOptions{ kDomainFailureThreshold, BreakerOptions().mOpenTime });
  }
}

EndpointView*
EndpointTable::Find(const std::string& aName)
{
  const auto it = mViews.find(aName);
  return it == mViews.end() ? nullptr : it->second.get();
}

EndpointView*
EndpointTable::FindById(std::uint32_t aId)
{
  const auto it = mById.find(aId);
  return it == mById.end() ? nullptr : it->second;
}

const EndpointPool*
EndpointTable::PoolOf(const std::string& aModel) const
{
  const auto it = mPools.find(aModel);
  return it == mPools.end() ? nullptr : &it->second;
}

bool
EndpointTable::Allows(const EndpointView& aView, Instant aNow) const
{
  if (!aView.mBreaker.Allows(aNow)) {
    return false;
  }
  const auto it = mDomainBreakers.find(aView.mConfig.mFailureDomain);
  return it == mDomainBreakers.end() || it->second.Allows(aNow);
}

void
EndpointTable::OnSent(EndpointView& aView, Instant aNow)
{
  aView.mBreaker.OnSent(aNow);
  mDomainBreakers[aView.mConfig.mFailureDomain].OnSent(aNow);
}

void
EndpointTable::OnSuccess(EndpointView& aView)
{
  aView.mBreaker.OnSuccess();
  mDomainBreakers[aView.mConfig.mFailureDomain].OnSuccess();
}

void
EndpointTable::OnFailure(EndpointView& aView, Instant aNow, Random& aRandom)
{
  aView.mBreaker.OnFailure(aNow, aRandom);
  mDomainBreakers[aView.mConfig.mFailureDomain].OnFailure(aNow, aRandom);
}

} // namespace bulrushfold
