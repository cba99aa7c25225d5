#include "PathProxy.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <doctest/doctest.h>

#include "Net/LoopFixture.h"
#include "Net/SocketOptions.h"

namespace bulrushfold {

namespace {
constexpr Duration kPollInterval = std::chrono::milliseconds(2);
constexpr int kBacklog = 128;
/** Connections that the kernel accepts for a listener with a backlog of 0, and
 * some more that it does not answer. */
constexpr int kFillers = 4;

sockaddr_in
Loopback(const SocketAddress& aAddress)
{
  const auto address = ToSockaddr(aAddress);
  REQUIRE(address);
  return *address;
}

/** A socket without blocking that connects to aAddress. */
int
ConnectTo(const SocketAddress& aAddress)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(aAddress);
  static_cast<void>(
    connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
  SetTcpNoDelay(fd);
  return fd;
}

void
CloseSocket(int aSocket, bool aResets)
{
  if (aResets) {
    const linger reset{ 1, 0 };
    setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  close(aSocket);
}
} // namespace

PathProxy::PathProxy(EventLoop& aLoop, SocketAddress aTarget)
  : mLoop(aLoop)
  , mTarget(std::move(aTarget))
  , mAddress(FreeAddress())
{
  Listen();
  mTimer = mLoop.Every(kPollInterval, [this] { Poll(); });
}

PathProxy::~PathProxy()
{
  StopListening();
  CloseAll(false);
}

void
PathProxy::SetState(PathState aState)
{
  mState = aState;
  StopListening();
  if (aState == PathState::Resets) {
    CloseAll(true);
  }
  if (aState == PathState::Open || aState == PathState::Hangs) {
    Listen();
  }
  if (aState == PathState::Hangs) {
    FillQueue();
  }
}

void
PathProxy::Listen()
{
  mListener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(mAddress);
  AllowReuse(mListener);
  REQUIRE(bind(mListener,
               reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) == 0);
  REQUIRE(listen(mListener, mState == PathState::Hangs ? 0 : kBacklog) == 0);
}

void
PathProxy::StopListening()
{
  if (const int listener = std::exchange(mListener, -1); listener >= 0) {
    close(listener);
  }
  for (const int it : std::exchange(mFillers, {})) {
    close(it);
  }
}

void
PathProxy::FillQueue()
{
  for (int i = 0; i < kFillers; ++i) {
    mFillers.push_back(ConnectTo(mAddress));
  }
}

void
PathProxy::Close(Connection& aConnection, bool aResets)
{
  CloseSocket(std::exchange(aConnection.mRouter, -1), aResets);
  CloseSocket(std::exchange(aConnection.mEndpoint, -1), aResets);
}

void
PathProxy::CloseAll(bool aResets)
{
  for (Connection& it : mConnections) {
    Close(it, aResets);
  }
  mConnections.clear();
}

void
PathProxy::Poll()
{
  if (mState == PathState::Hangs) {
    return;
  }
  if (mState == PathState::Open) {
    Accept();
  }
  for (Connection& it : mConnections) {
    if (!Copy(it.mRouter, it.mEndpoint, it.mForward) ||
        !Copy(it.mEndpoint, it.mRouter, it.mBackward)) {
      Close(it, true);
    } else if (it.mForward.mIsEnded || it.mBackward.mIsEnded) {
      Close(it, false);
    }
  }
  mConnections.erase(
    std::remove_if(mConnections.begin(),
                   mConnections.end(),
                   [](const auto& aIt) { return aIt.mRouter < 0; }),
    mConnections.end());
}

void
PathProxy::Accept()
{
  int fd = -1;
  while ((fd = accept4(
            mListener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
    SetTcpNoDelay(fd);
    Connection connection;
    connection.mRouter = fd;
    connection.mEndpoint = ConnectTo(mTarget);
    mConnections.push_back(std::move(connection));
  }
}

bool
PathProxy::Copy(int aFrom, int aTo, Stream& aStream)
{
  const auto isPending = [] {
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN ||
           errno == EINPROGRESS;
  };
  char buf[16384];
  ssize_t n = 0;
  while ((n = recv(aFrom, buf, sizeof(buf), 0)) > 0) {
    aStream.mUnsent.append(buf, static_cast<std::size_t>(n));
  }
  if (n < 0 && !isPending()) {
    return false;
  }
  const bool isEnded = n == 0;
  while (!aStream.mUnsent.empty() && (n = send(aTo,
                                               aStream.mUnsent.data(),
                                               aStream.mUnsent.size(),
                                               MSG_NOSIGNAL)) > 0) {
    aStream.mUnsent.erase(0, static_cast<std::size_t>(n));
  }
  if (!aStream.mUnsent.empty() && n < 0 && !isPending()) {
    return false;
  }
  aStream.mIsEnded = isEnded && aStream.mUnsent.empty();
  return true;
}

} // namespace bulrushfold
