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

/** All that an entry daemon knows of one endpoint. */
struct EndpointView
{
  /** Stable while the endpoint exists; never given to another one. */
  std::uint32_t mId = 0;
  Endpoint mConfig;
  EndpointSpeed mSpeed;
  EndpointLoad mLoad;
  CircuitBreaker mBreaker;
};

/** Engines that serve one model. */
struct EndpointPool
{
  std::vector<EndpointView*> mPrefill;
  std::vector<EndpointView*> mDecode;
};

/** The model engines in view, by name, by id and by model. */
class EndpointTable
{
public:
  /** Adopts aEndpoints; keeps what is known of those that stay. Draining
   * endpoints keep their view and leave the pools. */
  void Set(const std::map<std::string, Endpoint>& aEndpoints);

  /** Null when there is no such endpoint. */
  EndpointView* Find(const std::string& aName);
  EndpointView* FindById(std::uint32_t aId);
  /** Null when no endpoint serves aModel. */
  const EndpointPool* PoolOf(const std::string& aModel) const;

  /** True when the breakers of aView and of its failure domain let work
   * through. */
  bool Allows(const EndpointView& aView, Instant aNow) const;
  void OnSent(EndpointView& aView, Instant aNow);
  void OnSuccess(EndpointView& aView);
  void OnFailure(EndpointView& aView, Instant aNow, Random& aRandom);

  /** Endpoints removed by the last Set. */
  const std::vector<std::uint32_t>& Removed() const { return mRemoved; }

private:
  void RebuildPools();

  std::uint32_t mNextId = 1;
  std::unordered_map<std::string, std::unique_ptr<EndpointView>> mViews;
  std::unordered_map<std::uint32_t, EndpointView*> mById;
  std::unordered_map<std::string, EndpointPool> mPools;
  std::unordered_map<std::string, CircuitBreaker> mDomains;
  std::vector<std::uint32_t> mRemoved;
};

} // namespace bulrushfold

#endif
