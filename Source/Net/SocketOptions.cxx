#include "Net/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bulrushfold {

void
SendAtOnce(int aSocket)
{
  const int isOn = 1;
  if (aSocket >= 0) {
    setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
  }
}

} // namespace bulrushfold
