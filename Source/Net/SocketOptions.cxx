#include "Net/SocketOptions.h"

#include <algorithm>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bulrushfold {

void
SetTcpNoDelay(int aSocket)
{
  const int isOn = 1;
  if (aSocket >= 0) {
    setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
  }
}

void
DetectDeadConnection(int aSocket, Duration aTimeout)
{
  if (aSocket < 0) {
    return;
  }
  constexpr int kProbeCount = 3;
  const auto timeout =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTimeout);
  const int isOn = 1;
  const int interval =
    std::max(1, static_cast<int>(timeout.count() / 1000 / (kProbeCount + 1)));
  const auto userTimeout = static_cast<unsigned int>(timeout.count());
  setsockopt(aSocket, SOL_SOCKET, SO_KEEPALIVE, &isOn, sizeof(isOn));
  setsockopt(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, &interval, sizeof(interval));
  setsockopt(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
  setsockopt(
    aSocket, IPPROTO_TCP, TCP_KEEPCNT, &kProbeCount, sizeof(kProbeCount));
  setsockopt(
    aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeout, sizeof(userTimeout));
}

std::optional<sockaddr_in>
ToSockaddr(const SocketAddress& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.mPort);
  if (inet_pton(AF_INET, aAddress.mHost.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

std::string
FormatHost(const sockaddr& aAddress)
{
  if (aAddress.sa_family != AF_INET) {
    return std::string();
  }
  char text[INET_ADDRSTRLEN] = {};
  const auto& address = reinterpret_cast<const sockaddr_in&>(aAddress);
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  return text;
}

} // namespace bulrushfold
