#include "Routing/StreamScheduler.h"

#include <algorithm>
#include <iterator>

namespace bulrushfold {

namespace {
/** Part of an engine's memory that is given away; blocks are not filled. */
constexpr double kMemoryPart = 0.97;
/** Least events that tell the growth of a run. */
constexpr std::uint64_t kLeastEvents = 5;
/** Time for which an engine that had no room is left alone. */
constexpr Duration kFullTime = std::chrono::milliseconds(60);
/** Time in which runs that no daemon tells of end. */
constexpr Duration kUnknownTime = std::chrono::seconds(3);
} // namespace

double
StreamScheduler::MemoryOf(const std::string& aService) const
{
  const auto it = mProfiles.find(aService);
  return it == mProfiles.end()
           ? 0
           : kMemoryPart * static_cast<double>(it->second.mMemoryTokens);
}

void
StreamScheduler::OnProgress(std::uint64_t aEvents,
                            std::uint32_t aTokensPerEvent,
                            Duration aTook)
{
  if (aEvents >= kLeastEvents && aTook > Duration::zero()) {
    mGrowthRate.Add(static_cast<double>(aEvents * aTokensPerEvent) /
                    ToMilliseconds(aTook));
    mForecast.SetRate(mGrowthRate.Value());
  }
}

void
StreamScheduler::OnReservationRefused(const std::string& aEndpoint,
                                      std::uint64_t aTokens,
                                      Instant aNow)
{
  mFullUntil[aEndpoint] = aNow + kFullTime;
  const EndpointRecord* engine = mDirectory.Find(aEndpoint);
  if (engine == nullptr) {
    return;
  }
  const double known =
    mForecast.NeedAfter(mRuns.At(aEndpoint), Duration::zero(), aNow).mMean;
  const double unknown =
    MemoryOf(engine->mService) - known - static_cast<double>(aTokens);
  if (unknown > UnknownTokens(aEndpoint, aNow)) {
    mUnknown[aEndpoint] = { unknown, aNow, ExpectedNeed(aEndpoint) };
  }
}

double
StreamScheduler::ExpectedNeed(const std::string& aEndpoint) const
{
  // Does not change while a run goes on, so that only new runs raise it.
  double need = 0;
  for (const StreamRun* it : mRuns.At(aEndpoint)) {
    need += static_cast<double>(it->mPromptTokens) +
            static_cast<double>(it->mAnswerTokens) / 2;
  }
  return need;
}

void
StreamScheduler::CountNewlyKnown()
{
  for (auto it = mUnknown.begin(); it != mUnknown.end();) {
    const double known = ExpectedNeed(it->first);
    it->second.mTokens -= std::max(0.0, known - it->second.mKnown);
    it->second.mKnown = known;
    it = it->second.mTokens <= 0 ? mUnknown.erase(it) : std::next(it);
  }
}

double
StreamScheduler::UnknownTokens(const std::string& aEndpoint, Instant aNow) const
{
  const auto it = mUnknown.find(aEndpoint);
  if (it == mUnknown.end()) {
    return 0;
  }
  const double age = ToSeconds(aNow - it->second.mObservedAt);
  return it->second.mTokens * std::max(0.0, 1 - age / ToSeconds(kUnknownTime));
}

} // namespace bulrushfold
