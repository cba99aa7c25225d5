#ifndef BULRUSHFOLD_TESTS_NET_LOOPFIXTURE_H
#define BULRUSHFOLD_TESTS_NET_LOOPFIXTURE_H

#include <cstddef>
#include <deque>
#include <functional>
#include <string>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Net/EventLoop.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** Lets aSocket listen at a port that FreeAddress keeps bound. */
inline void
AllowReuse(int aSocket)
{
  const int isReusable = 1;
  setsockopt(
    aSocket, SOL_SOCKET, SO_REUSEADDR, &isReusable, sizeof(isReusable));
}

/**
 * A loopback address that nobody listens at. Its port stays bound, so that no
 * other process and no outgoing connection gets it before the test listens
 * there; SO_REUSEADDR lets the test do so. The oldest ports are given back.
 */
inline SocketAddress
FreeAddress()
{
  constexpr std::size_t kReservedPorts = 128;
  static std::deque<int> sReserved;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  AllowReuse(fd);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t n = sizeof(address);
  bind(fd, reinterpret_cast<sockaddr*>(&address), n);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
  sReserved.push_back(fd);
  if (sReserved.size() > kReservedPorts) {
    close(sReserved.front());
    sReserved.pop_front();
  }
  return { "127.0.0.1", ntohs(address.sin_port) };
}

/** Runs aLoop until aCondition is true; returns false if it is still false
 * after aLimit. */
inline bool
RunUntil(EventLoop& aLoop,
         const std::function<bool()>& aCondition,
         Duration aLimit = std::chrono::seconds(20))
{
  bool expired = false;
  const auto limit = aLoop.After(aLimit, [&] {
    expired = true;
    aLoop.Stop();
  });
  const auto poll = aLoop.Every(std::chrono::milliseconds(2), [&] {
    if (aCondition()) {
      aLoop.Stop();
    }
  });
  while (!aCondition() && !expired) {
    aLoop.Run();
  }
  return aCondition();
}

/** Runs aLoop for aSpan. */
inline void
RunFor(EventLoop& aLoop, Duration aSpan)
{
  RunUntil(
    aLoop, [] { return false; }, aSpan);
}

/** Number of occurrences of aPart in aText. */
inline std::size_t
CountOccurrences(const std::string& aText, const std::string& aPart)
{
  std::size_t n = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++n;
  }
  return n;
}

/** A client socket that sends and receives raw bytes. */
class RawClient
{
public:
  explicit RawClient(const SocketAddress& aAddress)
    : mSocket(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(aAddress.mPort);
    connect(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;
  ~RawClient() { Close(); }

  void Send(const std::string& aData)
  {
    send(mSocket, aData.data(), aData.size(), MSG_NOSIGNAL);
  }
  /** Reads the available bytes without blocking; returns all bytes received so
   * far. */
  const std::string& Received()
  {
    char buf[4096];
    ssize_t n = 0;
    while ((n = recv(mSocket, buf, sizeof(buf), MSG_DONTWAIT)) > 0) {
      mReceived.append(buf, static_cast<std::size_t>(n));
    }
    mIsClosed = mIsClosed || n == 0;
    return mReceived;
  }
  bool IsClosedByServer()
  {
    Received();
    return mIsClosed;
  }
  void Close()
  {
    if (mSocket >= 0) {
      close(mSocket);
      mSocket = -1;
    }
  }

private:
  int mSocket;
  std::string mReceived;
  bool mIsClosed = false;
};

} // namespace bulrushfold

#endif
