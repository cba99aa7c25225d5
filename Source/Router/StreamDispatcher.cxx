#include "Router/StreamDispatcher.h"

#include <utility>

namespace bulrushfold {

namespace {
/** Interval at which the engines' memory is looked at while streams run. */
constexpr Duration kMoveInterval = std::chrono::milliseconds(100);
/** Peers' news that arrive within this time are looked at together. */
constexpr Duration kNewsDelay = std::chrono::milliseconds(10);
} // namespace

StreamDispatcher::StreamDispatcher(EventLoop& aLoop,
                                   const Clock& aClock,
                                   StreamScheduler& aScheduler)
  : mLoop(aLoop)
  , mClock(aClock)
  , mScheduler(aScheduler)
  , mTimer(aLoop, aClock, [this] { Run(); })
  , mMoveTimer(aLoop, aClock, [this] { RunMoves(); })
{
}

void
StreamDispatcher::Submit(StreamDemand aDemand, DispatchedStream& aStream)
{
  mKnown[aDemand.mNumber] = &aStream;
  mScheduler.Submit(std::move(aDemand));
  Kick();
}

void
StreamDispatcher::Withdraw(std::uint64_t aNumber)
{
  mScheduler.Withdraw(aNumber);
}

void
StreamDispatcher::Forget(std::uint64_t aNumber)
{
  mKnown.erase(aNumber);
}

DispatchedStream*
StreamDispatcher::Find(std::uint64_t aNumber) const
{
  const auto it = mKnown.find(aNumber);
  return it == mKnown.end() ? nullptr : it->second;
}

void
StreamDispatcher::OnMoved(std::uint64_t aNumber, const std::string& aEndpoint)
{
  mScheduler.OnMoved(aNumber, aEndpoint);
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
  mMoveTimer.WakeAt(mClock.Now() + kMoveInterval);
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
  mScheduler.OnDecodeEnded(aNumber, mClock.Now());
  Kick();
}

void
StreamDispatcher::OnReservationRefused(const std::string& aEndpoint,
                                       std::uint64_t aTokens)
{
  mScheduler.OnReservationRefused(aEndpoint, aTokens, mClock.Now());
}

void
StreamDispatcher::Kick()
{
  if (mScheduler.WaitingCount() > 0 && !std::exchange(mIsKicked, true)) {
    mLoop.Defer([this] {
      mIsKicked = false;
      Run();
    });
  }
}

void
StreamDispatcher::KickSoon()
{
  if (mScheduler.WaitingCount() > 0 && !std::exchange(mHasNews, true)) {
    mNewsTimer = mLoop.After(kNewsDelay, [this] {
      mHasNews = false;
      Kick();
    });
  }
}

void
StreamDispatcher::Run()
{
  const Instant now = mClock.Now();
  for (const auto number : mScheduler.RemoveExpired(now)) {
    if (DispatchedStream* stream = Find(number); stream != nullptr) {
      stream->HandlePlacement(nullptr);
    }
  }
  for (const auto& it : mScheduler.Dispatch(now)) {
    if (DispatchedStream* stream = Find(it.mNumber); stream != nullptr) {
      stream->HandlePlacement(&it);
    } else {
      // An earlier stream of this run ended this one.
      mScheduler.OnPrefillEnded(it.mNumber, Duration::zero());
      mScheduler.OnDecodeEnded(it.mNumber, now);
    }
  }
  if (const auto next = mScheduler.NextWake(now); next) {
    mTimer.WakeAt(*next);
  }
}

void
StreamDispatcher::RunMoves()
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
