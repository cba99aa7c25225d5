#include "Router/StopController.h"

#include <utility>

#include "Base/Log.h"

namespace bulrushfold {

namespace {
/** The balancer asks once a second and needs two refusals; what it sent
 * before still arrives. */
constexpr Duration kNoticeTime = std::chrono::milliseconds(3000);
/** Streams that begin later may outlast the stop. */
constexpr Duration kStreamTime = std::chrono::milliseconds(2800);
/** Plain requests that begin in this last part of the stop may be cut. */
constexpr Duration kPlainTime = std::chrono::milliseconds(1800);
/** Left at the end for closing connections. */
constexpr Duration kEndMargin = std::chrono::milliseconds(300);
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
  return aKind == RequestKind::Stream ? age > kStreamTime
                                      : age > mStopTimeout - kPlainTime;
}

void
StopController::Check()
{
  const Duration age = mClock.Now() - *mBegunAt;
  const OpenWork work = mHooks.mOpenWork();
  const bool isIdle = work.mRequests == 0 && age >= kNoticeTime;
  if (!isIdle && age < mStopTimeout - kEndMargin) {
    return;
  }
  LogEvent(LogLevel::Info,
           "stop_ended",
           { { "requests", work.mRequests },
             { "connections", work.mConnections },
             { "took_ms", ToMilliseconds(age) } });
  mTimer = EventHandle();
  mHooks.mOnEnd();
}

} // namespace bulrushfold
