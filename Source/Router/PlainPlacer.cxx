#include "Router/PlainPlacer.h"

#include <utility>

namespace bulrushfold {

PlainPlacer::PlainPlacer(const Clock& aClock,
                         PlainQueue& aQueue,
                         std::function<void(Instant)> aWakeAt)
  : mClock(aClock)
  , mQueue(aQueue)
  , mWakeAt(std::move(aWakeAt))
{
}

void
PlainPlacer::Request(const PlainDemand& aDemand, Hook aHook)
{
  if (const auto grant = mQueue.Submit(aDemand, mClock.Now()); grant) {
    aHook(*grant);
    return;
  }
  mHooks[aDemand.mNumber] = std::move(aHook);
  mWakeAt(*mQueue.NextWake());
}

void
PlainPlacer::Withdraw(std::uint64_t aNumber)
{
  if (mHooks.erase(aNumber) > 0) {
    mQueue.Withdraw(aNumber);
  }
}

void
PlainPlacer::Dispatch()
{
  mQueue.Dispatch(mClock.Now(), [this](const PlainGrant& aGrant) {
    if (const auto hook = mHooks.extract(aGrant.mNumber); !hook.empty()) {
      hook.mapped()(aGrant);
    }
  });
  if (const auto next = mQueue.NextWake(); next) {
    mWakeAt(*next);
  }
}

} // namespace bulrushfold
