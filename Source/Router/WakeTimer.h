#ifndef BULRUSHFOLD_ROUTER_WAKETIMER_H
#define BULRUSHFOLD_ROUTER_WAKETIMER_H

#include <functional>
#include <optional>

#include "Base/Clock.h"
#include "Net/EventLoop.h"

namespace bulrushfold {

/**
 * A single wake-up that is often moved. Moving it to a later time costs
 * nothing: the timer that is armed fires and is armed again.
 */
class WakeTimer
{
public:
  WakeTimer(EventLoop& aLoop, const Clock& aClock, std::function<void()> aHook);

  void WakeAt(Instant aTime);
  void Cancel();

private:
  void Arm(Instant aTime);
  void HandleTimer();

  EventLoop& mLoop;
  const Clock& mClock;
  std::function<void()> mHook;
  std::optional<Instant> mWanted;
  std::optional<Instant> mArmed;
  EventHandle mTimer;
};

} // namespace bulrushfold

#endif
