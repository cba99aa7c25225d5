#include "Routing/StreamScheduler.h"

#include <algorithm>
#include <utility>

#include "Routing/StreamVersion.h"

namespace bulrushfold {

namespace {
/** Maximum number of prompts at one prefill engine, from all daemons. With two
 * the engine stays busy while the decode engine fetches a computed one. */
constexpr std::uint32_t kPrefillDepth = 2;
/** Growth of a run that is assumed before the first measurement, tokens/ms. */
constexpr double kInitialGrowth = 1.5;
/** Interval between placement attempts while streams wait without events. */
constexpr Duration kRetryInterval = std::chrono::milliseconds(50);
/** Prefill rate that is assumed before the first measurement. */
constexpr double kInitialPrefillRate = 40;
/** Time from a placement to the first event, without the prefill: reservation,
 * transfer and the first token, and a margin for another prompt that the
 * prefill engine computes before. */
constexpr Duration kStartupTime = std::chrono::milliseconds(140);
/** Tokens up to which a local prefill takes no longer than one event and is not
 * limited. */
constexpr std::uint64_t kFreeLocalPrefillTokens = 300;
/** Engines with room that are compared for a stream. The best of so many is
 * hardly fuller than the best of all. */
constexpr std::size_t kComparedEngines = 16;
/** An engine is preferred for its cache if the cached tokens are at least the
 * prompt's tokens divided by this number. */
constexpr std::uint64_t kMinCachedDivisor = 2;
/** The costs below are relative to the load of a full engine, which is 1. */
constexpr double kOtherDomainCost = 0.05;
constexpr double kFailureCost = 1;
constexpr double kJitter = 0.05;

/** Calls aCompare with the engines from a random one on, until it has returned
 * true for kComparedEngines of them. */
template<typename Compare>
void
CompareSome(const std::vector<const EndpointRecord*>& aEngines,
            Random& aRandom,
            Compare aCompare)
{
  const std::size_t start =
    aEngines.empty() ? 0 : aRandom.UniformBelow(aEngines.size());
  std::size_t compared = 0;
  for (std::size_t i = 0; i < aEngines.size() && compared < kComparedEngines;
       ++i) {
    compared += aCompare(aEngines[(start + i) % aEngines.size()]) ? 1 : 0;
  }
}
} // namespace

StreamScheduler::StreamScheduler(const EndpointDirectory& aDirectory,
                                 EndpointLoads& aLoads,
                                 StreamRuns& aRuns,
                                 const CachedPrompts& aCachedPrompts,
                                 LocalPrefillTurns& aPrefillTurns,
                                 const EndpointHealth& aHealth,
                                 std::string aFailureDomain,
                                 Random& aRandom,
                                 Instant aStart)
  : mDirectory(aDirectory)
  , mLoads(aLoads)
  , mRuns(aRuns)
  , mCachedPrompts(aCachedPrompts)
  , mPrefillTurns(aPrefillTurns)
  , mHealth(aHealth)
  , mFailureDomain(std::move(aFailureDomain))
  , mRandom(aRandom)
  , mGrowthRate(kInitialGrowth)
  , mForecast(kInitialGrowth)
  , mAdmission(aStart)
  , mPrefillRate(kInitialPrefillRate)
{
}

void
StreamScheduler::Submit(StreamDemand aDemand)
{
  mProfiles[aDemand.mService] = aDemand.mProfile;
  mWaiting.push_back(std::move(aDemand));
}

bool
StreamScheduler::Withdraw(std::uint64_t aNumber)
{
  const auto it =
    std::find_if(mWaiting.begin(), mWaiting.end(), [aNumber](const auto& aIt) {
      return aIt.mNumber == aNumber;
    });
  if (it == mWaiting.end()) {
    return false;
  }
  mWaiting.erase(it);
  return true;
}

Instant
StreamScheduler::LatestStart(const StreamDemand& aDemand) const
{
  return aDemand.mFirstEventDeadline - kStartupTime -
         PrefillTime(aDemand.mPromptTokens);
}

bool
StreamScheduler::Admits(const StreamDemand& aDemand, Instant aNow)
{
  const auto waiting =
    std::count_if(mWaiting.begin(), mWaiting.end(), [&](const auto& aIt) {
      return aNow <= LatestStart(aIt);
    });
  return mAdmission.Admits(
    static_cast<std::size_t>(waiting), LatestStart(aDemand) - aNow, aNow);
}

std::list<StreamDemand>::iterator
StreamScheduler::NextToPlace(Instant aNow)
{
  const auto isLate = [&](const StreamDemand& aDemand) {
    return aNow > LatestStart(aDemand);
  };
  return std::min_element(mWaiting.begin(),
                          mWaiting.end(),
                          [&](const auto& aLeft, const auto& aRight) {
                            const bool left = isLate(aLeft);
                            const bool right = isLate(aRight);
                            return left != right
                                     ? right
                                     : MemoryTime(aLeft) < MemoryTime(aRight);
                          });
}

std::vector<StreamPlacement>
StreamScheduler::Dispatch(Instant aNow)
{
  SubtractReported();
  mNextTurn.reset();
  std::vector<StreamPlacement> placements;
  std::list<StreamDemand> resumed;
  while (!mWaiting.empty()) {
    const auto it = NextToPlace(aNow);
    auto placement = Place(*it, aNow);
    if (placement) {
      AddPlacement(*it, *placement);
      mAdmission.OnPlaced(aNow);
      placements.push_back(std::move(*placement));
      mWaiting.erase(it);
    } else if (it->mWasInterrupted) {
      // The stream may only wait for its turn at an engine, so the next streams
      // can still be placed.
      resumed.splice(resumed.end(), mWaiting, it);
    } else {
      break;
    }
  }
  mWaiting.splice(mWaiting.end(), resumed);
  return placements;
}

std::optional<StreamPlacement>
StreamScheduler::Place(const StreamDemand& aDemand, Instant aNow)
{
  StreamPlacement placement;
  placement.mNumber = aDemand.mNumber;
  switch (PlaceAtCachedPrompt(aDemand, aNow, placement)) {
    case CachedResult::Placed:
      return placement;
    case CachedResult::Wait:
      return std::nullopt;
    case CachedResult::None:
      break;
  }
  if (!ChooseDecode(aDemand, aNow, placement)) {
    return std::nullopt;
  }
  if (mDirectory.Usable(aDemand.mService, EndpointRole::Prefill).empty()) {
    return placement;
  }
  const EndpointRecord* decode = mDirectory.Find(placement.mDecode);
  const EndpointRecord* prefill =
    ChoosePrefill(aDemand, decode->mFailureDomain, aNow);
  if (prefill == nullptr) {
    return std::nullopt;
  }
  placement.mPrefill = prefill->mId;
  placement.mPrefillLoad = mLoads.Total(prefill->mId);
  return placement;
}

StreamScheduler::Rank
StreamScheduler::RankOf(const std::string& aEngine,
                        const StreamDemand& aDemand,
                        Instant aNow) const
{
  if (mHealth.IsAvoided(aEngine, aNow)) {
    return Rank::Avoided;
  }
  return aDemand.mFailedEndpoints.count(aEngine) > 0 ? Rank::FailedBefore
                                                     : Rank::Healthy;
}

StreamScheduler::Rank
StreamScheduler::BestRank(const std::vector<const EndpointRecord*>& aEngines,
                          const StreamDemand& aDemand,
                          Instant aNow) const
{
  Rank best = Rank::Avoided;
  for (const EndpointRecord* it : aEngines) {
    best = std::min(best, RankOf(it->mId, aDemand, aNow));
    if (best == Rank::Healthy) {
      break;
    }
  }
  return best;
}

StreamScheduler::CachedResult
StreamScheduler::PlaceAtCachedPrompt(const StreamDemand& aDemand,
                                     Instant aNow,
                                     StreamPlacement& aPlacement)
{
  if (!aDemand.mWasInterrupted) {
    return CachedResult::None;
  }
  const MemoryProfile profile = ProfileOf(aDemand, aNow);
  for (const auto& it : mCachedPrompts.Find(aDemand.mPromptKey, aNow)) {
    const EndpointRecord* engine = mDirectory.Find(it.mEndpoint);
    if (engine == nullptr || !mDirectory.IsUsable(it.mEndpoint) ||
        engine->mRole != EndpointRole::Decode ||
        engine->mService != aDemand.mService ||
        !MayContinueAt(aDemand.mSoftware, engine->mSoftware) ||
        mHealth.IsAvoided(it.mEndpoint, aNow) ||
        it.mTokens * kMinCachedDivisor < aDemand.mPromptTokens) {
      continue;
    }
    const auto peak = PeakWith(aDemand, profile, *engine, aNow);
    if (!peak) {
      continue;
    }
    if (!MayPrefillLocally(it.mEndpoint, aDemand, aNow)) {
      if (aNow < aDemand.mFirstEventDeadline) {
        continue;
      }
      return CachedResult::Wait;
    }
    aPlacement.mDecode = it.mEndpoint;
    aPlacement.mDecodeRuns = mRuns.CountAt(it.mEndpoint);
    aPlacement.mDecodePeak = *peak;
    // The generated tokens are computed again, even if they are cached too.
    aPlacement.mCachedTokens = std::min(it.mTokens, aDemand.mPromptTokens);
    return CachedResult::Placed;
  }
  return CachedResult::None;
}

bool
StreamScheduler::ChooseDecode(const StreamDemand& aDemand,
                              Instant aNow,
                              StreamPlacement& aPlacement)
{
  const double memory = UsableMemory(aDemand.mService);
  const MemoryProfile profile = ProfileOf(aDemand, aNow);
  double bestCost = 0;
  const auto& usable =
    mDirectory.Usable(aDemand.mService, EndpointRole::Decode);
  const auto fitting = FittingEngines(aDemand, usable);
  const auto& engines = fitting ? *fitting : usable;
  const Rank bestRank = BestRank(engines, aDemand, aNow);
  // A decode engine runs one local prefill at a time, between the tokens of its
  // runs.
  const bool needsTurn =
    aDemand.mGeneratedTokens > kFreeLocalPrefillTokens ||
    mDirectory.Usable(aDemand.mService, EndpointRole::Prefill).empty();
  CompareSome(engines, mRandom, [&](const EndpointRecord* aEngine) {
    if (RankOf(aEngine->mId, aDemand, aNow) > bestRank ||
        (needsTurn && !MayPrefillLocally(aEngine->mId, aDemand, aNow))) {
      return false;
    }
    const auto peak = PeakWith(aDemand, profile, *aEngine, aNow);
    if (!peak) {
      return false;
    }
    const double cost =
      *peak / std::max(memory, 1.0) +
      (aEngine->mFailureDomain == mFailureDomain ? 0 : kOtherDomainCost) +
      kFailureCost * mHealth.FailureShare(aEngine->mId) +
      kJitter * mRandom.UniformReal();
    if (aPlacement.mDecode.empty() || cost < bestCost) {
      bestCost = cost;
      aPlacement.mDecode = aEngine->mId;
      aPlacement.mDecodeRuns = mRuns.CountAt(aEngine->mId);
      aPlacement.mDecodePeak = *peak;
    }
    return true;
  });
  return !aPlacement.mDecode.empty();
}

const EndpointRecord*
StreamScheduler::ChoosePrefill(const StreamDemand& aDemand,
                               const std::string& aFailureDomain,
                               Instant aNow) const
{
  const EndpointRecord* best = nullptr;
  double bestCost = 0;
  const auto& engines =
    mDirectory.Usable(aDemand.mService, EndpointRole::Prefill);
  const Rank bestRank = BestRank(engines, aDemand, aNow);
  CompareSome(engines, mRandom, [&](const EndpointRecord* aEngine) {
    const EndpointWork load = mLoads.Total(aEngine->mId);
    if (load.mRequests >= kPrefillDepth ||
        RankOf(aEngine->mId, aDemand, aNow) > bestRank) {
      return false;
    }
    const double cost =
      static_cast<double>(load.mPrefillTokens) /
        static_cast<double>(std::max<std::uint64_t>(aDemand.mPromptTokens, 1)) +
      (aEngine->mFailureDomain == aFailureDomain ? 0 : kOtherDomainCost) +
      kFailureCost * mHealth.FailureShare(aEngine->mId) +
      kJitter * mRandom.UniformReal();
    if (best == nullptr || cost < bestCost) {
      best = aEngine;
      bestCost = cost;
    }
    return true;
  });
  return best;
}

void
StreamScheduler::AddPlacement(const StreamDemand& aDemand,
                              const StreamPlacement& aPlacement)
{
  mRuns.Add({ aDemand.mNumber,
              aPlacement.mDecode,
              StartTokens(aDemand),
              aDemand.mAnswerTokens,
              aDemand.mMaxAnswerTokens,
              std::nullopt,
              aDemand.mPromptKey });
  // Tokens that the decode engine computes in a local prefill.
  std::uint64_t localTokens = aDemand.mGeneratedTokens;
  if (!aPlacement.mPrefill.empty()) {
    AddPrefill(
      mPrefills,
      aDemand.mNumber,
      { aPlacement.mPrefill,
        { 1, aDemand.mPromptTokens },
        aPlacement.mPrefillLoad.mRequests == 0 && !aDemand.mWasInterrupted });
  } else {
    localTokens = StartTokens(aDemand) - aPlacement.mCachedTokens;
  }
  if (localTokens > kFreeLocalPrefillTokens) {
    AddPrefill(mLocalPrefills,
               aDemand.mNumber,
               { aPlacement.mDecode, { 1, localTokens }, false });
  }
}

void
StreamScheduler::OnDecodeStarted(std::uint64_t aNumber, Instant aNow)
{
  mRuns.OnStarted(aNumber, aNow);
  EndLocalPrefill(aNumber, aNow);
}

void
StreamScheduler::OnDecodeEnded(std::uint64_t aNumber, Instant aNow)
{
  mRuns.Remove(aNumber);
  EndLocalPrefill(aNumber, aNow);
}

std::optional<Instant>
StreamScheduler::NextWake(Instant aNow) const
{
  if (mWaiting.empty()) {
    return std::nullopt;
  }
  Instant next = aNow + kRetryInterval;
  if (mNextTurn) {
    next = std::min(next, *mNextTurn);
  }
  for (const auto& it : mWaiting) {
    next = std::min(next, it.mQueueDeadline);
  }
  return std::max(next, aNow);
}

} // namespace bulrushfold
