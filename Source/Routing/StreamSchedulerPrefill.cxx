#include "Routing/StreamScheduler.h"

#include <algorithm>

namespace bulrushfold {

Duration
StreamScheduler::PrefillTime(std::uint64_t aTokens) const
{
  return FromSeconds(static_cast<double>(aTokens) / mPrefillRate.Value() /
                     1000);
}

void
StreamScheduler::AddPrefill(std::map<std::uint64_t, PrefillWork>& aWorks,
                            std::uint64_t aNumber,
                            const PrefillWork& aPrefill)
{
  aWorks[aNumber] = aPrefill;
  mLoads.Begin(aPrefill.mEndpoint, aPrefill.mWork);
}

bool
StreamScheduler::MayPrefillLocally(const std::string& aEngine,
                                   const StreamDemand& aDemand,
                                   Instant aNow)
{
  mPrefillTurns.Update(aEngine, aNow);
  // A stream that is not late yet need not wait for this daemon's turn: single
  // interrupted streams can resume in time this way. When many are interrupted
  // at once, most are late and wait for the turn.
  const Instant turn =
    aNow < aDemand.mFirstEventDeadline
      ? mPrefillTurns.AvailableAt(aEngine, aNow)
      : mPrefillTurns.NextTurn(aEngine, aDemand.mSubmittedAt, aNow);
  if (turn <= aNow) {
    return true;
  }
  mNextTurn = std::min(mNextTurn.value_or(turn), turn);
  return false;
}

void
StreamScheduler::EndLocalPrefill(std::uint64_t aNumber, Instant aNow)
{
  if (const auto it = mLocalPrefills.find(aNumber);
      it != mLocalPrefills.end()) {
    const std::string engine = it->second.mEndpoint;
    mPrefillTurns.Update(engine, aNow);
    mLoads.End(engine, it->second.mWork);
    mPrefillTurns.Update(engine, aNow);
    mLocalPrefills.erase(it);
  }
}

void
StreamScheduler::OnPrefillEnded(std::uint64_t aNumber, Duration aElapsed)
{
  const auto it = mPrefills.find(aNumber);
  if (it != mPrefills.end() && it->second.mIsExclusive &&
      aElapsed > Duration::zero()) {
    mPrefillRate.Add(static_cast<double>(it->second.mWork.mPrefillTokens) /
                     ToMilliseconds(aElapsed));
  }
  if (it != mPrefills.end()) {
    mLoads.End(it->second.mEndpoint, it->second.mWork);
    mPrefills.erase(it);
  }
}

} // namespace bulrushfold
