#ifndef BULRUSHFOLD_EMULATOR_LOADRUNNER_H
#define BULRUSHFOLD_EMULATOR_LOADRUNNER_H

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Emulator/LoadPlan.h"
#include "Emulator/LoadRequest.h"
#include "Emulator/LoadResults.h"
#include "Emulator/LoadSettings.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"

namespace bulrushfold {

/** Sends the requests of a load run and checks the bookings at its end. */
class LoadRunner
{
public:
  LoadRunner(EventLoop& aLoop,
             const Clock& aClock,
             Random& aRandom,
             const LoadSettings& aSettings);
  LoadRunner(const LoadRunner&) = delete;
  LoadRunner& operator=(const LoadRunner&) = delete;

  /** Starts the run; aOnEnd is called when its results are complete. */
  void Start(std::function<void()> aOnEnd);
  const LoadResults& Results() const { return mResults; }
  /** Time from the start to the last answer. */
  Duration Elapsed() const { return mLastEnd - mStartedAt; }

private:
  bool MayStart() const;
  void StartRequest();
  void ScheduleArrival();
  void FinishRequest(std::uint64_t aNumber,
                     const LoadCall& aCall,
                     const LoadOutcome& aOutcome);
  /** Ends the run when no request may start and none is in progress. */
  void CheckEnd();
  void AbortAll();
  void ReadRuns();
  void HandleRuns(const HttpCallReply& aReply);

  EventLoop& mLoop;
  const Clock& mClock;
  const LoadSettings& mSettings;
  HttpClient mClient;
  LoadPlan mPlan;
  LoadResults mResults;
  LoadContext mContext;
  std::function<void()> mOnEnd;
  Instant mStartedAt;
  Instant mNextArrival;
  Instant mLastEnd;
  std::uint64_t mStarted = 0;
  std::uint64_t mNextTarget = 0;
  bool mIsStopped = false;
  bool mIsEnding = false;
  std::map<std::uint64_t, std::unique_ptr<LoadRequest>> mRequests;
  BookingLog::Runs mRuns;
  std::size_t mPendingReads = 0;
  std::vector<std::unique_ptr<HttpCall>> mRunCalls;
  EventHandle mArrivalTimer;
  EventHandle mStopTimer;
  EventHandle mDrainTimer;
  EventHandle mSettleTimer;
};

} // namespace bulrushfold

#endif
