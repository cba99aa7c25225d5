#include "Router/StreamDispatcher.h"

#include <utility>

namespace bulrushfold {

StreamDispatcher::StreamDispatcher(EventLoop& aLoop,
                                   const Clock& aClock,
                                   StreamScheduler& aScheduler)
  : mLoop(aLoop)
  , mClock(aClock)
  , mScheduler(aScheduler)
  , mTimer(aLoop, aClock, [this] { Run(); })
{
}

void
StreamDispatcher::Submit(StreamDemand aDemand, PlacementHook aHook)
{
  mHooks[aDemand.mNumber] = std::move(aHook);
  mScheduler.Submit(std::move(aDemand));
  Kick();
}

void
StreamDispatcher::Withdraw(std::uint64_t aNumber)
{
  mScheduler.Withdraw(aNumber);
  mHooks.erase(aNumber);
}

void
StreamDispatcher::OnPrefillEnded(std::uint64_t aNumber, Duration aTook)
{
  mScheduler.OnPrefillEnded(aNumber, aTook);
  Kick();
}

void
StreamDispatcher::OnDecodeStarted(std::uint64_t aNumber)
{
  mScheduler.OnDecodeStarted(aNumber, mClock.Now());
}

void
StreamDispatcher::OnProgress(std::uint64_t aEvents,
                             std::uint32_t aTokensPerEvent,
                             Duration aTook)
{
  mScheduler.OnProgress(aEvents, aTokensPerEvent, aTook);
}

void
StreamDispatcher::OnDecodeEnded(std::uint64_t aNumber)
{
  mScheduler.OnDecodeEnded(aNumber);
  Kick();
}

void
StreamDispatcher::OnDecodeFull(const std::string& aEndpoint)
{
  mScheduler.OnDecodeFull(aEndpoint, mClock.Now());
}

void
StreamDispatcher::Kick()
{
  if (mScheduler.Waiting() > 0 && !std::exchange(mIsKicked, true)) {
    mLoop.Defer([this] {
      mIsKicked = false;
      Run();
    });
  }
}

void
StreamDispatcher::Run()
{
  const Instant now = mClock.Now();
  for (const auto number : mScheduler.TakeExpired(now)) {
    // An earlier hook of this run may have withdrawn the stream.
    if (const auto hook = mHooks.extract(number); !hook.empty()) {
      hook.mapped()(nullptr);
    }
  }
  for (const auto& it : mScheduler.Dispatch(now)) {
    const auto hook = mHooks.extract(it.mNumber);
    if (hook.empty()) {
      // An earlier hook of this run withdrew the stream.
      mScheduler.OnPrefillEnded(it.mNumber, Duration::zero());
      mScheduler.OnDecodeEnded(it.mNumber);
    } else {
      hook.mapped()(&it);
    }
  }
  if (const auto next = mScheduler.NextWake(now); next) {
    mTimer.WakeAt(*next);
  }
}

} // namespace bulrushfold
