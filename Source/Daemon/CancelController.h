#ifndef BULRUSHFOLD_DAEMON_CANCELCONTROLLER_H
#define BULRUSHFOLD_DAEMON_CANCELCONTROLLER_H

#include <cstdint>
#include <map>
#include <memory>

#include "Daemon/EngineClient.h"
#include "Net/EventLoop.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/**
 * Sends cancels to engines and repeats each one until its engine confirms it.
 * After kMaxTries tries the engine counts as dead and the cancel is dropped.
 * The owner of the endpoint then finds memory that is still allocated.
 */
class CancelController
{
public:
  CancelController(EventLoop& aLoop,
                   EngineClient& aEngines,
                   const RoutingSettings& aSettings);

  void Cancel(const SocketAddress& aEngine, const AttemptId& aId);
  std::size_t Pending() const { return mPending.size(); }

private:
  struct PendingCancel
  {
    SocketAddress mEngine;
    AttemptId mId;
    int mTries = 0;
    EngineClient::Call mCall;
    EventHandle mTimer;
  };
  void Send(std::uint64_t aKey);
  void HandleReply(std::uint64_t aKey, bool aIsConfirmed);

  EventLoop& mLoop;
  EngineClient& mEngines;
  Duration mRetryInterval;
  std::uint64_t mNextKey = 1;
  std::map<std::uint64_t, PendingCancel> mPending;
};

} // namespace bulrushfold

#endif
