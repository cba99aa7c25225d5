#include "Routing/PlainSelector.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
/** Costs below are in units of a full endpoint. */
constexpr double kOtherDomainCost = 0.1;
/** Of an endpoint all of whose requests fail. */
constexpr double kFailureCost = 2;
constexpr double kAvoidedCost = 10;
constexpr double kTriedCost = 100;
/** Spreads daemons that see the same loads over equal endpoints. */
constexpr double kJitter = 0.1;
} // namespace

PlainSelector::PlainSelector(const EndpointDirectory& aDirectory,
                             const EndpointLoads& aLoads,
                             const EndpointHealth& aHealth,
                             std::string aFailureDomain,
                             Random& aRandom)
  : mDirectory(aDirectory)
  , mLoads(aLoads)
  , mHealth(aHealth)
  , mFailureDomain(std::move(aFailureDomain))
  , mRandom(aRandom)
{
}

double
PlainSelector::Load(const EndpointRecord& aEndpoint, Instant aNow) const
{
  return mLoads.Requests(aEndpoint.mId, aNow) /
         std::max<std::uint32_t>(aEndpoint.mSlots, 1);
}

double
PlainSelector::Cost(const EndpointRecord& aEndpoint,
                    const std::set<std::string>& aTried,
                    Instant aNow) const
{
  const bool isNear = aEndpoint.mFailureDomain == mFailureDomain;
  return Load(aEndpoint, aNow) + (isNear ? 0 : kOtherDomainCost) +
         kFailureCost * mHealth.FailureShare(aEndpoint.mId) +
         (mHealth.IsAvoided(aEndpoint.mId, aNow) ? kAvoidedCost : 0) +
         (aTried.count(aEndpoint.mId) > 0 ? kTriedCost : 0) +
         kJitter * mRandom.UniformReal();
}

std::optional<EndpointChoice>
PlainSelector::Choose(const std::string& aService,
                      const std::set<std::string>& aTried,
                      Instant aNow) const
{
  const auto candidates = mDirectory.Usable(aService, EndpointRole::General);
  const EndpointRecord* best = nullptr;
  double bestCost = 0;
  for (const EndpointRecord* it : candidates) {
    const double cost = Cost(*it, aTried, aNow);
    if (best == nullptr || cost < bestCost) {
      best = it;
      bestCost = cost;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return EndpointChoice{ best->mId, Load(*best, aNow), candidates.size() };
}

} // namespace bulrushfold
