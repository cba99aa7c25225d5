#ifndef BULRUSHFOLD_ROUTER_STREAMDISPATCHER_H
#define BULRUSHFOLD_ROUTER_STREAMDISPATCHER_H

#include <cstdint>
#include <map>
#include <string>

#include "Router/StreamPlacer.h"
#include "Router/WakeTimer.h"
#include "Routing/StreamScheduler.h"

namespace bulrushfold {

/** Runs the stream scheduler on the event loop. */
class StreamDispatcher : public StreamPlacer
{
public:
  StreamDispatcher(EventLoop& aLoop,
                   const Clock& aClock,
                   StreamScheduler& aScheduler,
                   const StreamRuns& aRuns,
                   CachedPrompts& aCachedPrompts);

  bool Admits(const StreamDemand& aDemand) override
  {
    return mScheduler.Admits(aDemand, mClock.Now());
  }
  void Submit(StreamDemand aDemand, DispatchedStream& aStream) override;
  void Adopt(const StreamRun& aRun, DispatchedStream& aStream) override;
  void Withdraw(std::uint64_t aNumber) override;
  void Unregister(std::uint64_t aNumber) override;
  void OnPrefillEnded(std::uint64_t aNumber, Duration aDuration) override;
  void OnDecodeStarted(std::uint64_t aNumber) override;
  void OnDecodeEnded(std::uint64_t aNumber) override;
  void OnRunAbandoned(std::uint64_t aNumber) override;
  void OnMoved(std::uint64_t aNumber, const std::string& aEndpoint) override;
  void OnProgress(const std::string& aService,
                  std::uint64_t aEvents,
                  std::uint32_t aTokensPerEvent,
                  Duration aDuration) override;
  void OnReservationRefused(const std::string& aEndpoint,
                            std::uint64_t aTokens) override;
  void OnInterrupted(const CachedPrompt& aPrompt) override
  {
    mCachedPrompts.OnInterrupted(aPrompt);
  }
  /** Places waiting streams in a later iteration of the event loop. To be
   * called after a change that may have freed capacity. */
  void ScheduleDispatch();
  /** Places waiting streams after a short delay. To be called after a status
   * message of a peer. */
  void ScheduleDispatchAfterUpdate();
  std::size_t WaitingCount() const override
  {
    return mScheduler.WaitingCount();
  }

private:
  void Dispatch();
  void Rebalance();
  DispatchedStream* Find(std::uint64_t aNumber) const;

  EventLoop& mLoop;
  const Clock& mClock;
  StreamScheduler& mScheduler;
  const StreamRuns& mRuns;
  CachedPrompts& mCachedPrompts;
  std::map<std::uint64_t, DispatchedStream*> mStreams;
  WakeTimer mTimer;
  WakeTimer mMoveTimer;
  bool mIsDispatchScheduled = false;
  bool mIsUpdatePending = false;
  EventHandle mUpdateTimer;
};

} // namespace bulrushfold

#endif
