#include "Routing/PlainSelector.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
/** The costs below are relative to the load of a full endpoint, which is 1. */
constexpr double kOtherDomainCost = 0.1;
/** Cost of an endpoint all of whose requests fail. */
constexpr double kFailureCost = 2;
constexpr double kAvoidedCost = 10;
constexpr double kAttemptedCost = 100;
/** Random cost that distributes daemons with the same loads over equally good
 * endpoints. */
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
                    const std::set<std::string>& aAttempted,
                    Instant aNow) const
{
  const bool isSameDomain = aEndpoint.mFailureDomain == mFailureDomain;
  return Load(aEndpoint, aNow) + (isSameDomain ? 0 : kOtherDomainCost) +
         kFailureCost * mHealth.FailureShare(aEndpoint.mId) +
         (mHealth.IsAvoided(aEndpoint.mId, aNow) ? kAvoidedCost : 0) +
         (aAttempted.count(aEndpoint.mId) > 0 ? kAttemptedCost : 0) +
         kJitter * mRandom.UniformReal();
}

std::optional<EndpointChoice>
PlainSelector::Choose(const std::string& aService,
                      const std::set<std::string>& aAttempted,
                      Instant aNow) const
{
  const auto candidates = mDirectory.Usable(aService, EndpointRole::General);
  const EndpointRecord* best = nullptr;
  double bestCost = 0;
  for (const EndpointRecord* it : candidates) {
    const double cost = Cost(*it, aAttempted, aNow);
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
