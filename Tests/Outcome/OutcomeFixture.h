#ifndef BULRUSHFOLD_TESTS_OUTCOME_OUTCOMEFIXTURE_H
#define BULRUSHFOLD_TESTS_OUTCOME_OUTCOMEFIXTURE_H

#include <string>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Outcome/CauseFinder.h"
#include "Outcome/OutcomeRecord.h"
#include "Outcome/RequestId.h"
#include "Outcome/RequestTimeline.h"

namespace bulrushfold {

inline Duration
Ms(std::int64_t aMilliseconds)
{
  return std::chrono::milliseconds(aMilliseconds);
}

/** A timeline whose events are given as hops and lengths. */
class TimelineStory
{
public:
  TimelineStory()
    : mTimeline(MakeRequestId(mClock.Wall(), mRandom, "d1"),
                mClock.Now(),
                mClock.Wall())
  {
    mTimeline.PartialRecord().mWorkspace = "w1";
    mTimeline.PartialRecord().mTarget = "m1";
    mTimeline.PartialRecord().mDaemon = "d1";
    mTimeline.PartialRecord().mPreset = "normal";
    mTimeline.PartialRecord().mPresetVersion = 7;
  }

  TimelineStory& Service()
  {
    mTimeline.SetService();
    return *this;
  }
  /** Spends aTime at aHop. */
  TimelineStory& At(Hop aHop, std::int64_t aMilliseconds)
  {
    mTimeline.Enter(aHop, mClock.Now());
    mClock.Advance(Ms(aMilliseconds));
    return *this;
  }
  TimelineStory& At(Hop aHop, const char* aEndpoint, std::int64_t aMilliseconds)
  {
    mTimeline.Enter(aHop, { aEndpoint, "suva" }, mClock.Now());
    mClock.Advance(Ms(aMilliseconds));
    return *this;
  }
  TimelineStory& Attempt()
  {
    mTimeline.BeginAttempt(mClock.Now());
    return *this;
  }
  TimelineStory& Wait(std::int64_t aMilliseconds)
  {
    mClock.Advance(Ms(aMilliseconds));
    return *this;
  }
  /** Delivers aCount tokens, one each aInterval. */
  TimelineStory& Tokens(int aCount, std::int64_t aInterval)
  {
    for (int i = 0; i < aCount; ++i) {
      mClock.Advance(Ms(aInterval));
      mTimeline.AddTokens(1, mClock.Now());
    }
    return *this;
  }
  TimelineStory& Fault(FaultKind aKind)
  {
    mTimeline.RecordFault(aKind, mClock.Now());
    return *this;
  }
  TimelineStory& Pause(std::int64_t aMilliseconds)
  {
    mClock.Advance(Ms(aMilliseconds));
    mTimeline.NotePause(Ms(aMilliseconds), mClock.Now());
    return *this;
  }
  OutcomeRecord End(Ending aEnding, std::optional<Cause> aCause = std::nullopt)
  {
    mTimeline.End(aEnding, mClock.Now(), aCause);
    return CauseFinder(OutcomeTargets()).MakeRecord(mTimeline);
  }
  RequestTimeline& Timeline() { return mTimeline; }
  ManualClock& TheClock() { return mClock; }

private:
  ManualClock mClock;
  Random mRandom{ 1 };
  RequestTimeline mTimeline;
};

} // namespace bulrushfold

#endif
