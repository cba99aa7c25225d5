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
    if (best == nullptr || rank(*it) < rank(*best)) {
      best = it;
    }
  }
  return best == nullptr ? std::string() : best->mId;
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
  const std::size_t prefills =
    mDirectory.Usable(aService, EndpointRole::Prefill).size();
  const std::size_t decodes =
    mDirectory.Usable(aService, EndpointRole::Decode).size();
  const StreamNeeds needs{
    mPromptSum / mSamples, mAnswerSum / mSamples, aPrefillRate, aGrowth
  };
  const std::size_t least = prefills + decodes >= kLargePool ? 2 : 1;
  const double before = Rate(needs, aProfile, prefills, decodes);
  RoleChange change;
  change.mRateBefore = before;
  change.mRateAfter = before * kLeastGain;
  if (prefills > least) {
    const double after = Rate(needs, aProfile, prefills - 1, decodes + 1);
    if (after >= change.mRateAfter) {
      change.mRateAfter = after;
      change.mRole = EndpointRole::Decode;
      change.mEndpoint = ChooseEngine(aService, EndpointRole::Prefill);
    }
  }
  if (decodes > 1) {
    const double after = Rate(needs, aProfile, prefills + 1, decodes - 1);
    if (after >= change.mRateAfter) {
      change.mRateAfter = after;
      change.mRole = EndpointRole::Prefill;
      change.mEndpoint = ChooseEngine(aService, EndpointRole::Decode);
    }
  }
  return change.mEndpoint.empty() ? std::nullopt : std::make_optional(change);
}

} // namespace bulrushfold
