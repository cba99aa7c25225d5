#ifndef BULRUSHFOLD_ROUTER_PLAINPLACER_H
#define BULRUSHFOLD_ROUTER_PLAINPLACER_H

#include <cstdint>
#include <functional>
#include <map>

#include "Base/Clock.h"
#include "Routing/PlainQueue.h"

namespace bulrushfold {

/** Answers the demands of a PlainQueue to those who made them. */
class PlainPlacer
{
public:
  using Hook = std::function<void(const PlainGrant&)>;

  /** aWakeAt: schedules Dispatch. */
  PlainPlacer(const Clock& aClock,
              PlainQueue& aQueue,
              std::function<void(Instant)> aWakeAt);

  /** aHook is called once, at once or later. It counts the granted request at
   * its endpoint before it returns. */
  void Request(const PlainDemand& aDemand, Hook aHook);
  void Withdraw(std::uint64_t aNumber);
  /** To be called when a request has ended, and at the scheduled time. */
  void Dispatch();
  PlainQueue& Queue() { return mQueue; }

private:
  const Clock& mClock;
  PlainQueue& mQueue;
  std::function<void(Instant)> mWakeAt;
  std::map<std::uint64_t, Hook> mHooks;
};

} // namespace bulrushfold

#endif
