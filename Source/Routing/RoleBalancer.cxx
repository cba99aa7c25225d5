#include "Routing/RoleBalancer.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace bulrushfold {

namespace {
/** Fraction of a decode engine's memory that is in use while streams wait. */
constexpr double kUsedMemoryFraction = 0.8;
/** Minimum factor by which a change must increase the rate of streams. */
constexpr double kMinGain = 1.08;
/** The same for an engine whose runs must end first: it is out of service for
 * twice as long as other engines that change. */
constexpr double kMinDrainGain = 1.3;
/** Sampled streams that are needed before a change is decided. */
constexpr double kMinSamples = 12;
/** Factor that reduces the weight of older samples with each new one. */
constexpr double kSampleDecay = 0.9;
/** Successive decisions that must agree, because an engine may be unreachable
 * for a short time, while a change takes several seconds. */
constexpr std::uint32_t kConfirmations = 3;
/** Services with at least this many engines keep two for prefill, so that the
 * failure of one does not stop all streams. */
constexpr std::size_t kLargePool = 5;
} // namespace

RoleBalancer::RoleBalancer(const EndpointDirectory& aDirectory,
                           const EndpointLoads& aLoads,
                           const StreamRuns& aRuns,
                           const EndpointHealth& aHealth)
  : mDirectory(aDirectory)
  , mLoads(aLoads)
  , mRuns(aRuns)
  , mHealth(aHealth)
{
}

void
RoleBalancer::Sample(const std::string& aService, Instant)
{
  ServiceState& state = mServices[aService];
  state.mSamples *= kSampleDecay;
  state.mPromptSum *= kSampleDecay;
  state.mAnswerSum *= kSampleDecay;
  for (const EndpointRecord* engine :
       mDirectory.Usable(aService, EndpointRole::Decode)) {
    for (const StreamRun* run : mRuns.At(engine->mId)) {
      state.mSamples += 1;
      state.mPromptSum += static_cast<double>(run->mPromptTokens);
      state.mAnswerSum += static_cast<double>(run->mAnswerTokens);
    }
  }
}

double
RoleBalancer::Rate(const StreamNeeds& aNeeds,
                   const EngineProfile& aProfile,
                   std::size_t aPrefills,
                   std::size_t aDecodes)
{
  const double prefill = 1000 * aNeeds.mPrefillRate /
                         std::max(aNeeds.mPromptTokens, 1.0) *
                         static_cast<double>(aPrefills);
  const double memory =
    kUsedMemoryFraction * static_cast<double>(aProfile.mMemoryTokens);
  const double runs = std::min(
    static_cast<double>(aProfile.mSlots),
    memory / std::max(aNeeds.mPromptTokens + aNeeds.mAnswerTokens / 2, 1.0));
  const double decode = 1000 * runs * aNeeds.mGrowth /
                        std::max(aNeeds.mAnswerTokens, 1.0) *
                        static_cast<double>(aDecodes);
  return std::min(prefill, decode);
}

std::string
RoleBalancer::ChooseEngine(const std::string& aService,
                           EndpointRole aFrom,
                           Instant aNow) const
{
  // The engine is chosen from the failure domain with the most engines of the
  // role.
  std::map<std::string, std::size_t> domains;
  const auto engines = mDirectory.Usable(aService, aFrom);
  for (const EndpointRecord* it : engines) {
    ++domains[it->mFailureDomain];
  }
  const EndpointRecord* best = nullptr;
  const auto rank = [&](const EndpointRecord& aEngine) {
    const std::size_t load = aFrom == EndpointRole::Prefill
                               ? mLoads.Total(aEngine.mId).mRequests
                               : mRuns.CountAt(aEngine.mId);
    // An engine without runs is preferred, whatever its failure domain.
    const bool mustDrain = aFrom == EndpointRole::Decode && load > 0;
    const std::size_t others = domains.size() - domains[aEngine.mFailureDomain];
    return std::make_tuple(
      mustDrain, mustDrain ? load : others, load, aEngine.mId);
  };
  for (const EndpointRecord* it : engines) {
    if (IsCounted(*it, aNow) && (best == nullptr || rank(*it) < rank(*best))) {
      best = it;
    }
  }
  return best == nullptr ? std::string() : best->mId;
}

bool
RoleBalancer::IsCounted(const EndpointRecord& aEngine, Instant aNow) const
{
  return !mDirectory.IsMissing(aEngine.mId) &&
         !mHealth.IsAvoided(aEngine.mId, aNow);
}

RoleBalancer::Pools
RoleBalancer::CountPools(const std::string& aService,
                         const std::string& aExcluded,
                         Instant aNow) const
{
  const auto count = [&](EndpointRole aRole) {
    // An engine that backs off keeps its role, so no other engine replaces it.
    const auto engines = mDirectory.UsableOrInBackoff(aService, aRole);
    return static_cast<std::size_t>(
      std::count_if(engines.begin(), engines.end(), [&](const auto* aIt) {
        return IsCounted(*aIt, aNow);
      }));
  };
  Pools pools{ count(EndpointRole::Prefill), count(EndpointRole::Decode) };
  for (const auto& [id, order] : mDirectory.RoleOrders(aNow)) {
    const EndpointRecord* engine = mDirectory.Find(id);
    if (engine != nullptr && engine->mService == aService) {
      const EndpointRole role = id == aExcluded ? engine->mRole : order.mRole;
      ++(role == EndpointRole::Decode ? pools.mDecodes : pools.mPrefills);
    }
  }
  return pools;
}

RoleBalancer::Division
RoleBalancer::BestDivision(const ServiceState& aState,
                           const Pools& aPools,
                           const EngineProfile& aProfile,
                           double aGrowth,
                           double aPrefillRate)
{
  const std::size_t total = aPools.mPrefills + aPools.mDecodes;
  const double samples = std::max(aState.mSamples, 1.0);
  const StreamNeeds needs{ aState.mPromptSum / samples,
                           aState.mAnswerSum / samples,
                           aPrefillRate,
                           aGrowth };
  Division best;
  best.mPrefills = aPools.mPrefills;
  best.mRateBefore = Rate(needs, aProfile, aPools.mPrefills, aPools.mDecodes);
  const std::size_t minPrefills = total >= kLargePool ? 2 : 1;
  for (std::size_t n = minPrefills; n < total; ++n) {
    const double rate = Rate(needs, aProfile, n, total - n);
    if (rate > best.mRateAfter) {
      best.mRateAfter = rate;
      best.mPrefills = n;
    }
  }
  if (best.mRateAfter < best.mRateBefore * kMinGain) {
    best.mPrefills = aPools.mPrefills;
  }
  return best;
}

bool
RoleBalancer::Confirm(ServiceState& aState, std::optional<EndpointRole> aRole)
{
  aState.mConfirmations =
    aState.mProposedRole == aRole ? aState.mConfirmations + 1 : 1;
  aState.mProposedRole = aRole;
  return aState.mConfirmations >= kConfirmations;
}

std::optional<RoleChange>
RoleBalancer::Decide(const std::string& aService,
                     const EngineProfile& aProfile,
                     double aGrowth,
                     double aPrefillRate,
                     Instant aNow)
{
  ServiceState& state = mServices[aService];
  if (aNow < state.mNextChange || state.mSamples < kMinSamples) {
    return std::nullopt;
  }
  const Pools pools = CountPools(aService, std::string(), aNow);
  const Division best =
    BestDivision(state, pools, aProfile, aGrowth, aPrefillRate);
  const bool isToDecode = best.mPrefills < pools.mPrefills;
  if (best.mPrefills == pools.mPrefills) {
    Confirm(state, std::nullopt);
    state.mRemainingInBatch = 0;
    return std::nullopt;
  }
  if (!Confirm(state,
               isToDecode ? EndpointRole::Decode : EndpointRole::Prefill)) {
    return std::nullopt;
  }
  RoleChange change;
  change.mRateBefore = best.mRateBefore;
  change.mRateAfter = best.mRateAfter;
  change.mRole = isToDecode ? EndpointRole::Decode : EndpointRole::Prefill;
  change.mEndpoint = ChooseEngine(
    aService, isToDecode ? EndpointRole::Prefill : EndpointRole::Decode, aNow);
  if (change.mEndpoint.empty()) {
    return std::nullopt;
  }
  // An engine that leaves the decode pool drops its runs, and other engines
  // have to compute their prompts again.
  change.mMustDrain = !isToDecode && RunsAt(change.mEndpoint) > 0;
  if (change.mMustDrain &&
      change.mRateAfter < change.mRateBefore * kMinDrainGain) {
    return std::nullopt;
  }
  if (state.mRemainingInBatch == 0) {
    const std::size_t poolSize = isToDecode ? pools.mPrefills : pools.mDecodes;
    const std::size_t needed = isToDecode ? pools.mPrefills - best.mPrefills
                                          : best.mPrefills - pools.mPrefills;
    state.mRemainingInBatch =
      std::min(needed, std::max<std::size_t>(poolSize / 2, 1));
  }
  return change;
}

bool
RoleBalancer::IsStillValid(const RoleChange& aChange,
                           const std::string& aService,
                           const EngineProfile& aProfile,
                           double aGrowth,
                           double aPrefillRate,
                           Instant aNow) const
{
  const auto it = mServices.find(aService);
  const EndpointRecord* engine = mDirectory.Find(aChange.mEndpoint);
  if (it == mServices.end() || engine == nullptr ||
      mDirectory.IsLeaving(aChange.mEndpoint) ||
      mDirectory.IsMissing(aChange.mEndpoint) ||
      engine->mRole == aChange.mRole) {
    return false;
  }
  const Pools pools = CountPools(aService, aChange.mEndpoint, aNow);
  const Division best =
    BestDivision(it->second, pools, aProfile, aGrowth, aPrefillRate);
  return aChange.mRole == EndpointRole::Decode
           ? best.mPrefills < pools.mPrefills
           : best.mPrefills > pools.mPrefills;
}

void
RoleBalancer::OnOrdered(const std::string& aService, Instant aNow)
{
  // The engines of a batch change together; the next change waits until their
  // effect is visible.
  ServiceState& state = mServices[aService];
  if (state.mRemainingInBatch > 0) {
    --state.mRemainingInBatch;
  }
  if (state.mRemainingInBatch == 0) {
    state.mNextChange = aNow + kChangeInterval;
  }
}

} // namespace bulrushfold
