#include "standins-2/http.h"

#include <cctype>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace standins {

namespace {

const auto kStart = std::chrono::steady_clock::now();

sockaddr_in
MakeAddress(const std::string& aHost, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

int
Listen(const std::string& aHost, int aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int isOn = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof(isOn));
  const sockaddr_in address = MakeAddress(aHost, aPort);
  if (bind(socket,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(socket, 512) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}

int
PortOf(int aSocket)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

bool
SendAll(int aSocket, const std::string& aData)
{
  std::size_t sent = 0;
  while (sent < aData.size()) {
    const ssize_t n =
      send(aSocket, aData.data() + sent, aData.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/** Resets a connection, also while another thread reads from it. */
void
Reset(int aSocket)
{
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  connect(aSocket, &none, sizeof(none));
}

std::string
Lower(std::string aText)
{
  for (char& it : aText) {
    it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
  }
  return aText;
}

std::string
Trim(const std::string& aText)
{
  const auto first = aText.find_first_not_of(" \t");
  const auto last = aText.find_last_not_of(" \t");
  return first == std::string::npos ? ""
                                    : aText.substr(first, last - first + 1);
}

std::string
Decode(const std::string& aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text += static_cast<char>(
        std::strtol(aText.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

/** Reads from a socket, with a buffer for what follows a message. */
class Reader
{
public:
  explicit Reader(int aSocket)
    : mSocket(aSocket)
  {
  }
  /** False at the end of the stream, or after the deadline. */
  bool ReadUntil(const std::string& aEnd, std::string& aText)
  {
    while (true) {
      const auto at = mBuffer.find(aEnd);
      if (at != std::string::npos) {
        aText = mBuffer.substr(0, at);
        mBuffer.erase(0, at + aEnd.size());
        return true;
      }
      if (!Fill()) {
        return false;
      }
    }
  }
  bool ReadBytes(std::size_t aCount, std::string& aText)
  {
    while (mBuffer.size() < aCount) {
      if (!Fill()) {
        return false;
      }
    }
    aText = mBuffer.substr(0, aCount);
    mBuffer.erase(0, aCount);
    return true;
  }
  void SetDeadline(double aMs) { mDeadline = aMs; }

private:
  bool Fill()
  {
    if (mDeadline > 0) {
      pollfd waiting{ mSocket, POLLIN, 0 };
      const double left = mDeadline - NowMs();
      if (left <= 0 || poll(&waiting, 1, static_cast<int>(left) + 1) <= 0) {
        return false;
      }
    }
    char data[16384];
    const ssize_t n = recv(mSocket, data, sizeof(data), 0);
    if (n <= 0) {
      return false;
    }
    mBuffer.append(data, static_cast<std::size_t>(n));
    return true;
  }

  int mSocket;
  std::string mBuffer;
  double mDeadline = 0;
};

std::map<std::string, std::string>
ReadHeaders(const std::string& aHead)
{
  std::map<std::string, std::string> headers;
  std::size_t at = aHead.find("\r\n");
  while (at != std::string::npos) {
    const std::size_t next = aHead.find("\r\n", at + 2);
    const std::string line = aHead.substr(
      at + 2, next == std::string::npos ? std::string::npos : next - at - 2);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      headers[Lower(line.substr(0, colon))] = Trim(line.substr(colon + 1));
    }
    at = next;
  }
  return headers;
}

bool
ReadBody(Reader& aReader,
         const std::map<std::string, std::string>& aHeaders,
         std::string& aBody)
{
  const auto coding = aHeaders.find("transfer-encoding");
  if (coding != aHeaders.end() && Lower(coding->second) == "chunked") {
    while (true) {
      std::string line;
      std::string data;
      if (!aReader.ReadUntil("\r\n", line)) {
        return false;
      }
      const auto size =
        static_cast<std::size_t>(std::strtoul(line.c_str(), nullptr, 16));
      if (!aReader.ReadBytes(size + 2, data)) {
        return false;
      }
      if (size == 0) {
        return true;
      }
      aBody += data.substr(0, size);
    }
  }
  const auto length = aHeaders.find("content-length");
  return length == aHeaders.end() ||
         aReader.ReadBytes(std::strtoul(length->second.c_str(), nullptr, 10),
                           aBody);
}

std::string
FormatHead(const std::string& aStart, const Headers& aHeaders)
{
  std::string head = aStart + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    head += name + ": " + value + "\r\n";
  }
  return head;
}

} // namespace

double
NowMs()
{
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - kStart)
    .count();
}

void
SleepMs(double aMs)
{
  std::this_thread::sleep_for(
    std::chrono::duration<double, std::milli>(aMs > 0 ? aMs : 0));
}

std::string
Request::Header(const std::string& aName) const
{
  const auto it = mHeaders.find(Lower(aName));
  return it == mHeaders.end() ? "" : it->second;
}

bool
Answer::Write(const std::string& aData)
{
  mHasFailed = mHasFailed || !SendAll(mSocket, aData);
  return !mHasFailed;
}

void
Answer::Reply(int aStatus, const Headers& aHeaders, const std::string& aBody)
{
  Write(FormatHead("HTTP/1.1 " + std::to_string(aStatus) + " X", aHeaders) +
        "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
}

bool
Answer::Begin(int aStatus, const Headers& aHeaders)
{
  return Write(
    FormatHead("HTTP/1.1 " + std::to_string(aStatus) + " X", aHeaders) +
    "Transfer-Encoding: chunked\r\n\r\n");
}

bool
Answer::Chunk(const std::string& aData)
{
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", aData.size());
  return Write(size + aData + "\r\n");
}

void
Answer::End()
{
  Write("0\r\n\r\n");
}

void
Answer::Graceful()
{
  shutdown(mSocket, SHUT_WR);
  mHasFailed = true;
}

void
Answer::Abort()
{
  Reset(mSocket);
  mHasFailed = true;
}

bool
Answer::IsClosed() const
{
  pollfd state{ mSocket, POLLIN | POLLRDHUP, 0 };
  return mHasFailed || (poll(&state, 1, 0) > 0 &&
                        (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
}

Server::Server(std::string aHost, Handler aHandler)
  : mHost(std::move(aHost))
  , mHandler(std::move(aHandler))
{
  Start();
}

Server::~Server()
{
  Stop();
}

std::string
Server::Address() const
{
  return mHost + ":" + std::to_string(mPort);
}

void
Server::Start()
{
  for (int i = 0; i < 100 && mListener < 0; ++i) {
    mListener = Listen(mHost, mPort);
    if (mListener < 0) {
      SleepMs(10);
    }
  }
  if (mListener < 0) {
    std::exit(2);
  }
  mPort = PortOf(mListener);
  mThread = std::thread([this, listener = mListener] { Accept(listener); });
}

void
Server::Stop()
{
  if (mListener < 0) {
    return;
  }
  shutdown(mListener, SHUT_RDWR);
  mThread.join();
  close(mListener);
  mListener = -1;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    for (const int it : mSockets) {
      Reset(it);
    }
  }
  for (int i = 0; i < 500 && mThreads > 0; ++i) {
    SleepMs(10);
  }
}

void
Server::Accept(int aListener)
{
  while (true) {
    const int socket = accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      return;
    }
    const int isOn = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mSockets.insert(socket);
    }
    ++mThreads;
    std::thread([this, socket] {
      Serve(socket);
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        mSockets.erase(socket);
      }
      close(socket);
      --mThreads;
    }).detach();
  }
}

void
Server::Serve(int aSocket)
{
  Reader reader(aSocket);
  std::string head;
  while (reader.ReadUntil("\r\n\r\n", head)) {
    Request request;
    const std::size_t first = head.find(' ');
    const std::size_t second = head.find(' ', first + 1);
    request.mMethod = head.substr(0, first);
    request.mTarget = head.substr(first + 1, second - first - 1);
    request.mHeaders = ReadHeaders(head);
    if (!ReadBody(reader, request.mHeaders, request.mBody)) {
      return;
    }
    const std::size_t mark = request.mTarget.find('?');
    request.mPath = request.mTarget.substr(0, mark);
    std::size_t at = mark;
    while (at != std::string::npos) {
      const std::size_t next = request.mTarget.find('&', at + 1);
      const std::string field = request.mTarget.substr(
        at + 1, next == std::string::npos ? next : next - at - 1);
      const std::size_t equals = field.find('=');
      request.mQuery[field.substr(0, equals)] =
        equals == std::string::npos ? "" : Decode(field.substr(equals + 1));
      at = next;
    }
    Answer answer(aSocket);
    mHandler(request, answer);
    if (answer.IsClosed()) {
      return;
    }
  }
}

Reply
Call(const std::string& aHost,
     int aPort,
     const std::string& aMethod,
     const std::string& aTarget,
     const Headers& aHeaders,
     const std::string& aBody,
     double aTimeoutMs)
{
  Reply reply;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = MakeAddress(aHost, aPort);
  std::string message =
    FormatHead(aMethod + " " + aTarget + " HTTP/1.1", aHeaders);
  if (aMethod != "GET") {
    message += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  message += "\r\n" + aBody;
  Reader reader(socket);
  reader.SetDeadline(NowMs() + aTimeoutMs);
  std::string head;
  if (connect(socket,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0 &&
      SendAll(socket, message) && reader.ReadUntil("\r\n\r\n", head)) {
    reply.mHeaders = ReadHeaders(head);
    if (ReadBody(reader, reply.mHeaders, reply.mBody)) {
      reply.mStatus = std::atoi(head.substr(head.find(' ') + 1).c_str());
    }
  }
  close(socket);
  return reply;
}

int
FreePort(const std::string& aHost)
{
  const int socket = Listen(aHost, 0);
  const int port = socket < 0 ? 0 : PortOf(socket);
  close(socket);
  return port;
}

bool
IsPortFree(const std::string& aHost, int aPort)
{
  const int socket = Listen(aHost, aPort);
  if (socket >= 0) {
    close(socket);
  }
  return socket >= 0;
}

} // namespace standins
