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
/** Plain requests that start in this last part of the stop time may not
 * finish. */
constexpr Duration kPlainRefuseTime = std::chrono::milliseconds(1800);
/** Time that is reserved for closing connections at the end of the stop. */
constexpr Duration kCloseMargin = std::chrono::milliseconds(300);
constexpr Duration kCheckInterval = std::chrono::milliseconds(100);
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
StopController::Refuses(RequestKind aKind) const
{
  if (!mBegunAt) {
    return false;
  }
  const Duration age = mClock.Now() - *mBegunAt;
  return aKind == RequestKind::Stream ? age > kStreamAcceptTime
                                      : age > mStopTimeout - kPlainRefuseTime;
}

void
StopController::Check()
{
  const Duration age = mClock.Now() - *mBegunAt;
  const OpenWork work = mHooks.mOpenWork();
  const bool isIdle = work.mRequests == 0 && age >= kReadinessNoticeTime;
  if (!isIdle && age < mStopTimeout - kCloseMargin) {
    return;
  }
  LogEvent(LogLevel::Info,
           "stop_ended",
           { { "requests", work.mRequests },
             { "connections", work.mConnections },
             { "busy_connections", work.mBusyConnections },
             { "unsent_bytes", work.mUnsentBytes },
             { "took_ms", ToMilliseconds(age) } });
  mTimer = EventHandle();
  mHooks.mOnEnd();
}

} // namespace bulrushfold
