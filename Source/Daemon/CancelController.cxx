#include "Daemon/CancelController.h"

#include <algorithm>
#include <utility>

#include "Base/Log.h"

namespace bulrushfold {

namespace {
constexpr int kMaxTries = 20;
constexpr int kMaxBackoffFactor = 8;
} // namespace

CancelController::CancelController(EventLoop& aLoop,
                                   EngineClient& aEngines,
                                   const RoutingSettings& aSettings)
  : mLoop(aLoop)
  , mEngines(aEngines)
  , mRetryInterval(aSettings.mCancelRetryInterval)
{
}

void
CancelController::Cancel(const SocketAddress& aEngine, const AttemptId& aId)
{
  const std::uint64_t key = mNextKey++;
  PendingCancel& cancel = mPending[key];
  cancel.mEngine = aEngine;
  cancel.mId = aId;
  Send(key);
}

void
CancelController::Send(std::uint64_t aKey)
{
  PendingCancel& cancel = mPending.at(aKey);
  ++cancel.mTries;
  cancel.mCall =
    mEngines.Cancel(cancel.mEngine, cancel.mId, [this, aKey](bool aIsOk) {
      HandleReply(aKey, aIsOk);
    });
}

void
CancelController::HandleReply(std::uint64_t aKey, bool aIsConfirmed)
{
  PendingCancel& cancel = mPending.at(aKey);
  if (aIsConfirmed) {
    mPending.erase(aKey);
    return;
  }
  if (cancel.mTries >= kMaxTries) {
    LogEvent(LogLevel::Warning,
             "cancel_given_up",
             { { "request", cancel.mId.mRequest },
               { "attempt", cancel.mId.mAttempt },
               { "endpoint", FormatAddress(cancel.mEngine) } });
    mPending.erase(aKey);
    return;
  }
  const int factor = std::min(cancel.mTries, kMaxBackoffFactor);
  cancel.mTimer =
    mLoop.After(mRetryInterval * factor, [this, aKey] { Send(aKey); });
}

} // namespace bulrushfold
