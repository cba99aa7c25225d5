#ifndef BULRUSHFOLD_TESTS_ADAPTER_PATHPROXY_H
#define BULRUSHFOLD_TESTS_ADAPTER_PATHPROXY_H

#include <cstddef>
#include <string>
#include <vector>

#include "Net/EventLoop.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** State of the network path that a proxy stands for. */
enum class PathState
{
  Open,
  /** No byte passes on any connection, and new connections are not answered. */
  Hangs,
  /** All connections are reset, and new ones refused. */
  Resets,
  /** Connections go on, and new ones are refused. */
  RefusesNew,
};

/** Loopback proxy for the path from one router to one endpoint. */
class PathProxy
{
public:
  /** aTarget: address of the endpoint. */
  PathProxy(EventLoop& aLoop, SocketAddress aTarget);
  PathProxy(const PathProxy&) = delete;
  PathProxy& operator=(const PathProxy&) = delete;
  ~PathProxy();

  const SocketAddress& Address() const { return mAddress; }
  void SetState(PathState aState);

private:
  /** One direction of a connection. */
  struct Stream
  {
    std::string mUnsent;
    bool mIsEnded = false;
  };
  struct Connection
  {
    int mRouter = -1;
    int mEndpoint = -1;
    Stream mForward;
    Stream mBackward;
  };

  void Poll();
  void Accept();
  /** Copies the available bytes; false when a side has reset the connection. */
  static bool Copy(int aFrom, int aTo, Stream& aStream);
  static void Close(Connection& aConnection, bool aResets);
  void CloseAll(bool aResets);
  void Listen();
  void StopListening();
  /** Fills the queue of the listener, so that the kernel answers no further
   * attempt to connect. */
  void FillQueue();

  EventLoop& mLoop;
  SocketAddress mTarget;
  SocketAddress mAddress;
  PathState mState = PathState::Open;
  int mListener = -1;
  std::vector<int> mFillers;
  std::vector<Connection> mConnections;
  EventHandle mTimer;
};

} // namespace bulrushfold

#endif
