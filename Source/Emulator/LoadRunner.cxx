#include "Emulator/LoadRunner.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

LoadRunner::LoadRunner(EventLoop& aLoop,
                       const Clock& aClock,
                       Random& aRandom,
                       const LoadSettings& aSettings)
  : mLoop(aLoop)
  , mClock(aClock)
  , mSettings(aSettings)
  , mClient(aLoop)
  , mPlan(aSettings, aClock, aRandom)
  , mResults(aSettings)
  , mContext{ aLoop, aClock, mClient, aSettings, [this] {
               return mSettings
                 .mTargets[mNextTarget++ % mSettings.mTargets.size()];
             } }
{
}

void
LoadRunner::Start(std::function<void()> aOnEnd)
{
  mOnEnd = std::move(aOnEnd);
  mStartedAt = mClock.Now();
  mNextArrival = mStartedAt;
  mLastEnd = mStartedAt;
  mStopTimer = mLoop.After(mSettings.mStartTime, [this] {
    mIsStopped = true;
    CheckEnd();
  });
  mDrainTimer = mLoop.After(mSettings.mStartTime + mSettings.mDrainTime,
                            [this] { AbortAll(); });
  if (mSettings.mRate > 0) {
    ScheduleArrival();
    return;
  }
  for (std::uint64_t i = 0; i < mSettings.mConnections && MayStart(); ++i) {
    StartRequest();
  }
}

bool
LoadRunner::MayStart() const
{
  return !mIsStopped && mStarted < mSettings.mRequests;
}

void
LoadRunner::ScheduleArrival()
{
  if (!MayStart()) {
    CheckEnd();
    return;
  }
  // Arrival times do not depend on delays of the event loop.
  mNextArrival += mPlan.NextInterval();
  const Duration wait = std::max(Duration(0), mNextArrival - mClock.Now());
  mArrivalTimer = mLoop.After(wait, [this] {
    if (MayStart()) {
      StartRequest();
    }
    ScheduleArrival();
  });
}

void
LoadRunner::StartRequest()
{
  ++mStarted;
  LoadCall call = mPlan.NextCall();
  const std::uint64_t number = call.mNumber;
  auto request = std::make_unique<LoadRequest>(
    mContext,
    std::move(call),
    [this, number](const LoadCall& aCall, const LoadOutcome& aOutcome) {
      FinishRequest(number, aCall, aOutcome);
    });
  LoadRequest& started = *request;
  mRequests[number] = std::move(request);
  started.Start();
}

void
LoadRunner::FinishRequest(std::uint64_t aNumber,
                          const LoadCall& aCall,
                          const LoadOutcome& aOutcome)
{
  mLastEnd = mClock.Now();
  mResults.Add(aCall, aOutcome);
  // The request is still on the call stack, so it is destroyed in a later loop
  // iteration.
  std::shared_ptr<LoadRequest> finished = std::move(mRequests[aNumber]);
  mRequests.erase(aNumber);
  mLoop.Defer([finished] {});
  if (mSettings.mRate <= 0 && MayStart()) {
    StartRequest();
  }
  CheckEnd();
}

void
LoadRunner::AbortAll()
{
  mIsStopped = true;
  while (!mRequests.empty()) {
    mRequests.begin()->second->Abort();
  }
  CheckEnd();
}

void
LoadRunner::CheckEnd()
{
  if (MayStart() || !mRequests.empty() || mIsEnding) {
    return;
  }
  mIsEnding = true;
  mStopTimer = {};
  mDrainTimer = {};
  mSettleTimer = mLoop.After(mSettings.mSettleTime, [this] { ReadRuns(); });
}

void
LoadRunner::ReadRuns()
{
  mPendingReads = mSettings.mServices.size();
  for (const auto& it : mSettings.mServices) {
    HttpCallRequest request;
    request.mAddress = it;
    request.mTarget = "/runs";
    request.mMaxIdleTime = Duration::zero();
    HttpCallHooks hooks;
    hooks.mOnDone = [this](const HttpCallReply& aReply) { HandleRuns(aReply); };
    mRunCalls.push_back(mClient.Start(std::move(request), std::move(hooks)));
  }
  if (mPendingReads == 0) {
    mOnEnd();
  }
}

void
LoadRunner::HandleRuns(const HttpCallReply& aReply)
{
  const auto json = nlohmann::json::parse(aReply.mBody, nullptr, false);
  if (json.is_object() && json.contains("runs")) {
    for (const auto& [key, n] : json["runs"].items()) {
      mRuns[key] += n.get<std::uint64_t>();
    }
  } else {
    mResults.ReportUnreadService();
  }
  if (--mPendingReads == 0) {
    mResults.CheckBookings(mRuns);
    mOnEnd();
  }
}

} // namespace bulrushfold
