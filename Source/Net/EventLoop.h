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

/** Converts aSpan to the time type of libevent. */
timeval ToTimeval(Duration aSpan);

/** Owns a timer or a signal handler; destroying the handle cancels it. */
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

/** Event loop on libevent; a program has one. All callbacks run on the thread
 * that calls Run. */
class EventLoop
{
public:
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  /** Runs until Stop is called. */
  void Run();
  /** Makes Run return after the event that is being handled; other events that
   * are due are not handled. */
  void Stop();

  /** Calls aCallback once after aDelay. */
  EventHandle After(Duration aDelay, std::function<void()> aCallback);
  /** Calls aCallback every aInterval; the first call is after one aInterval. */
  EventHandle Every(Duration aInterval, std::function<void()> aCallback);
  /** Calls aCallback each time the process receives signal number aSignal. */
  EventHandle OnSignal(int aSignal, std::function<void()> aCallback);
  /** Calls aCallback once, in a later iteration of the loop. */
  void Defer(std::function<void()> aCallback);

  event_base* Base() const { return mBase; }

private:
  void RunDeferred();

  event_base* mBase;
  event* mDeferredEvent;
  /** Callbacks for the next iteration. The destructor of the loop discards
   * them without running them. */
  std::vector<std::function<void()>> mDeferred;
};

} // namespace bulrushfold

#endif
