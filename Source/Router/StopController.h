#ifndef BULRUSHFOLD_ROUTER_STOPCONTROLLER_H
#define BULRUSHFOLD_ROUTER_STOPCONTROLLER_H

#include <functional>
#include <optional>

#include "Base/Clock.h"
#include "Net/EventLoop.h"
#include "Routing/RoutingConfig.h"

namespace bulrushfold {

/** Requests and connections that a planned stop waits for. */
struct OpenWork
{
  std::size_t mRequests = 0;
  std::size_t mConnections = 0;
};

/**
 * A planned stop: the daemon is not ready any more, still serves what comes
 * until the balancer has noticed, lets open requests finish, and ends before
 * the process would be killed.
 */
class StopController
{
public:
  struct Hooks
  {
    std::function<OpenWork()> mOpenWork;
    /** The stop begins: announce the end on kept connections. */
    std::function<void()> mOnBegin;
    /** Nothing is left to do, or the time is over. */
    std::function<void()> mOnEnd;
  };

  StopController(EventLoop& aLoop,
                 const Clock& aClock,
                 Duration aStopTime,
                 Hooks aHooks);

  void Begin();
  bool IsStopping() const { return mBegunAt.has_value(); }
  /** A request of this kind that begins now may be cut by the end of the
   * process. */
  bool Refuses(RequestKind aKind) const;

private:
  void Check();

  EventLoop& mLoop;
  const Clock& mClock;
  Duration mStopTimeout;
  Hooks mHooks;
  std::optional<Instant> mBegunAt;
  EventHandle mTimer;
};

} // namespace bulrushfold

#endif
