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
  return ChooseOf(
    mDirectory.Usable(aService, EndpointRole::General), aAttempted, aNow);
}

std::optional<EndpointChoice>
PlainSelector::ChooseFree(const std::string& aService,
                          const std::set<std::string>& aAttempted,
                          std::uint32_t aExtra,
                          Instant aNow) const
{
  auto candidates = mDirectory.Usable(aService, EndpointRole::General);
  const std::size_t count = candidates.size();
  const auto isAvoided = [&](const EndpointRecord* aEndpoint) {
    return mHealth.IsAvoided(aEndpoint->mId, aNow);
  };
  // A free endpoint that fails is no better than a full one that does not.
  if (!std::all_of(candidates.begin(), candidates.end(), isAvoided)) {
    candidates.erase(
      std::remove_if(candidates.begin(), candidates.end(), isAvoided),
      candidates.end());
  }
  candidates.erase(std::remove_if(candidates.begin(),
                                  candidates.end(),
                                  [&](const EndpointRecord* aEndpoint) {
                                    return mLoads.Requests(aEndpoint->mId,
                                                           aNow) >=
                                           aEndpoint->mSlots + aExtra;
                                  }),
                   candidates.end());
  auto choice = ChooseOf(candidates, aAttempted, aNow);
  if (choice) {
    choice->mCandidateCount = count;
  }
  return choice;
}

std::uint32_t
PlainSelector::Slots(const std::string& aService) const
{
  std::uint32_t slots = 0;
  for (const EndpointRecord* it :
       mDirectory.Usable(aService, EndpointRole::General)) {
    slots += it->mSlots;
  }
  return slots;
}

std::optional<EndpointChoice>
PlainSelector::ChooseOf(const std::vector<const EndpointRecord*>& aCandidates,
                        const std::set<std::string>& aAttempted,
                        Instant aNow) const
{
  const EndpointRecord* best = nullptr;
  double bestCost = 0;
  for (const EndpointRecord* it : aCandidates) {
    const double cost = Cost(*it, aAttempted, aNow);
    if (best == nullptr || cost < bestCost) {
      best = it;
      bestCost = cost;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return EndpointChoice{ best->mId, Load(*best, aNow), aCandidates.size() };
}

} // namespace bulrushfold
