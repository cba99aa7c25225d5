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
  /** aPlacement: null when the stream expired in the queue. */
  virtual void HandlePlacement(const StreamPlacement* aPlacement) = 0;
  /** No engine will accept the stream in time. aRetryAfter: time until one
   * accepts streams again; zero when it is unknown. */
  virtual void HandleUnservable(Duration aRetryAfter) = 0;
  /** The scheduler proposes to move the run to aTarget. */
  virtual void HandleMove(const std::string& aTarget) = 0;
};

/** Runs the stream scheduler on the event loop. */
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
  /** Queues aStream, which must stay valid until Unregister is called. */
  void Submit(StreamDemand aDemand, DispatchedStream& aStream);
  void Withdraw(std::uint64_t aNumber);
  void Unregister(std::uint64_t aNumber);
  void OnPrefillEnded(std::uint64_t aNumber, Duration aDuration);
  void OnDecodeStarted(std::uint64_t aNumber);
  void OnDecodeEnded(std::uint64_t aNumber);
  void OnMoved(std::uint64_t aNumber, const std::string& aEndpoint);
  void OnProgress(std::uint64_t aEvents,
                  std::uint32_t aTokensPerEvent,
                  Duration aDuration);
  void OnReservationRefused(const std::string& aEndpoint,
                            std::uint64_t aTokens);
  /** Places waiting streams in a later iteration of the event loop. To be
   * called after a change that may have freed capacity. */
  void ScheduleDispatch();
  /** Places waiting streams after a short delay. To be called after a status
   * message of a peer. */
  void ScheduleDispatchAfterUpdate();
  std::size_t WaitingCount() const { return mScheduler.WaitingCount(); }

private:
  void Dispatch();
  void Rebalance();
  DispatchedStream* Find(std::uint64_t aNumber) const;

  EventLoop& mLoop;
  const Clock& mClock;
  StreamScheduler& mScheduler;
  std::map<std::uint64_t, DispatchedStream*> mStreams;
  WakeTimer mTimer;
  WakeTimer mMoveTimer;
  bool mIsDispatchScheduled = false;
  bool mIsUpdatePending = false;
  EventHandle mUpdateTimer;
};

} // namespace bulrushfold

#endif
