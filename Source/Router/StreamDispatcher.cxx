#include "Router/StreamDispatcher.h"

#include <utility>

namespace bulrushfold {

namespace {
/** Interval at which the memory of the engines is checked while streams run. */
constexpr Duration kMoveInterval = std::chrono::milliseconds(100);
/** Status messages of peers that arrive within this time are processed
 * together. */
constexpr Duration kPeerUpdateDelay = std::chrono::milliseconds(10);
} // namespace

StreamDispatcher::StreamDispatcher(EventLoop& aLoop,
                                   const Clock& aClock,
                                   StreamScheduler& aScheduler,
                                   const StreamRuns& aRuns,
                                   CachedPrompts& aCachedPrompts)
  : mLoop(aLoop)
  , mClock(aClock)
  , mScheduler(aScheduler)
  , mRuns(aRuns)
  , mCachedPrompts(aCachedPrompts)
  , mTimer(aLoop, aClock, [this] { Dispatch(); })
  , mMoveTimer(aLoop, aClock, [this] { Rebalance(); })
{
}

void
StreamDispatcher::Submit(StreamDemand aDemand, DispatchedStream& aStream)
{
  mStreams[aDemand.mNumber] = &aStream;
  mScheduler.Submit(std::move(aDemand));
  ScheduleDispatch();
}

void
StreamDispatcher::Adopt(const StreamRun& aRun, DispatchedStream& aStream)
{
  mStreams[aRun.mNumber] = &aStream;
  mScheduler.Adopt(aRun);
  mMoveTimer.WakeAt(mClock.Now() + kMoveInterval);
}

void
StreamDispatcher::OnRunAbandoned(std::uint64_t aNumber)
{
  if (const auto it = mRuns.Own().find(aNumber); it != mRuns.Own().end()) {
    const StreamRun& run = it->second;
    mCachedPrompts.OnInterrupted(
      { run.mPromptKey, run.mEndpoint, run.mPromptTokens, mClock.Now() });
  }
}

void
StreamDispatcher::Withdraw(std::uint64_t aNumber)
{
  mScheduler.Withdraw(aNumber);
}

void
StreamDispatcher::Unregister(std::uint64_t aNumber)
{
  mStreams.erase(aNumber);
}

DispatchedStream*
StreamDispatcher::Find(std::uint64_t aNumber) const
{
  const auto it = mStreams.find(aNumber);
  return it == mStreams.end() ? nullptr : it->second;
}

void
StreamDispatcher::OnMoved(std::uint64_t aNumber, const std::string& aEndpoint)
{
  mScheduler.OnMoved(aNumber, aEndpoint);
}

void
StreamDispatcher::OnPrefillEnded(std::uint64_t aNumber, Duration aDuration)
{
  mScheduler.OnPrefillEnded(aNumber, aDuration);
  ScheduleDispatch();
}

void
StreamDispatcher::OnDecodeStarted(std::uint64_t aNumber)
{
  mScheduler.OnDecodeStarted(aNumber, mClock.Now());
  mMoveTimer.WakeAt(mClock.Now() + kMoveInterval);
}

void
StreamDispatcher::OnProgress(const std::string&,
                             std::uint64_t aEvents,
                             std::uint32_t aTokensPerEvent,
                             Duration aDuration)
{
  mScheduler.OnProgress(aEvents, aTokensPerEvent, aDuration);
}

void
StreamDispatcher::OnDecodeEnded(std::uint64_t aNumber)
{
  mScheduler.OnDecodeEnded(aNumber, mClock.Now());
  ScheduleDispatch();
}

void
StreamDispatcher::OnReservationRefused(const std::string& aEndpoint,
                                       std::uint64_t aTokens)
{
  mScheduler.OnReservationRefused(aEndpoint, aTokens, mClock.Now());
}

void
StreamDispatcher::ScheduleDispatch()
{
  if (mScheduler.WaitingCount() > 0 &&
      !std::exchange(mIsDispatchScheduled, true)) {
    mLoop.Defer([this] {
      mIsDispatchScheduled = false;
      Dispatch();
    });
  }
}

void
StreamDispatcher::ScheduleDispatchAfterUpdate()
{
  if (mScheduler.WaitingCount() > 0 && !std::exchange(mIsUpdatePending, true)) {
    mUpdateTimer = mLoop.After(kPeerUpdateDelay, [this] {
      mIsUpdatePending = false;
      ScheduleDispatch();
    });
  }
}

void
StreamDispatcher::Dispatch()
{
  const Instant now = mClock.Now();
  for (const auto number : mScheduler.RemoveExpired(now)) {
    if (DispatchedStream* stream = Find(number); stream != nullptr) {
      stream->HandlePlacement(nullptr);
    }
  }
  for (const auto& it : mScheduler.RemoveUnservable(now)) {
    if (DispatchedStream* stream = Find(it.mNumber); stream != nullptr) {
      stream->HandleUnservable(it.mRetryAfter);
    }
  }
  for (const auto& it : mScheduler.Dispatch(now)) {
    if (DispatchedStream* stream = Find(it.mNumber); stream != nullptr) {
      stream->HandlePlacement(&it);
    } else {
      // The callback of an earlier placement of this loop ended this stream.
      mScheduler.OnPrefillEnded(it.mNumber, Duration::zero());
      mScheduler.OnDecodeEnded(it.mNumber, now);
    }
  }
  if (const auto next = mScheduler.NextWake(now); next) {
    mTimer.WakeAt(*next);
  }
}

void
StreamDispatcher::Rebalance()
{
  const Instant now = mClock.Now();
  for (const auto& it : mScheduler.Rebalance(now)) {
    if (DispatchedStream* stream = Find(it.mNumber); stream != nullptr) {
      stream->HandleMove(it.mTarget);
    }
  }
  if (mScheduler.RunningCount() > 0) {
    mMoveTimer.WakeAt(now + kMoveInterval);
  }
}

} // namespace bulrushfold
