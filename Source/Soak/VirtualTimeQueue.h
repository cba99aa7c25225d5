#ifndef BULRUSHFOLD_SOAK_VIRTUALTIMEQUEUE_H
#define BULRUSHFOLD_SOAK_VIRTUALTIMEQUEUE_H

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "Base/Clock.h"

namespace bulrushfold {

/** Runs events in virtual time and advances the clock to each event's time. */
class VirtualTimeQueue
{
public:
  explicit VirtualTimeQueue(ManualClock& aClock)
    : mClock(aClock)
  {
  }

  /** Schedules aEvent after aDelay. Events of the same time run in the order in
   * which they were scheduled. */
  void After(Duration aDelay, std::function<void()> aEvent)
  {
    mEvents.emplace(std::make_pair(mClock.Now() + aDelay, mNextSequence++),
                    std::move(aEvent));
  }

  /** Runs the next event; false when there is none. */
  bool RunNext()
  {
    if (mEvents.empty()) {
      return false;
    }
    auto node = mEvents.extract(mEvents.begin());
    mClock.Advance(node.key().first - mClock.Now());
    node.mapped()();
    return true;
  }

private:
  ManualClock& mClock;
  std::uint64_t mNextSequence = 0;
  std::map<std::pair<Instant, std::uint64_t>, std::function<void()>> mEvents;
};

} // namespace bulrushfold

#endif
