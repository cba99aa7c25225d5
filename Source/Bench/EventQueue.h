#ifndef BULRUSHFOLD_BENCH_EVENTQUEUE_H
#define BULRUSHFOLD_BENCH_EVENTQUEUE_H

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "Base/Clock.h"

namespace bulrushfold {

/** Virtual clock with a list of things to do; equal times run in order. */
class EventQueue
{
public:
  using Hook = std::function<void()>;

  Instant Now() const { return mNow; }
  void After(Duration aDelay, Hook aHook)
  {
    mEvents.push({ mNow + aDelay, mNext++, std::move(aHook) });
  }
  /** Runs all events up to aEnd. */
  void RunUntil(Instant aEnd)
  {
    while (!mEvents.empty() && mEvents.top().mAt <= aEnd) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      event.mHook();
    }
    mNow = aEnd;
  }

private:
  struct Event
  {
    Instant mAt;
    std::uint64_t mOrder = 0;
    Hook mHook;
    bool operator<(const Event& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mOrder > aOther.mOrder;
    }
  };

  Instant mNow{ std::chrono::hours(1) };
  std::uint64_t mNext = 0;
  std::priority_queue<Event> mEvents;
};

} // namespace bulrushfold

#endif
