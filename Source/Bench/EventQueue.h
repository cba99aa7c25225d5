#ifndef BULRUSHFOLD_BENCH_EVENTQUEUE_H
#define BULRUSHFOLD_BENCH_EVENTQUEUE_H

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "Base/Clock.h"

namespace bulrushfold {

/** Virtual clock with scheduled events. Events of the same time run in the
 * order in which they were added. */
class EventQueue
{
public:
  using Hook = std::function<void()>;

  Instant Now() const { return mNow; }
  void After(Duration aDelay, Hook aHook)
  {
    mEvents.push({ mNow + aDelay, mNextSequence++, std::move(aHook) });
  }
  /** Runs all events up to aEnd and sets the clock to aEnd. */
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
    std::uint64_t mSequence = 0;
    Hook mHook;
    bool operator<(const Event& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt
                               : mSequence > aOther.mSequence;
    }
  };

  Instant mNow{ std::chrono::hours(1) };
  std::uint64_t mNextSequence = 0;
  std::priority_queue<Event> mEvents;
};

} // namespace bulrushfold

#endif
