#ifndef BULRUSHFOLD_SOAK_VIRTUALTIMEQUEUE_H
#define BULRUSHFOLD_SOAK_VIRTUALTIMEQUEUE_H

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "Base/Clock.h"

namespace bulrushfold {

/** Events in virtual time. Running them moves the clock. */
class VirtualTimeQueue
{
public:
  explicit VirtualTimeQueue(ManualClock& aClock)
    : mClock(aClock)
  {
  }

  /** Runs aEvent after aDelay; equal times run in the order of their calls. */
  void After(Duration aDelay, std::function<void()> aEvent)
  {
    mEvents.emplace(std::make_pair(mClock.Now() + aDelay, mNext++),
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
  std::uint64_t mNext = 0;
  std::map<std::pair<Instant, std::uint64_t>, std::function<void()>> mEvents;
};

} // namespace bulrushfold

#endif
