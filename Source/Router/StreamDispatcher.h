#ifndef BULRUSHFOLD_ROUTER_STREAMDISPATCHER_H
#define BULRUSHFOLD_ROUTER_STREAMDISPATCHER_H

#include <cstdint>
#include <map>
#include <string>

#include "Router/WakeTimer.h"
#include "Routing/StreamScheduler.h"

namespace bulrushfold {

/** A stream that the dispatcher places and moves. */
class DispatchedStream
{
public:
  virtual ~DispatchedStream() = default;
  /** aPlacement: null when the stream was given up. */
  virtual void HandlePlacement(const StreamPlacement* aPlacement) = 0;
  /** The run should go on at aTarget. */
  virtual void HandleMove(const std::string& aTarget) = 0;
};

/** Controller that runs the scheduler of streams on the event loop. */
class StreamDispatcher
{
public:
  StreamDispatcher(EventLoop& aLoop,
                   const Clock& aClock,
                   StreamScheduler& aScheduler);

  bool Admits(const StreamDemand& aDemand)
  {
    return mScheduler.Admits(aDemand, mClock.Now());
  }
  /** aStream stays known until Forget. */
  void Submit(StreamDemand aDemand, DispatchedStream& aStream);
  void Withdraw(std::uint64_t aNumber);
  void Forget(std::uint64_t aNumber);
  void OnPrefillEnded(std::uint64_t aNumber, Duration aTook);
  void OnDecodeStarted(std::uint64_t aNumber);
  void OnDecodeEnded(std::uint64_t aNumber);
  void OnMoved(std::uint64_t aNumber, const std::string& aEndpoint);
  void OnProgress(std::uint64_t aEvents,
                  std::uint32_t aTokensPerEvent,
                  Duration aTook);
  void OnReservationRefused(const std::string& aEndpoint,
                            std::uint64_t aTokens);
  /** Something may have made room: places what can be placed, in a later
   * turn of the loop. */
  void Kick();
  /** Something was learned from a peer. */
  void KickSoon();
  std::size_t WaitingCount() const { return mScheduler.WaitingCount(); }

private:
  void Run();
  void RunMoves();
  DispatchedStream* Find(std::uint64_t aNumber) const;

  EventLoop& mLoop;
  const Clock& mClock;
  StreamScheduler& mScheduler;
  std::map<std::uint64_t, DispatchedStream*> mKnown;
  WakeTimer mTimer;
  WakeTimer mMoveTimer;
  bool mIsKicked = false;
  bool mHasNews = false;
  EventHandle mNewsTimer;
};

} // namespace bulrushfold

#endif
