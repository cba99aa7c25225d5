#include "RepeatedGet.h"

#include <utility>

namespace bulrushfold {

namespace {
/** Time after which a caller gives up; more than the deadline that it states.
 */
constexpr Duration kCallerTimeout = std::chrono::seconds(2);
} // namespace

RepeatedGet::RepeatedGet(EventLoop& aLoop,
                         std::string aName,
                         Duration aPause,
                         Hooks aHooks)
  : mName(std::move(aName))
  , mPause(aPause)
  , mHooks(std::move(aHooks))
  , mTimer(aLoop.Every(std::chrono::milliseconds(2), [this] { Poll(); }))
{
}

void
RepeatedGet::Restart()
{
  mClient.reset();
  mNextCall = mClock.Now();
}

void
RepeatedGet::Poll()
{
  const Instant now = mClock.Now();
  if (!mClient && now >= mNextCall) {
    const Target target = mHooks.mNext();
    mCalledAt = now;
    mClient = std::make_unique<RawClient>(target.mAddress);
    mClient->Send("GET " + target.mPath +
                  " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + mName +
                  "-" + std::to_string(++mCalls) +
                  "\r\nX-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n");
  } else if (mClient && (mClient->IsClosedByServer() ||
                         now >= mCalledAt + kCallerTimeout)) {
    mHooks.mOnAnswer(mClient->Received());
    mClient.reset();
    mNextCall = now + mPause;
  }
}

} // namespace bulrushfold
