#ifndef BULRUSHFOLD_POLICY_ENDPOINTTABLE_H
#define BULRUSHFOLD_POLICY_ENDPOINTTABLE_H

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/Random.h"
#include "Policy/CircuitBreaker.h"
#include "Policy/CostModel.h"
#include "Policy/EndpointLoad.h"

namespace bulrushfold {

/** An entry daemon's view of one endpoint: configuration, observed speed,
 * estimated load and circuit breaker. */
struct EndpointView
{
  /** Constant while the endpoint exists, and never reused. */
  std::uint32_t mId = 0;
  Endpoint mConfig;
  EndpointSpeed mSpeed;
  EndpointLoad mLoad;
  CircuitBreaker mBreaker;
};

/** Endpoints that serve one model. */
struct EndpointPool
{
  std::vector<EndpointView*> mPrefill;
  std::vector<EndpointView*> mDecode;
};

/** The configured model engines, by name, by id and by model. */
class EndpointTable
{
public:
  /** Replaces the configuration by aEndpoints. Endpoints that stay configured
   * keep their observed state. Draining endpoints are removed from the pools
   * only. */
  void Set(const std::map<std::string, Endpoint>& aEndpoints);

  /** Null when there is no such endpoint. */
  EndpointView* Find(const std::string& aName);
  EndpointView* FindById(std::uint32_t aId);
  /** Null when no endpoint serves aModel. */
  const EndpointPool* PoolOf(const std::string& aModel) const;

  /** True when the breakers of aView and of its failure domain admit work. */
  bool Allows(const EndpointView& aView, Instant aNow) const;
  void OnSent(EndpointView& aView, Instant aNow);
  void OnSuccess(EndpointView& aView);
  void OnFailure(EndpointView& aView, Instant aNow, Random& aRandom);

  /** Ids of the endpoints that the last Set removed. */
  const std::vector<std::uint32_t>& Removed() const { return mRemoved; }

private:
  void RebuildPools();

  std::uint32_t mNextId = 1;
  std::unordered_map<std::string, std::unique_ptr<EndpointView>> mViews;
  std::unordered_map<std::uint32_t, EndpointView*> mById;
  std::unordered_map<std::string, EndpointPool> mPools;
  std::unordered_map<std::string, CircuitBreaker> mDomainBreakers;
  std::vector<std::uint32_t> mRemoved;
};

} // namespace bulrushfold

#endif
