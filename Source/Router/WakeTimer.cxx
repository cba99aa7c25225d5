#include "Router/WakeTimer.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

WakeTimer::WakeTimer(EventLoop& aLoop,
                     const Clock& aClock,
                     std::function<void()> aCallback)
  : mLoop(aLoop)
  , mClock(aClock)
  , mCallback(std::move(aCallback))
{
}

void
WakeTimer::WakeAt(Instant aTime)
{
  mWakeTime = aTime;
  if (!mTimerTime || aTime < *mTimerTime) {
    StartTimer(aTime);
  }
}

void
WakeTimer::Cancel()
{
  mWakeTime.reset();
  mTimerTime.reset();
  mTimer = EventHandle();
}

void
WakeTimer::StartTimer(Instant aTime)
{
  mTimerTime = aTime;
  mTimer = mLoop.After(std::max(aTime - mClock.Now(), Duration::zero()),
                       [this] { HandleTimer(); });
}

void
WakeTimer::HandleTimer()
{
  mTimerTime.reset();
  if (!mWakeTime) {
    return;
  }
  if (mClock.Now() < *mWakeTime) {
    StartTimer(*mWakeTime);
    return;
  }
  mWakeTime.reset();
  mCallback();
}

} // namespace bulrushfold
