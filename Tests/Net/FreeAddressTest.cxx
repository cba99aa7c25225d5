#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <doctest/doctest.h>

#include "LoopFixture.h"

namespace bulrushfold {

namespace {
/** Listens at aAddress, as a server does or as a program that took its port. */
bool
CanListen(const SocketAddress& aAddress, bool aIsReusable)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aIsReusable) {
    AllowReuse(fd);
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.mPort);
  inet_pton(AF_INET, aAddress.mHost.c_str(), &address.sin_addr);
  const bool isBound =
    bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
    listen(fd, 1) == 0;
  close(fd);
  return isBound;
}
} // namespace

// Guards against tests that fail beside others, because another process or a
// connection got the port before the test listened there.
TEST_CASE("A free address stays reserved for the test")
{
  for (int i = 0; i < 20; ++i) {
    const SocketAddress address = FreeAddress();
    CHECK_FALSE(CanListen(address, false));
    CHECK(CanListen(address, true));
  }
}

} // namespace bulrushfold
