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
/** Weight of a new reading of the prefill rate. */
constexpr double kRateWeight = 0.1;
/** Generated tokens that a decode engine computes again within an event. */
constexpr std::uint64_t kFreeReadTokens = 300;
/** Time between two such computations, in which each run of the engine sends
 * an event: two in a row would hold the runs up for too long. */
constexpr Duration kReadPause = std::chrono::milliseconds(80);
/** Costs below are in units of a full engine. */
constexpr double kOtherDomainCost = 0.05;
constexpr double kFailureCost = 1;
constexpr double kJitter = 0.05;
} // namespace

StreamScheduler::StreamScheduler(const EndpointDirectory& aDirectory,
                                 EndpointLoads& aLoads,
                                 StreamRuns& aRuns,
                                 const EndpointHealth& aHealth,
                                 std::string aFailureDomain,
                                 Random& aRandom,
                                 Instant aStart)
  : mDirectory(aDirectory)
  , mLoads(aLoads)
  , mRuns(aRuns)
  , mHealth(aHealth)
  , mFailureDomain(std::move(aFailureDomain))
  , mRandom(aRandom)
  , mForecast(kFirstGrowth)
  , mAdmission(aStart)
  , mTokensPerMillisecond(kFirstTokensPerMillisecond)
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
  return FromSeconds(static_cast<double>(aTokens) / mTokensPerMillisecond /
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
  return aDemand.mDue - kStartTime - PrefillTime(aDemand.mPromptTokens);
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
    } else if (it->mGeneratedTokens > kFreeReadTokens) {
      // It may only wait for its turn at the engines.
      resumed.splice(resumed.end(), mWaiting, it);
    } else {
      break;
    }
  }
  mWaiting.splice(mWaiting.end(), resumed);
  return placements;
}

std::optional<StreamPlacement>
StreamScheduler::Place(const StreamDemand& aDemand, Instant aNow) const
{
  StreamPlacement placement;
  placement.mNumber = aDemand.mNumber;
  if (!ChooseDecode(aDemand, aNow, placement)) {
    return std::nullopt;
  }
  if (mDirectory.Usable(aDemand.mService, EndpointRole::Prefill).empty()) {
    // The engine reads one prompt at a time between its tokens.
    return mLoads.Total(placement.mDecode).mPrefillTokens > 0
             ? std::nullopt
             : std::make_optional(placement);
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
  return aDemand.mTried.count(aEngine) > 0 ? Rank::Tried : Rank::Sound;
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

bool
StreamScheduler::ChooseDecode(const StreamDemand& aDemand,
                              Instant aNow,
                              StreamPlacement& aPlacement) const
{
  const double memory = MemoryOf(aDemand.mService);
  StreamRun candidate;
  candidate.mPromptTokens = StartTokens(aDemand);
  candidate.mAnswerTokens = aDemand.mAnswerTokens;
  candidate.mMostTokens = aDemand.mMostTokens;
  double bestCost = 0;
  const auto engines =
    mDirectory.Usable(aDemand.mService, EndpointRole::Decode);
  const Rank bestRank = BestRank(engines, aDemand, aNow);
  const bool isRead = aDemand.mGeneratedTokens > kFreeReadTokens;
  for (const EndpointRecord* it : engines) {
    if (isRead && IsReading(it->mId, aNow)) {
      continue;
    }
    auto runs = mRuns.At(it->mId);
    const std::size_t before = runs.size();
    const auto full = mFullUntil.find(it->mId);
    const bool isBlocked = full != mFullUntil.end() && aNow < full->second;
    runs.push_back(&candidate);
    const double unknown = UnknownTokens(it->mId, aNow);
    const double peak = mForecast.Peak(runs, kNeedDeviations, aNow) + unknown;
    // A request that exceeds an empty engine is the engine's to refuse.
    const bool hasRoom = (before == 0 && unknown == 0) || peak <= memory;
    if (before >= it->mSlots || !hasRoom || isBlocked ||
        RankOf(it->mId, aDemand, aNow) > bestRank) {
      continue;
    }
    const double cost =
      peak / std::max(memory, 1.0) +
      (it->mFailureDomain == mFailureDomain ? 0 : kOtherDomainCost) +
      kFailureCost * mHealth.FailureShare(it->mId) + kJitter * mRandom.Unit();
    if (aPlacement.mDecode.empty() || cost < bestCost) {
      bestCost = cost;
      aPlacement.mDecode = it->mId;
      aPlacement.mDecodeRuns = before;
      aPlacement.mDecodePeak = peak;
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
      kFailureCost * mHealth.FailureShare(it->mId) + kJitter * mRandom.Unit();
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
              aDemand.mMostTokens,
              std::nullopt });
  const std::string& reader =
    aPlacement.mPrefill.empty() ? aPlacement.mDecode : aPlacement.mPrefill;
  Begin(mPrefills, aDemand.mNumber, { reader, { 1, aDemand.mPromptTokens } });
  if (aDemand.mGeneratedTokens > kFreeReadTokens) {
    Begin(mReads,
          aDemand.mNumber,
          { aPlacement.mDecode, { 1, aDemand.mGeneratedTokens } });
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
StreamScheduler::IsReading(const std::string& aEngine, Instant aNow) const
{
  const auto it = mReadAgainAt.find(aEngine);
  return mLoads.Total(aEngine).mPrefillTokens > 0 ||
         (it != mReadAgainAt.end() && aNow < it->second);
}

void
StreamScheduler::EndRead(std::uint64_t aNumber, Instant aNow)
{
  if (const auto it = mReads.find(aNumber); it != mReads.end()) {
    mReadAgainAt[it->second.mEndpoint] = aNow + kReadPause;
    mLoads.End(it->second.mEndpoint, it->second.mWork);
    mReads.erase(it);
  }
}

std::vector<std::uint64_t>
StreamScheduler::TakeExpired(Instant aNow)
{
  std::vector<std::uint64_t> expired;
  for (auto it = mWaiting.begin(); it != mWaiting.end();) {
    if (it->mGiveUp <= aNow) {
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
  if (it != mPrefills.end() && aTook > Duration::zero()) {
    // The engine may have worked on another prompt first, so a reading is a
    // lower bound of the rate; slow ones count less.
    const double rate = static_cast<double>(it->second.mWork.mPrefillTokens) /
                        ToMilliseconds(aTook);
    const double weight =
      rate > mTokensPerMillisecond ? kRateWeight : kRateWeight / 4;
    mTokensPerMillisecond += weight * (rate - mTokensPerMillisecond);
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
  for (const auto& it : mWaiting) {
    next = std::min(next, it.mGiveUp);
  }
  return std::max(next, aNow);
}

} // namespace bulrushfold
