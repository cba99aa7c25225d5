#include "Routing/StreamScheduler.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
/** Prompts at one prefill engine, of all daemons; two keep it busy while a
 * finished one is fetched. */
constexpr std::uint32_t kPrefillDepth = 2;
/** Standard deviations above the expected need that must fit. */
constexpr double kNeedDeviations = 2.0;
/** Growth of a run that is assumed before the first answer, tokens/ms. */
constexpr double kFirstGrowth = 1.5;
/** Interval of attempts while streams wait and nothing else happens. */
constexpr Duration kRetryInterval = std::chrono::milliseconds(50);
/** Prefill rate assumed before the first one ended. */
constexpr double kFirstTokensPerMillisecond = 40;
/** Time from a placement to the first event, without the prefill: reservation,
 * transfer and the first token, with room for a prompt that is read before. */
constexpr Duration kStartTime = std::chrono::milliseconds(140);
/** Generated tokens that a decode engine computes again within an event. */
constexpr std::uint64_t kFreeReadTokens = 300;
/** An engine is used for what it kept if that is one part in so many. */
constexpr std::uint64_t kLeastKeptDivisor = 2;
/** Costs below are in units of a full engine. */
constexpr double kOtherDomainCost = 0.05;
constexpr double kFailureCost = 1;
constexpr double kJitter = 0.05;
} // namespace

StreamScheduler::StreamScheduler(const EndpointDirectory& aDirectory,
                                 EndpointLoads& aLoads,
                                 StreamRuns& aRuns,
                                 const CachedPrompts& aKept,
                                 LocalPrefillTurns& aPrefillTurns,
                                 const EndpointHealth& aHealth,
                                 std::string aFailureDomain,
                                 Random& aRandom,
                                 Instant aStart)
  : mDirectory(aDirectory)
  , mLoads(aLoads)
  , mRuns(aRuns)
  , mKept(aKept)
  , mPrefillTurns(aPrefillTurns)
  , mHealth(aHealth)
  , mFailureDomain(std::move(aFailureDomain))
  , mRandom(aRandom)
  , mGrowthRate(kFirstGrowth)
  , mForecast(kFirstGrowth)
  , mAdmission(aStart)
  , mPrefillRate(kFirstTokensPerMillisecond)
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

Duration
StreamScheduler::PrefillTime(std::uint64_t aTokens) const
{
  return FromSeconds(static_cast<double>(aTokens) / mPrefillRate.Value() /
                     1000);
}

std::uint64_t
StartTokens(const StreamDemand& aDemand)
{
  return aDemand.mPromptTokens + aDemand.mGeneratedTokens;
}

double
MemoryTime(const StreamDemand& aDemand)
{
  const double answer = static_cast<double>(aDemand.mAnswerTokens);
  return (static_cast<double>(StartTokens(aDemand)) + answer / 2) * answer;
}

Instant
StreamScheduler::LatestStart(const StreamDemand& aDemand) const
{
  return aDemand.mFirstEventDeadline - kStartTime -
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
StreamScheduler::Next(Instant aNow)
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
  CountNewlyKnown();
  mNextTurn.reset();
  std::vector<StreamPlacement> placements;
  std::list<StreamDemand> resumed;
  while (!mWaiting.empty()) {
    const auto it = Next(aNow);
    auto placement = Place(*it, aNow);
    if (placement) {
      Hold(*it, *placement);
      mAdmission.OnPlaced(aNow);
      placements.push_back(std::move(*placement));
      mWaiting.erase(it);
    } else if (it->mWasInterrupted) {
      // It may only wait for its turn at an engine.
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
  switch (PlaceAtKept(aDemand, aNow, placement)) {
    case KeptResult::Placed:
      return placement;
    case KeptResult::Later:
      return std::nullopt;
    case KeptResult::None:
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
  return aDemand.mFailedEndpoints.count(aEngine) > 0 ? Rank::Tried
                                                     : Rank::Sound;
}

StreamScheduler::Rank
StreamScheduler::BestRank(const std::vector<const EndpointRecord*>& aEngines,
                          const StreamDemand& aDemand,
                          Instant aNow) const
{
  Rank best = Rank::Avoided;
  for (const EndpointRecord* it : aEngines) {
    best = std::min(best, RankOf(it->mId, aDemand, aNow));
  }
  return best;
}

std::optional<double>
StreamScheduler::PeakWith(const StreamDemand& aDemand,
                          const EndpointRecord& aEngine,
                          Instant aNow) const
{
  const auto full = mFullUntil.find(aEngine.mId);
  auto runs = mRuns.At(aEngine.mId);
  if (runs.size() >= aEngine.mSlots ||
      (full != mFullUntil.end() && aNow < full->second)) {
    return std::nullopt;
  }
  StreamRun candidate;
  candidate.mPromptTokens = StartTokens(aDemand);
  candidate.mAnswerTokens = aDemand.mAnswerTokens;
  candidate.mMaxAnswerTokens = aDemand.mMaxAnswerTokens;
  runs.push_back(&candidate);
  const double unknown = UnknownTokens(aEngine.mId, aNow);
  const double peak = mForecast.Peak(runs, kNeedDeviations, aNow) + unknown;
  // A request that exceeds an empty engine is the engine's to refuse.
  const bool isEmpty = runs.size() == 1 && unknown == 0;
  return isEmpty || peak <= MemoryOf(aDemand.mService)
           ? std::make_optional(peak)
           : std::nullopt;
}

StreamScheduler::KeptResult
StreamScheduler::PlaceAtKept(const StreamDemand& aDemand,
                             Instant aNow,
                             StreamPlacement& aPlacement)
{
  if (!aDemand.mWasInterrupted) {
    return KeptResult::None;
  }
  for (const auto& it : mKept.Find(aDemand.mPromptKey, aNow)) {
    const EndpointRecord* engine = mDirectory.Find(it.mEndpoint);
    if (engine == nullptr || !mDirectory.IsUsable(it.mEndpoint) ||
        engine->mRole != EndpointRole::Decode ||
        engine->mService != aDemand.mService ||
        mHealth.IsAvoided(it.mEndpoint, aNow) ||
        it.mTokens * kLeastKeptDivisor < aDemand.mPromptTokens) {
      continue;
    }
    const auto peak = PeakWith(aDemand, *engine, aNow);
    if (!peak) {
      continue;
    }
    if (!MayRead(it.mEndpoint, aDemand, aNow)) {
      if (aNow < aDemand.mFirstEventDeadline) {
        continue;
      }
      return KeptResult::Later;
    }
    aPlacement.mDecode = it.mEndpoint;
    aPlacement.mDecodeRuns = mRuns.CountAt(it.mEndpoint);
    aPlacement.mDecodePeak = *peak;
    // What was generated is computed again, also when the cache has it.
    aPlacement.mCachedTokens = std::min(it.mTokens, aDemand.mPromptTokens);
    return KeptResult::Placed;
  }
  return KeptResult::None;
}

bool
StreamScheduler::ChooseDecode(const StreamDemand& aDemand,
                              Instant aNow,
                              StreamPlacement& aPlacement)
{
  const double memory = MemoryOf(aDemand.mService);
  double bestCost = 0;
  const auto engines =
    mDirectory.Usable(aDemand.mService, EndpointRole::Decode);
  const Rank bestRank = BestRank(engines, aDemand, aNow);
  // The engine computes one prompt at a time between its tokens.
  const bool isRead =
    aDemand.mGeneratedTokens > kFreeReadTokens ||
    mDirectory.Usable(aDemand.mService, EndpointRole::Prefill).empty();
  for (const EndpointRecord* it : engines) {
    if (RankOf(it->mId, aDemand, aNow) > bestRank ||
        (isRead && !MayRead(it->mId, aDemand, aNow))) {
      continue;
    }
    const auto peak = PeakWith(aDemand, *it, aNow);
    if (!peak) {
      continue;
    }
    const double cost =
      *peak / std::max(memory, 1.0) +
      (it->mFailureDomain == mFailureDomain ? 0 : kOtherDomainCost) +
      kFailureCost * mHealth.FailureShare(it->mId) +
      kJitter * mRandom.UniformReal();
    if (aPlacement.mDecode.empty() || cost < bestCost) {
      bestCost = cost;
      aPlacement.mDecode = it->mId;
      aPlacement.mDecodeRuns = mRuns.CountAt(it->mId);
      aPlacement.mDecodePeak = *peak;
    }
  }
  return !aPlacement.mDecode.empty();
}

const EndpointRecord*
StreamScheduler::ChoosePrefill(const StreamDemand& aDemand,
                               const std::string& aFailureDomain,
                               Instant aNow) const
{
  const EndpointRecord* best = nullptr;
  double bestCost = 0;
  const auto engines =
    mDirectory.Usable(aDemand.mService, EndpointRole::Prefill);
  const Rank bestRank = BestRank(engines, aDemand, aNow);
  for (const EndpointRecord* it : engines) {
    const EndpointWork load = mLoads.Total(it->mId);
    if (load.mRequests >= kPrefillDepth ||
        RankOf(it->mId, aDemand, aNow) > bestRank) {
      continue;
    }
    const double cost =
      static_cast<double>(load.mPrefillTokens) /
        static_cast<double>(std::max<std::uint64_t>(aDemand.mPromptTokens, 1)) +
      (it->mFailureDomain == aFailureDomain ? 0 : kOtherDomainCost) +
      kFailureCost * mHealth.FailureShare(it->mId) +
      kJitter * mRandom.UniformReal();
    if (best == nullptr || cost < bestCost) {
      best = it;
      bestCost = cost;
    }
  }
  return best;
}

void
StreamScheduler::Hold(const StreamDemand& aDemand,
                      const StreamPlacement& aPlacement)
{
  mRuns.Add({ aDemand.mNumber,
              aPlacement.mDecode,
              StartTokens(aDemand),
              aDemand.mAnswerTokens,
              aDemand.mMaxAnswerTokens,
              std::nullopt,
              aDemand.mPromptKey });
  // What the decode engine itself has to compute.
  std::uint64_t read = aDemand.mGeneratedTokens;
  if (!aPlacement.mPrefill.empty()) {
    Begin(
      mPrefills,
      aDemand.mNumber,
      { aPlacement.mPrefill,
        { 1, aDemand.mPromptTokens },
        aPlacement.mPrefillLoad.mRequests == 0 && !aDemand.mWasInterrupted });
  } else {
    read = StartTokens(aDemand) - aPlacement.mCachedTokens;
  }
  if (read > kFreeReadTokens) {
    Begin(mReads, aDemand.mNumber, { aPlacement.mDecode, { 1, read }, false });
  }
}

void
StreamScheduler::Begin(std::map<std::uint64_t, Held>& aWorks,
                       std::uint64_t aNumber,
                       const Held& aHeld)
{
  aWorks[aNumber] = aHeld;
  mLoads.Begin(aHeld.mEndpoint, aHeld.mWork);
}

bool
StreamScheduler::MayRead(const std::string& aEngine,
                         const StreamDemand& aDemand,
                         Instant aNow)
{
  mPrefillTurns.Update(aEngine, aNow);
  // A single stream that broke off can go on in time; many come late.
  const Instant turn =
    aNow < aDemand.mFirstEventDeadline
      ? mPrefillTurns.FreeAt(aEngine, aNow)
      : mPrefillTurns.NextTurn(aEngine, aDemand.mSubmittedAt, aNow);
  if (turn <= aNow) {
    return true;
  }
  mNextTurn = std::min(mNextTurn.value_or(turn), turn);
  return false;
}

void
StreamScheduler::EndRead(std::uint64_t aNumber, Instant aNow)
{
  if (const auto it = mReads.find(aNumber); it != mReads.end()) {
    const std::string engine = it->second.mEndpoint;
    mPrefillTurns.Update(engine, aNow);
    mLoads.End(engine, it->second.mWork);
    mPrefillTurns.Update(engine, aNow);
    mReads.erase(it);
  }
}

std::vector<std::uint64_t>
StreamScheduler::RemoveExpired(Instant aNow)
{
  std::vector<std::uint64_t> expired;
  for (auto it = mWaiting.begin(); it != mWaiting.end();) {
    if (it->mQueueDeadline <= aNow) {
      expired.push_back(it->mNumber);
      it = mWaiting.erase(it);
    } else {
      ++it;
    }
  }
  return expired;
}

void
StreamScheduler::OnPrefillEnded(std::uint64_t aNumber, Duration aTook)
{
  const auto it = mPrefills.find(aNumber);
  if (it != mPrefills.end() && it->second.mIsAlone &&
      aTook > Duration::zero()) {
    mPrefillRate.Add(static_cast<double>(it->second.mWork.mPrefillTokens) /
                     ToMilliseconds(aTook));
  }
  if (it != mPrefills.end()) {
    mLoads.End(it->second.mEndpoint, it->second.mWork);
    mPrefills.erase(it);
  }
}

void
StreamScheduler::OnDecodeStarted(std::uint64_t aNumber, Instant aNow)
{
  mRuns.OnStarted(aNumber, aNow);
  EndRead(aNumber, aNow);
}

void
StreamScheduler::OnDecodeEnded(std::uint64_t aNumber, Instant aNow)
{
  mRuns.Remove(aNumber);
  EndRead(aNumber, aNow);
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
