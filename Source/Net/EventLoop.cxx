#include "Net/EventLoop.h"

#include <utility>

#include <event2/event.h>

namespace bulrushfold {

namespace {
constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
} // namespace

timeval
ToTimeval(Duration aSpan)
{
  timeval tv{};
  tv.tv_sec = aSpan.count() / kMicrosecondsPerSecond;
  tv.tv_usec = aSpan.count() % kMicrosecondsPerSecond;
  return tv;
}

struct EventHandle::State
{
  ~State()
  {
    if (mEvent != nullptr) {
      event_free(mEvent);
    }
  }

  event* mEvent = nullptr;
  std::function<void()> mCallback;
};

EventHandle::EventHandle() = default;
EventHandle::EventHandle(EventHandle&&) noexcept = default;
EventHandle& EventHandle::operator=(EventHandle&&) noexcept = default;
EventHandle::~EventHandle() = default;

EventHandle::EventHandle(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

EventLoop::EventLoop()
  : mBase(event_base_new())
  , mDeferredEvent(event_new(
      mBase,
      -1,
      0,
      [](evutil_socket_t, short, void* aSelf) {
        static_cast<EventLoop*>(aSelf)->RunDeferred();
      },
      this))
{
}

EventLoop::~EventLoop()
{
  // Deferred callbacks may own events, which must be freed before the base.
  mDeferred.clear();
  event_free(mDeferredEvent);
  event_base_free(mBase);
}

void
EventLoop::Run()
{
  event_base_loop(mBase, EVLOOP_NO_EXIT_ON_EMPTY);
}

void
EventLoop::Stop()
{
  event_base_loopbreak(mBase);
}

namespace {
void
RunCallback(evutil_socket_t, short, void* aArgument)
{
  // The callback may destroy the EventHandle that owns it, so a copy runs.
  const auto callback = *static_cast<std::function<void()>*>(aArgument);
  callback();
}
} // namespace

EventHandle
EventLoop::After(Duration aDelay, std::function<void()> aCallback)
{
  auto state = std::make_unique<EventHandle::State>();
  state->mCallback = std::move(aCallback);
  state->mEvent = event_new(mBase, -1, 0, RunCallback, &state->mCallback);
  const timeval tv = ToTimeval(aDelay);
  event_add(state->mEvent, &tv);
  return EventHandle(std::move(state));
}

EventHandle
EventLoop::Every(Duration aInterval, std::function<void()> aCallback)
{
  auto state = std::make_unique<EventHandle::State>();
  state->mCallback = std::move(aCallback);
  state->mEvent =
    event_new(mBase, -1, EV_PERSIST, RunCallback, &state->mCallback);
  const timeval tv = ToTimeval(aInterval);
  event_add(state->mEvent, &tv);
  return EventHandle(std::move(state));
}

EventHandle
EventLoop::OnSignal(int aSignal, std::function<void()> aCallback)
{
  auto state = std::make_unique<EventHandle::State>();
  state->mCallback = std::move(aCallback);
  state->mEvent = evsignal_new(mBase, aSignal, RunCallback, &state->mCallback);
  event_add(state->mEvent, nullptr);
  return EventHandle(std::move(state));
}

void
EventLoop::Defer(std::function<void()> aCallback)
{
  if (mDeferred.empty()) {
    const timeval tv{};
    event_add(mDeferredEvent, &tv);
  }
  mDeferred.push_back(std::move(aCallback));
}

void
EventLoop::RunDeferred()
{
  // Callbacks that are deferred by these callbacks run in the next iteration.
  const auto callbacks = std::exchange(mDeferred, {});
  for (const auto& it : callbacks) {
    it();
  }
}

} // namespace bulrushfold
