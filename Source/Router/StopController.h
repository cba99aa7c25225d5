#ifndef BULRUSHFOLD_ROUTER_STOPCONTROLLER_H
#define BULRUSHFOLD_ROUTER_STOPCONTROLLER_H

#include <functional>
#include <optional>

#include "Base/Clock.h"
#include "Net/EventLoop.h"
#include "Routing/RoutingConfig.h"

namespace bulrushfold {

/** What a graceful shutdown still has to finish. */
struct OpenWork
{
  std::size_t mRequests = 0;
  std::size_t mConnections = 0;
  /** Connections that receive a request or send an answer. */
  std::size_t mBusyConnections = 0;
  /** Answer bytes that are not yet written to the sockets. */
  std::size_t mUnsentBytes = 0;
};

/**
 * Performs a graceful shutdown. The daemon reports that it is not ready, still
 * serves new requests until the load balancer has noticed, lets open requests
 * finish, and ends before the process would be killed.
 */
class StopController
{
public:
  struct Hooks
  {
    std::function<OpenWork()> mOpenWork;
    /** The stop begins; announces it on persistent connections. */
    std::function<void()> mOnBegin;
    /** No open request is left, or the stop time is nearly over; closes the
     * connections. */
    std::function<void()> mOnEnd;
    /** The answers are sent, or the stop time is over; ends the process. */
    std::function<void()> mOnClosed;
  };

  StopController(EventLoop& aLoop,
                 const Clock& aClock,
                 Duration aStopTime,
                 Hooks aHooks);

  void Begin();
  bool IsStopping() const { return mBegunAt.has_value(); }
  /** True when the process may end before a request that starts now has
   * finished. aDeadline: time at which the request is answered at the latest.
   */
  bool Refuses(RequestKind aKind, Instant aDeadline) const;

private:
  /** Ends the stop when nothing is left to do. */
  void Check();
  /** Ends the process when the last answers are sent. */
  void CheckSent();

  EventLoop& mLoop;
  const Clock& mClock;
  Duration mStopTimeout;
  Hooks mHooks;
  std::optional<Instant> mBegunAt;
  std::optional<Instant> mEndedAt;
  EventHandle mTimer;
};

} // namespace bulrushfold

#endif
