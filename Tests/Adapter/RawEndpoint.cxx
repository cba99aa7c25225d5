#include "RawEndpoint.h"

#include <utility>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "Net/LoopFixture.h"

namespace bulrushfold {

namespace {
constexpr Duration kPollInterval = std::chrono::milliseconds(1);

/** Value of the header field aName in aHead; empty when it is missing. */
std::string
FieldOf(const std::string& aHead, const std::string& aName)
{
  const std::string start = "\r\n" + aName + ": ";
  const std::size_t at = aHead.find(start);
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t begin = at + start.size();
  return aHead.substr(begin, aHead.find("\r\n", begin) - begin);
}
} // namespace

RawEndpoint::RawEndpoint(EventLoop& aLoop, std::string aId, std::string aStage)
  : mLoop(aLoop)
  , mId(std::move(aId))
  , mStage(std::move(aStage))
  , mAddress(FreeAddress())
  , mListener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(mAddress.mPort);
  AllowReuse(mListener);
  REQUIRE(bind(mListener,
               reinterpret_cast<sockaddr*>(&address),
               sizeof(address)) == 0);
  REQUIRE(listen(mListener, 16) == 0);
  mTimer = mLoop.Every(kPollInterval, [this] { Poll(); });
}

RawEndpoint::~RawEndpoint()
{
  for (const Connection& it : mConnections) {
    if (it.mSocket >= 0) {
      close(it.mSocket);
    }
  }
  close(mListener);
}

std::string
RawEndpoint::RegistryEntry(const std::string& aService) const
{
  nlohmann::json entry = {
    { "service", aService },  { "address", FormatAddress(mAddress) },
    { "zone", "z" },          { "version", "v1" },
    { "slots", 8 },           { "state", "ready" },
    { "cold_left_ms", 0 },    { "sequence", 3 },
    { "born", 1700000000000 }
  };
  if (!mStage.empty()) {
    entry["stage"] = mStage;
  }
  return entry.dump();
}

std::string
RawEndpoint::Answer(int aStatus,
                    const std::string& aFields,
                    const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " x\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
RawEndpoint::Proof(const RawRequest& aRequest)
{
  return "X-Server-Stamp: stamp\r\nX-Request-Id: " + aRequest.mId + "\r\n";
}

void
RawEndpoint::Poll()
{
  Accept();
  for (std::size_t i = 0; i < mConnections.size(); ++i) {
    if (mConnections[i].mSocket >= 0) {
      Read(i);
    }
    if (mConnections[i].mSocket >= 0) {
      Write(mConnections[i]);
    }
  }
}

void
RawEndpoint::Accept()
{
  int fd = -1;
  while ((fd = accept4(mListener, nullptr, nullptr, SOCK_NONBLOCK)) >= 0) {
    mConnections.emplace_back();
    mConnections.back().mSocket = fd;
  }
}

void
RawEndpoint::Read(std::size_t aConnection)
{
  char buf[16384];
  ssize_t n = 0;
  const int fd = mConnections[aConnection].mSocket;
  while ((n = recv(fd, buf, sizeof(buf), 0)) > 0) {
    mConnections[aConnection].mInput.append(buf, static_cast<std::size_t>(n));
  }
  if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
    Close(aConnection, RawClose::Orderly);
    return;
  }
  while (true) {
    std::string& input = mConnections[aConnection].mInput;
    const std::size_t end = input.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    const std::string length =
      FieldOf(input.substr(0, end + 2), "Content-Length");
    const std::size_t size =
      end + 4 + (length.empty() ? 0 : std::stoul(length));
    if (input.size() < size) {
      return;
    }
    std::string bytes = input.substr(0, size);
    input.erase(0, size);
    Dispatch(aConnection, std::move(bytes));
  }
}

void
RawEndpoint::Dispatch(std::size_t aConnection, std::string aBytes)
{
  RawRequest request;
  request.mConnection = aConnection;
  request.mIndex = mConnections[aConnection].mRequests++;
  const std::size_t path = aBytes.find(' ') + 1;
  request.mPath = aBytes.substr(path, aBytes.find(' ', path) - path);
  request.mId = FieldOf(aBytes, "X-Request-Id");
  request.mBytes = std::move(aBytes);
  if (request.mBytes.compare(0, 7, "DELETE ") == 0) {
    Send(aConnection, Answer(200, "", "{}"));
  } else if (request.mPath != "/api/hold-take") {
    mRequests.push_back(request);
    mHandler(request);
  } else if (mReservationHandler) {
    mReservationHandler(request);
  } else {
    const std::string hold = mId + std::to_string(++mReservations);
    Send(aConnection, Answer(200, "", "{\"hold\":\"" + hold + "\"}"));
  }
}

void
RawEndpoint::Send(std::size_t aConnection, const std::string& aData)
{
  send(mConnections[aConnection].mSocket,
       aData.data(),
       aData.size(),
       MSG_NOSIGNAL);
}

void
RawEndpoint::SendWithoutEnd(std::size_t aConnection,
                            const std::string& aData,
                            Duration aInterval)
{
  mConnections[aConnection].mEndless = aData;
  mConnections[aConnection].mInterval = aInterval;
}

void
RawEndpoint::Write(Connection& aConnection)
{
  // Limits the time of one call, so that the loop keeps running.
  constexpr std::size_t kMaxBytes = 4 * 1024 * 1024;
  std::size_t sent = 0;
  while (!aConnection.mEndless.empty() && sent < kMaxBytes &&
         mClock.Now() >= aConnection.mNextSend) {
    const std::string& data = aConnection.mEndless;
    const ssize_t n = send(aConnection.mSocket,
                           data.data() + aConnection.mEndlessSent,
                           data.size() - aConnection.mEndlessSent,
                           MSG_NOSIGNAL);
    if (n <= 0) {
      return;
    }
    sent += static_cast<std::size_t>(n);
    aConnection.mEndlessSent += static_cast<std::size_t>(n);
    aConnection.mEndlessTotal += static_cast<std::size_t>(n);
    if (aConnection.mEndlessSent == data.size()) {
      aConnection.mEndlessSent = 0;
      aConnection.mNextSend = mClock.Now() + aConnection.mInterval;
    }
  }
}

void
RawEndpoint::Close(std::size_t aConnection, RawClose aHow)
{
  int& fd = mConnections[aConnection].mSocket;
  if (aHow == RawClose::Reset) {
    const linger abort{ 1, 0 };
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  }
  close(fd);
  fd = -1;
}

bool
RawEndpoint::IsClosed(std::size_t aConnection) const
{
  return mConnections[aConnection].mSocket < 0;
}

} // namespace bulrushfold
