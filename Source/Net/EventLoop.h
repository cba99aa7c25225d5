#ifndef BULRUSHFOLD_NET_EVENTLOOP_H
#define BULRUSHFOLD_NET_EVENTLOOP_H

#include <functional>
#include <memory>
#include <vector>

#include "Base/Clock.h"

struct event;
struct event_base;
struct timeval;

namespace bulrushfold {

/** aSpan in the form that the event library takes. */
timeval ToTimeval(Duration aSpan);

/** A timer or signal subscription; destroying it ends the subscription. */
class EventHandle
{
public:
  EventHandle();
  EventHandle(EventHandle&&) noexcept;
  EventHandle& operator=(EventHandle&&) noexcept;
  ~EventHandle();

private:
  friend class EventLoop;
  struct State;
  explicit EventHandle(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

/** The one event loop of a program. All callbacks run on its thread. */
class EventLoop
{
public:
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  /** Runs until Stop is called. */
  void Run();
  /** Ends Run after the callbacks that are already due. */
  void Stop();

  /** Calls aCallback once after aDelay. */
  EventHandle After(Duration aDelay, std::function<void()> aCallback);
  /** Calls aCallback every aInterval, first after one aInterval. */
  EventHandle Every(Duration aInterval, std::function<void()> aCallback);
  /** Calls aCallback on each signal of number aSignal. */
  EventHandle OnSignal(int aSignal, std::function<void()> aCallback);
  /** Calls aCallback once, in a later turn of the loop. */
  void Defer(std::function<void()> aCallback);

  event_base* Base() const { return mBase; }

private:
  void RunDeferred();

  event_base* mBase;
  event* mDeferredEvent;
  /** Callbacks for the next turn; destroyed unrun with the loop. */
  std::vector<std::function<void()>> mDeferred;
};

} // namespace bulrushfold

#endif
