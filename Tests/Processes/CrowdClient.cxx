#include "CrowdClient.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bulrushfold {

CrowdClient::CrowdClient(const SocketAddress& aAddress,
                         std::string aText,
                         std::size_t aPieceBytes)
  : mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  , mText(std::move(aText))
  , mPieceBytes(aPieceBytes == 0 ? mText.size() : aPieceBytes)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aAddress.mPort);
  mIsClosed =
    connect(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
    0;
}

CrowdClient::~CrowdClient()
{
  close(mSocket);
}

bool
CrowdClient::Send()
{
  const std::size_t before = mSent;
  const std::size_t end = std::min(mText.size(), mSent + mPieceBytes);
  while (!mIsClosed && mSent < end) {
    const ssize_t n = send(
      mSocket, mText.data() + mSent, end - mSent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n <= 0) {
      break;
    }
    mSent += static_cast<std::size_t>(n);
  }
  Receive();
  return mSent > before;
}

void
CrowdClient::Receive()
{
  std::array<char, 4096> buf{};
  ssize_t n = 0;
  while ((n = recv(mSocket, buf.data(), buf.size(), MSG_DONTWAIT)) > 0) {
    mReceived.append(buf.data(), static_cast<std::size_t>(n));
  }
  mIsClosed = mIsClosed || n == 0 || (n < 0 && errno != EAGAIN);
}

} // namespace bulrushfold
