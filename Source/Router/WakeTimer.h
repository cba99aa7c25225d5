#ifndef BULRUSHFOLD_ROUTER_WAKETIMER_H
#define BULRUSHFOLD_ROUTER_WAKETIMER_H

#include <functional>
#include <optional>

#include "Base/Clock.h"
#include "Net/EventLoop.h"

namespace bulrushfold {

/**
 * One-shot timer whose time is often changed. Changing it to a later time does
 * not cancel the timer of the event loop: that one fires at the earlier time
 * and is then set again.
 */
class WakeTimer
{
public:
  WakeTimer(EventLoop& aLoop,
            const Clock& aClock,
            std::function<void()> aCallback);

  void WakeAt(Instant aTime);
  void Cancel();

private:
  void StartTimer(Instant aTime);
  void HandleTimer();

  EventLoop& mLoop;
  const Clock& mClock;
  std::function<void()> mCallback;
  std::optional<Instant> mWakeTime;
  std::optional<Instant> mTimerTime;
  EventHandle mTimer;
};

} // namespace bulrushfold

#endif
