#ifndef BULRUSHFOLD_TESTS_NET_LOOPFIXTURE_H
#define BULRUSHFOLD_TESTS_NET_LOOPFIXTURE_H

#include <functional>
#include <string>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Net/EventLoop.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** A loopback address with a port that is free at the time of the call. */
inline SocketAddress
FreeAddress()
{
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t n = sizeof(address);
  bind(fd, reinterpret_cast<sockaddr*>(&address), n);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
  close(fd);
  return { "127.0.0.1", ntohs(address.sin_port) };
}

/** Runs aLoop until aCondition holds; false when it does not in 20 s. */
inline bool
RunUntil(EventLoop& aLoop, const std::function<bool()>& aCondition)
{
  constexpr Duration kLimit = std::chrono::seconds(20);
  bool expired = false;
  const auto limit = aLoop.After(kLimit, [&] {
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

/** Occurrences of aPart in aText. */
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

/** A blocking client socket that sends raw bytes. */
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
  /** Takes what has arrived, without waiting. */
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
