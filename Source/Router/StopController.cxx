#include "Router/StopController.h"

#include <utility>

#include "Base/Log.h"

namespace bulrushfold {

namespace {
/** Time in which the load balancer notices the stop: it checks the readiness
 * once a second and acts after two refusals. Requests that it sent before
 * still arrive. */
constexpr Duration kReadinessNoticeTime = std::chrono::milliseconds(3000);
/** Streams that start later than this after the start of the stop may not
 * finish before its end. */
constexpr Duration kStreamAcceptTime = std::chrono::milliseconds(2800);
/** Time that is reserved for closing connections at the end of the stop. */
constexpr Duration kCloseMargin = std::chrono::milliseconds(300);
/** Part of that time in which the process ends. */
constexpr Duration kExitMargin = std::chrono::milliseconds(80);
/** Time for the last message to the peers and the last call to the store. */
constexpr Duration kMinCloseTime = std::chrono::milliseconds(50);
constexpr Duration kCheckInterval = std::chrono::milliseconds(100);
constexpr Duration kCloseCheckInterval = std::chrono::milliseconds(10);
} // namespace

StopController::StopController(EventLoop& aLoop,
                               const Clock& aClock,
                               Duration aStopTime,
                               Hooks aHooks)
  : mLoop(aLoop)
  , mClock(aClock)
  , mStopTimeout(aStopTime)
  , mHooks(std::move(aHooks))
{
}

void
StopController::Begin()
{
  if (mBegunAt) {
    return;
  }
  mBegunAt = mClock.Now();
  const OpenWork work = mHooks.mOpenWork();
  LogEvent(
    LogLevel::Info,
    "stop_begun",
    { { "requests", work.mRequests }, { "connections", work.mConnections } });
  mHooks.mOnBegin();
  mTimer = mLoop.Every(kCheckInterval, [this] { Check(); });
}

bool
StopController::Refuses(RequestKind aKind, Instant aDeadline) const
{
  if (!mBegunAt) {
    return false;
  }
  if (mEndedAt) {
    return true;
  }
  const Duration age = mClock.Now() - *mBegunAt;
  if (aKind == RequestKind::Stream) {
    return age > kStreamAcceptTime;
  }
  // Before the load balancer has noticed the stop, a refusal would only make
  // callers return to this daemon.
  return age >= kReadinessNoticeTime &&
         aDeadline > *mBegunAt + mStopTimeout - kCloseMargin;
}

void
StopController::Check()
{
  const Duration age = mClock.Now() - *mBegunAt;
  const OpenWork work = mHooks.mOpenWork();
  const bool isIdle = work.mRequests == 0 && work.mBusyConnections == 0 &&
                      age >= kReadinessNoticeTime;
  if (isIdle || age >= mStopTimeout - kCloseMargin) {
    LogEvent(LogLevel::Info,
             "stop_ended",
             { { "requests", work.mRequests },
               { "connections", work.mConnections },
               { "busy_connections", work.mBusyConnections },
               { "unsent_bytes", work.mUnsentBytes },
               { "took_ms", ToMilliseconds(age) } });
    mEndedAt = mClock.Now();
    mHooks.mOnEnd();
    mTimer = mLoop.Every(kCloseCheckInterval, [this] { CheckSent(); });
  }
}

void
StopController::CheckSent()
{
  const Instant now = mClock.Now();
  const OpenWork work = mHooks.mOpenWork();
  const bool isSent =
    work.mBusyConnections == 0 && now - *mEndedAt >= kMinCloseTime;
  if (!isSent && now - *mBegunAt < mStopTimeout - kExitMargin) {
    return;
  }
  LogEvent(work.mUnsentBytes == 0 ? LogLevel::Info : LogLevel::Warning,
           "stop_closed",
           { { "busy_connections", work.mBusyConnections },
             { "unsent_bytes", work.mUnsentBytes },
             { "took_ms", ToMilliseconds(now - *mBegunAt) } });
  mTimer = EventHandle();
  mHooks.mOnClosed();
}

} // namespace bulrushfold
