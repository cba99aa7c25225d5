#include "Routing/StreamScheduler.h"

#include <algorithm>
#include <iterator>

namespace bulrushfold {

namespace {
/** Fraction of an engine's memory that is planned for use; the rest is lost in
 * partly filled blocks. */
constexpr double kUsableMemoryFraction = 0.97;
/** Standard deviations above the expected need that must fit into memory. */
constexpr double kNeedDeviations = 2.0;
/** Events that are needed to measure the growth of a run. */
constexpr std::uint64_t kMinEvents = 5;
/** Time without new streams for an engine that refused a reservation. */
constexpr Duration kFullBackoff = std::chrono::milliseconds(60);
/** Time after which all runs that no daemon reports should have ended. */
constexpr Duration kUnaccountedLifetime = std::chrono::seconds(3);
} // namespace

double
StreamScheduler::UsableMemory(const std::string& aService) const
{
  const auto it = mProfiles.find(aService);
  return it == mProfiles.end()
           ? 0
           : kUsableMemoryFraction *
               static_cast<double>(it->second.mMemoryTokens);
}

void
StreamScheduler::OnProgress(std::uint64_t aEvents,
                            std::uint32_t aTokensPerEvent,
                            Duration aElapsed)
{
  if (aEvents >= kMinEvents && aElapsed > Duration::zero()) {
    mGrowthRate.Add(static_cast<double>(aEvents * aTokensPerEvent) /
                    ToMilliseconds(aElapsed));
    mForecast.SetRate(mGrowthRate.Value());
  }
}

void
StreamScheduler::OnReservationRefused(const std::string& aEndpoint,
                                      std::uint64_t aTokens,
                                      Instant aNow)
{
  mFullUntil[aEndpoint] = aNow + kFullBackoff;
  const EndpointRecord* engine = mDirectory.Find(aEndpoint);
  if (engine == nullptr) {
    return;
  }
  const double reported =
    mForecast.NeedAfter(mRuns.At(aEndpoint), Duration::zero(), aNow).mMean;
  const double unaccounted =
    UsableMemory(engine->mService) - reported - static_cast<double>(aTokens);
  if (unaccounted > UnaccountedTokens(aEndpoint, aNow)) {
    mUnaccounted[aEndpoint] = { unaccounted, aNow, ExpectedNeed(aEndpoint) };
  }
}

double
StreamScheduler::ExpectedNeed(const std::string& aEndpoint) const
{
  // The sum does not change while a run grows, so that only new runs raise it.
  double need = 0;
  for (const StreamRun* it : mRuns.At(aEndpoint)) {
    need += static_cast<double>(it->mPromptTokens) +
            static_cast<double>(it->mAnswerTokens) / 2;
  }
  return need;
}

void
StreamScheduler::SubtractReported()
{
  for (auto it = mUnaccounted.begin(); it != mUnaccounted.end();) {
    const double reported = ExpectedNeed(it->first);
    it->second.mTokens -= std::max(0.0, reported - it->second.mReportedNeed);
    it->second.mReportedNeed = reported;
    it = it->second.mTokens <= 0 ? mUnaccounted.erase(it) : std::next(it);
  }
}

double
StreamScheduler::UnaccountedTokens(const std::string& aEndpoint,
                                   Instant aNow) const
{
  const auto it = mUnaccounted.find(aEndpoint);
  if (it == mUnaccounted.end()) {
    return 0;
  }
  const double age = ToSeconds(aNow - it->second.mObservedAt);
  return it->second.mTokens *
         std::max(0.0, 1 - age / ToSeconds(kUnaccountedLifetime));
}

MemoryProfile
StreamScheduler::ProfileOf(const StreamDemand& aDemand, Instant aNow) const
{
  StreamRun candidate;
  candidate.mPromptTokens = StartTokens(aDemand);
  candidate.mAnswerTokens = aDemand.mAnswerTokens;
  candidate.mMaxAnswerTokens = aDemand.mMaxAnswerTokens;
  return mForecast.ProfileOf(candidate, aNow);
}

MemoryProfile
StreamScheduler::EngineProfileOf(const std::string& aEngine, Instant aNow) const
{
  return mEngineForecasts[aEngine].At(
    mForecast, mRuns.At(aEngine), mRuns.VersionAt(aEngine), aNow);
}

std::optional<double>
StreamScheduler::PeakWith(const StreamDemand& aDemand,
                          const MemoryProfile& aProfile,
                          const EndpointRecord& aEngine,
                          Instant aNow) const
{
  const auto full = mFullUntil.find(aEngine.mId);
  const std::size_t runs = mRuns.CountAt(aEngine.mId);
  if (runs >= aEngine.mSlots ||
      (full != mFullUntil.end() && aNow < full->second)) {
    return std::nullopt;
  }
  const double unaccounted = UnaccountedTokens(aEngine.mId, aNow);
  const double peak =
    EngineProfileOf(aEngine.mId, aNow).PeakWith(aProfile, kNeedDeviations) +
    unaccounted;
  // A request larger than an empty engine is placed; the engine refuses it.
  const bool isEmpty = runs == 0 && unaccounted == 0;
  return isEmpty || peak <= UsableMemory(aDemand.mService)
           ? std::make_optional(peak)
           : std::nullopt;
}

} // namespace bulrushfold
