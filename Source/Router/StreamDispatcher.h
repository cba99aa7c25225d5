#ifndef BULRUSHFOLD_ROUTER_STREAMDISPATCHER_H
#define BULRUSHFOLD_ROUTER_STREAMDISPATCHER_H

#include <cstdint>
#include <functional>
#include <map>

#include "Router/WakeTimer.h"
#include "Routing/StreamScheduler.h"

namespace bulrushfold {

/** Called with the placement, or with null when the stream was given up. */
using PlacementHook = std::function<void(const StreamPlacement*)>;

/** Controller that runs the scheduler of streams on the event loop. */
class StreamDispatcher
{
public:
  StreamDispatcher(EventLoop& aLoop,
                   const Clock& aClock,
                   StreamScheduler& aScheduler);

  void Submit(StreamDemand aDemand, PlacementHook aHook);
  void Withdraw(std::uint64_t aNumber);
  void OnPrefillEnded(std::uint64_t aNumber, Duration aTook);
  void OnDecodeStarted(std::uint64_t aNumber);
  void OnDecodeEnded(std::uint64_t aNumber);
  void OnProgress(std::uint64_t aEvents,
                  std::uint32_t aTokensPerEvent,
                  Duration aTook);
  void OnDecodeFull(const std::string& aEndpoint);
  /** Something may have made room: places what can be placed, in a later
   * turn of the loop. */
  void Kick();
  std::size_t Waiting() const { return mScheduler.Waiting(); }

private:
  void Run();

  EventLoop& mLoop;
  const Clock& mClock;
  StreamScheduler& mScheduler;
  std::map<std::uint64_t, PlacementHook> mHooks;
  WakeTimer mTimer;
  bool mIsKicked = false;
};

} // namespace bulrushfold

#endif
