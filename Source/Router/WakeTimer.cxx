#include "Router/WakeTimer.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

WakeTimer::WakeTimer(EventLoop& aLoop,
                     const Clock& aClock,
                     std::function<void()> aHook)
  : mLoop(aLoop)
  , mClock(aClock)
  , mHook(std::move(aHook))
{
}

void
WakeTimer::WakeAt(Instant aTime)
{
  mWanted = aTime;
  if (!mArmed || aTime < *mArmed) {
    Arm(aTime);
  }
}

void
WakeTimer::Cancel()
{
  mWanted.reset();
  mArmed.reset();
  mTimer = EventHandle();
}

void
WakeTimer::Arm(Instant aTime)
{
  mArmed = aTime;
  mTimer = mLoop.After(std::max(aTime - mClock.Now(), Duration::zero()),
                       [this] { HandleTimer(); });
}

void
WakeTimer::HandleTimer()
{
  mArmed.reset();
  if (!mWanted) {
    return;
  }
  if (mClock.Now() < *mWanted) {
    Arm(*mWanted);
    return;
  }
  mWanted.reset();
  mHook();
}

} // namespace bulrushfold
