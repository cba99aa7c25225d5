#include "Routing/StreamScheduler.h"

#include <algorithm>

namespace bulrushfold {

namespace {
/** A run is moved if its engine is expected to be out of memory after this
 * time, */
constexpr Duration kMoveHorizon = std::chrono::milliseconds(300);
/** with this number of standard deviations above the expected need. */
constexpr double kMoveDeviations = 0.5;
/** Standard deviations above the expected need that must fit at the target. */
constexpr double kTargetDeviations = 1.0;
/** Time until the effect of a move appears in the reports of the daemons. */
constexpr Duration kMoveEffect = std::chrono::milliseconds(80);
/** A run stays at a draining engine if it should end within this time. */
constexpr Duration kMinRemaining = std::chrono::milliseconds(1000);
} // namespace

bool
StreamScheduler::ShouldMove(const StreamRun& aRun, Instant aNow) const
{
  const EndpointRecord* engine = mDirectory.Find(aRun.mEndpoint);
  if (engine == nullptr || !aRun.mStartedAt ||
      mDirectory.IsInBackoff(aRun.mEndpoint)) {
    return false;
  }
  if (mDirectory.IsLeaving(aRun.mEndpoint) ||
      mDirectory.IsChangingRole(aRun.mEndpoint)) {
    const double remaining =
      static_cast<double>(aRun.mAnswerTokens) - mForecast.Generated(aRun, aNow);
    return remaining > ToMilliseconds(kMinRemaining) * mForecast.Rate();
  }
  const auto moved = mMovedAt.find(aRun.mEndpoint);
  if (moved != mMovedAt.end() && aNow - moved->second < kMoveEffect) {
    return false;
  }
  const auto& runs = mRuns.At(aRun.mEndpoint);
  const bool isNewest =
    std::none_of(runs.begin(), runs.end(), [&](const StreamRun* aOther) {
      return aOther->mStartedAt && *aOther->mStartedAt > *aRun.mStartedAt;
    });
  if (!isNewest) {
    return false;
  }
  const MemoryNeed need = mForecast.NeedAfter(runs, kMoveHorizon, aNow);
  return need.mMean + kMoveDeviations * need.mDeviation >
         UsableMemory(engine->mService);
}

std::string
StreamScheduler::ChooseTarget(const StreamRun& aRun, Instant aNow) const
{
  const EndpointRecord* engine = mDirectory.Find(aRun.mEndpoint);
  const double memory = UsableMemory(engine->mService);
  std::string best;
  double bestPeak = memory;
  for (const EndpointRecord* it :
       mDirectory.Usable(engine->mService, EndpointRole::Decode)) {
    auto runs = mRuns.At(it->mId);
    if (it->mId == aRun.mEndpoint || it->mSoftware != engine->mSoftware ||
        runs.size() >= it->mSlots || mHealth.IsAvoided(it->mId, aNow)) {
      continue;
    }
    runs.push_back(&aRun);
    const double peak = mForecast.Peak(runs, kTargetDeviations, aNow) +
                        UnaccountedTokens(it->mId, aNow);
    if (peak < bestPeak) {
      bestPeak = peak;
      best = it->mId;
    }
  }
  return best;
}

std::vector<MoveProposal>
StreamScheduler::Rebalance(Instant aNow)
{
  std::vector<MoveProposal> proposals;
  for (const auto& [number, run] : mRuns.Own()) {
    if (!ShouldMove(run, aNow)) {
      continue;
    }
    const std::string target = ChooseTarget(run, aNow);
    if (!target.empty()) {
      mMovedAt[run.mEndpoint] = aNow;
      proposals.push_back({ number, target });
    }
  }
  return proposals;
}

void
StreamScheduler::OnMoved(std::uint64_t aNumber, const std::string& aEndpoint)
{
  mRuns.OnMoved(aNumber, aEndpoint);
}

} // namespace bulrushfold
