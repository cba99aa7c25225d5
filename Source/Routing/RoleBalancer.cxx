#include "Routing/RoleBalancer.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace bulrushfold {

namespace {
/** Part of a decode engine's memory that is in use when streams wait. */
constexpr double kUsableMemory = 0.8;
/** A change must raise the rate of streams by this factor. */
constexpr double kLeastGain = 1.08;
/** The same for an engine whose runs have to end first: it serves nobody for
 * twice the time that a change takes otherwise. */
constexpr double kLeastDrainGain = 1.3;
/** Streams seen before a change is decided. */
constexpr double kLeastSamples = 12;
/** Weight that older samples keep. */
constexpr double kSampleMemory = 0.9;
/** Decisions in a row that must want the same: an engine may be out of reach
 * for a moment, and a change takes several seconds. */
constexpr std::uint32_t kConfirmations = 3;
/** Pools of at least this many engines keep two for prefill, so that one that
 * fails does not stop all streams. */
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
  state.mSamples *= kSampleMemory;
  state.mPromptSum *= kSampleMemory;
  state.mAnswerSum *= kSampleMemory;
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
    kUsableMemory * static_cast<double>(aProfile.mMemoryTokens);
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
  // The failure domain with the most engines of the role gives one.
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
    // Runs have to end first, which counts more than the failure domain.
    const bool mustDrain = aFrom == EndpointRole::Decode && load > 0;
    const std::size_t others = domains.size() - domains[aEngine.mFailureDomain];
    return std::make_tuple(
      mustDrain, mustDrain ? load : others, load, aEngine.mId);
  };
  for (const EndpointRecord* it : engines) {
    if (Counts(*it, aNow) && (best == nullptr || rank(*it) < rank(*best))) {
      best = it;
    }
  }
  return best == nullptr ? std::string() : best->mId;
}

bool
RoleBalancer::Counts(const EndpointRecord& aEngine, Instant aNow) const
{
  return !mDirectory.IsInDoubt(aEngine.mId) &&
         !mHealth.IsAvoided(aEngine.mId, aNow);
}

RoleBalancer::Pools
RoleBalancer::CountPools(const std::string& aService,
                         const std::string& aExcept,
                         Instant aNow) const
{
  const auto count = [&](EndpointRole aRole) {
    const auto engines = mDirectory.Usable(aService, aRole);
    return static_cast<std::size_t>(
      std::count_if(engines.begin(), engines.end(), [&](const auto* aIt) {
        return Counts(*aIt, aNow);
      }));
  };
  Pools pools{ count(EndpointRole::Prefill), count(EndpointRole::Decode) };
  for (const auto& [id, order] : mDirectory.RoleOrders(aNow)) {
    const EndpointRecord* engine = mDirectory.Find(id);
    if (engine != nullptr && engine->mService == aService) {
      const EndpointRole role = id == aExcept ? engine->mRole : order.mRole;
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
  const std::size_t least = total >= kLargePool ? 2 : 1;
  for (std::size_t n = least; n < total; ++n) {
    const double rate = Rate(needs, aProfile, n, total - n);
    if (rate > best.mRateAfter) {
      best.mRateAfter = rate;
      best.mPrefills = n;
    }
  }
  if (best.mRateAfter < best.mRateBefore * kLeastGain) {
    best.mPrefills = aPools.mPrefills;
  }
  return best;
}

bool
RoleBalancer::Confirm(ServiceState& aState, std::optional<EndpointRole> aRole)
{
  aState.mConfirmations =
    aState.mWanted == aRole ? aState.mConfirmations + 1 : 1;
  aState.mWanted = aRole;
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
  if (aNow < state.mNextChange || state.mSamples < kLeastSamples) {
    return std::nullopt;
  }
  const Pools pools = CountPools(aService, std::string(), aNow);
  const Division best =
    BestDivision(state, pools, aProfile, aGrowth, aPrefillRate);
  const bool isToDecode = best.mPrefills < pools.mPrefills;
  if (best.mPrefills == pools.mPrefills) {
    Confirm(state, std::nullopt);
    state.mLeftOfBatch = 0;
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
  // An engine that leaves the decode pool drops its runs, and their prompts
  // are read again elsewhere.
  change.mMustDrain = !isToDecode && RunsAt(change.mEndpoint) > 0;
  if (change.mMustDrain &&
      change.mRateAfter < change.mRateBefore * kLeastDrainGain) {
    return std::nullopt;
  }
  if (state.mLeftOfBatch == 0) {
    const std::size_t giving = isToDecode ? pools.mPrefills : pools.mDecodes;
    const std::size_t wanted = isToDecode ? pools.mPrefills - best.mPrefills
                                          : best.mPrefills - pools.mPrefills;
    state.mLeftOfBatch = std::min(wanted, std::max<std::size_t>(giving / 2, 1));
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
  if (it == mServices.end() || engine == nullptr || engine->mIsDraining ||
      mDirectory.IsInDoubt(aChange.mEndpoint) ||
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
  // The engines of a batch change together; then their effect is awaited.
  ServiceState& state = mServices[aService];
  if (state.mLeftOfBatch > 0) {
    --state.mLeftOfBatch;
  }
  if (state.mLeftOfBatch == 0) {
    state.mNextChange = aNow + kChangeInterval;
  }
}

} // namespace bulrushfold
