#ifndef BULRUSHFOLD_TESTS_PROCESSES_REPEATEDGET_H
#define BULRUSHFOLD_TESTS_PROCESSES_REPEATEDGET_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Net/LoopFixture.h"

namespace bulrushfold {

/** Sends one GET request after the other, each on a connection of its own. */
class RepeatedGet
{
public:
  struct Target
  {
    SocketAddress mAddress;
    std::string mPath;
  };
  struct Hooks
  {
    /** Where the next request goes. */
    std::function<Target()> mNext;
    /** What was received when the connection was closed, or after the timeout
     * of the caller. */
    std::function<void(const std::string&)> mOnAnswer;
  };

  /** aName: first part of the ids of the requests. aPause: time from an answer
   * to the next request. */
  RepeatedGet(EventLoop& aLoop,
              std::string aName,
              Duration aPause,
              Hooks aHooks);

  /** Gives up the request in progress and sends the next one at once. */
  void Restart();

private:
  void Poll();

  std::string mName;
  Duration mPause;
  Hooks mHooks;
  SystemClock mClock;
  std::uint64_t mCalls = 0;
  std::unique_ptr<RawClient> mClient;
  Instant mCalledAt;
  Instant mNextCall;
  EventHandle mTimer;
};

} // namespace bulrushfold

#endif
