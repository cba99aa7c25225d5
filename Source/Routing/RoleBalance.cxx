#include "Routing/RoleBalance.h"

#include <algorithm>
#include <map>

namespace bulrushfold {

namespace {
/** Part of a decode engine's memory that is in use when streams wait. */
constexpr double kUsableMemory = 0.8;
/** A change must raise the rate of streams by this factor. */
constexpr double kLeastGain = 1.08;
/** Streams seen before a change is decided. */
constexpr double kLeastSamples = 12;
/** Weight that older samples keep. */
constexpr double kSampleMemory = 0.9;
/** Pools of at least this many engines keep two for prefill, so that one that
 * fails does not stop all streams. */
constexpr std::size_t kLargePool = 5;
} // namespace

RoleBalance::RoleBalance(const EndpointDirectory& aDirectory,
                         const EndpointLoads& aLoads,
                         const StreamRuns& aRuns)
  : mDirectory(aDirectory)
  , mLoads(aLoads)
  , mRuns(aRuns)
{
}

void
RoleBalance::Observe(const std::string& aService, Instant)
{
  mSamples *= kSampleMemory;
  mPromptSum *= kSampleMemory;
  mAnswerSum *= kSampleMemory;
  for (const EndpointRecord* engine :
       mDirectory.Usable(aService, EndpointRole::Decode)) {
    for (const StreamRun* run : mRuns.At(engine->mId)) {
      mSamples += 1;
      mPromptSum += static_cast<double>(run->mPromptTokens);
      mAnswerSum += static_cast<double>(run->mAnswerTokens);
    }
  }
}

double
RoleBalance::Rate(const StreamNeeds& aNeeds,
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
RoleBalance::ChooseEngine(const std::string& aService, EndpointRole aFrom) const
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
    return std::make_tuple(
      domains.size() - domains[aEngine.mFailureDomain], load, aEngine.mId);
  };
  for (const EndpointRecord* it : engines) {
    // An engine that leaves the decode pool drops its runs, and their prompts
    // are read again elsewhere.
    if (aFrom == EndpointRole::Decode && mRuns.CountAt(it->mId) > 0) {
      continue;
    }
    if (best == nullptr || rank(*it) < rank(*best)) {
      best = it;
    }
  }
  return best == nullptr ? std::string() : best->mId;
}

RoleBalance::Pools
RoleBalance::CountPools(const std::string& aService, Instant aNow) const
{
  Pools pools{ mDirectory.Usable(aService, EndpointRole::Prefill).size(),
               mDirectory.Usable(aService, EndpointRole::Decode).size() };
  for (const auto& [id, order] : mDirectory.RoleOrders(aNow)) {
    const EndpointRecord* engine = mDirectory.Find(id);
    if (engine != nullptr && engine->mService == aService) {
      ++(order.mRole == EndpointRole::Decode ? pools.mDecodes
                                             : pools.mPrefills);
    }
  }
  return pools;
}

std::optional<RoleChange>
RoleBalance::Decide(const std::string& aService,
                    const EngineProfile& aProfile,
                    double aGrowth,
                    double aPrefillRate,
                    Instant aNow)
{
  if (aNow < mNextChange || mSamples < kLeastSamples) {
    return std::nullopt;
  }
  const Pools pools = CountPools(aService, aNow);
  const std::size_t total = pools.mPrefills + pools.mDecodes;
  const StreamNeeds needs{
    mPromptSum / mSamples, mAnswerSum / mSamples, aPrefillRate, aGrowth
  };
  RoleChange change;
  change.mDecidedAt = aNow;
  change.mRateBefore = Rate(needs, aProfile, pools.mPrefills, pools.mDecodes);
  std::size_t best = pools.mPrefills;
  const std::size_t least = total >= kLargePool ? 2 : 1;
  for (std::size_t n = least; n < total; ++n) {
    const double rate = Rate(needs, aProfile, n, total - n);
    if (rate > change.mRateAfter) {
      change.mRateAfter = rate;
      best = n;
    }
  }
  if (best == pools.mPrefills ||
      change.mRateAfter < change.mRateBefore * kLeastGain) {
    mLeftOfBatch = 0;
    return std::nullopt;
  }
  const bool isToDecode = best < pools.mPrefills;
  change.mRole = isToDecode ? EndpointRole::Decode : EndpointRole::Prefill;
  change.mEndpoint = ChooseEngine(
    aService, isToDecode ? EndpointRole::Prefill : EndpointRole::Decode);
  if (change.mEndpoint.empty()) {
    return std::nullopt;
  }
  if (mLeftOfBatch == 0) {
    const std::size_t giving = isToDecode ? pools.mPrefills : pools.mDecodes;
    const std::size_t wanted =
      isToDecode ? pools.mPrefills - best : best - pools.mPrefills;
    mLeftOfBatch = std::min(wanted, std::max<std::size_t>(giving / 2, 1));
  }
  return change;
}

void
RoleBalance::OnOrdered(Instant aNow)
{
  // The engines of a batch change together; then their effect is awaited.
  if (mLeftOfBatch > 0) {
    --mLeftOfBatch;
  }
  if (mLeftOfBatch == 0) {
    mNextChange = aNow + kChangeInterval;
  }
}

} // namespace bulrushfold
