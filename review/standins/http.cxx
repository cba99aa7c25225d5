#include "http.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {
const SteadyTime sStart = std::chrono::steady_clock::now();
constexpr double kForever = 1e9;

sockaddr_in
ParseSocketAddress(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

std::string
Trim(const std::string& aText)
{
  const auto first = aText.find_first_not_of(" \t\r");
  const auto last = aText.find_last_not_of(" \t\r");
  return first == std::string::npos ? ""
                                    : aText.substr(first, last - first + 1);
}
} // namespace

double
Now()
{
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - sStart)
    .count();
}

void
SleepMs(double aMilliseconds)
{
  std::this_thread::sleep_for(
    std::chrono::duration<double, std::milli>(aMilliseconds));
}

std::string
Message::Header(const std::string& aName) const
{
  for (const auto& [name, value] : mHeaders) {
    if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

std::string
Message::Path() const
{
  return mTarget.substr(0, mTarget.find('?'));
}

std::string
Message::Parameter(const std::string& aName) const
{
  const auto mark = mTarget.find('?');
  if (mark == std::string::npos) {
    return "";
  }
  const std::string query = "&" + mTarget.substr(mark + 1) + "&";
  const auto at = query.find("&" + aName + "=");
  if (at == std::string::npos) {
    return "";
  }
  const auto begin = at + aName.size() + 2;
  return query.substr(begin, query.find('&', begin) - begin);
}

Channel::Channel(int aSocket)
  : mSocket(aSocket)
{
  const int isOn = 1;
  setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
}

Channel::~Channel()
{
  Close();
}

std::unique_ptr<Channel>
Channel::Connect(const std::string& aAddress, double aTimeoutMs)
{
  const sockaddr_in address = ParseSocketAddress(aAddress);
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  fcntl(handle, F_SETFL, O_NONBLOCK);
  const int result = connect(
    handle, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (result != 0 && errno != EINPROGRESS) {
    close(handle);
    return nullptr;
  }
  pollfd target{ handle, POLLOUT, 0 };
  int error = 0;
  socklen_t size = sizeof(error);
  if (poll(&target, 1, static_cast<int>(aTimeoutMs)) != 1 ||
      getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
      error != 0) {
    close(handle);
    return nullptr;
  }
  fcntl(handle, F_SETFL, 0);
  return std::make_unique<Channel>(handle);
}

bool
Channel::Write(const std::string& aBytes)
{
  std::size_t written = 0;
  while (mSocket >= 0 && written < aBytes.size()) {
    const ssize_t n = send(
      mSocket, aBytes.data() + written, aBytes.size() - written, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(n);
  }
  return mSocket >= 0;
}

bool
Channel::WaitForInput(double aTimeoutMs)
{
  if (!mInput.empty()) {
    return true;
  }
  pollfd target{ mSocket, POLLIN, 0 };
  return poll(&target, 1, std::max(0, static_cast<int>(aTimeoutMs))) == 1;
}

bool
Channel::IsClosedByPeer()
{
  char byte = 0;
  const ssize_t n = recv(mSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

bool
Channel::Fill(double aDeadline)
{
  if (mIsEnded || mSocket < 0) {
    return false;
  }
  pollfd target{ mSocket, POLLIN, 0 };
  const double left = std::min(aDeadline - Now(), 1e6);
  if (left <= 0 || poll(&target, 1, static_cast<int>(left) + 1) != 1) {
    return false;
  }
  char bytes[65536];
  const ssize_t n = recv(mSocket, bytes, sizeof(bytes), 0);
  if (n <= 0) {
    mIsEnded = n == 0;
    return false;
  }
  mInput.append(bytes, static_cast<std::size_t>(n));
  return true;
}

bool
Channel::ReadHead(Message& aMessage, double aDeadline, std::string& aFirstLine)
{
  std::size_t end = 0;
  while ((end = mInput.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(aDeadline)) {
      return false;
    }
  }
  std::string head = mInput.substr(0, end + 2);
  mInput.erase(0, end + 4);
  aFirstLine = head.substr(0, head.find("\r\n"));
  head.erase(0, aFirstLine.size() + 2);
  while (!head.empty()) {
    const auto stop = head.find("\r\n");
    const std::string line = head.substr(0, stop);
    head.erase(0, stop + 2);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      aMessage.mHeaders.emplace_back(line.substr(0, colon),
                                     Trim(line.substr(colon + 1)));
    }
  }
  return true;
}

bool
Channel::ReadBody(Message& aMessage,
                  double aDeadline,
                  bool aIsAnswer,
                  const std::function<bool(const std::string&)>& aOnBody)
{
  const auto take = [&](std::size_t aSize) {
    const std::string part = mInput.substr(0, aSize);
    mInput.erase(0, part.size());
    aMessage.mBody += part;
    return part.empty() || !aOnBody || aOnBody(part);
  };
  if (aMessage.Header("Transfer-Encoding") == "chunked") {
    while (true) {
      std::size_t end = 0;
      while ((end = mInput.find("\r\n")) == std::string::npos) {
        if (!Fill(aDeadline)) {
          return false;
        }
      }
      const std::size_t size = std::stoul(mInput.substr(0, end), nullptr, 16);
      mInput.erase(0, end + 2);
      while (mInput.size() < size + 2) {
        if (!Fill(aDeadline)) {
          return false;
        }
      }
      const bool goesOn = take(size);
      mInput.erase(0, 2);
      if (size == 0) {
        return true;
      }
      if (!goesOn) {
        return false;
      }
    }
  }
  const std::string length = aMessage.Header("Content-Length");
  if (!length.empty()) {
    std::size_t left = std::stoul(length);
    while (left > 0) {
      if (mInput.empty() && !Fill(aDeadline)) {
        return false;
      }
      const std::size_t n = std::min(left, mInput.size());
      if (!take(n)) {
        return false;
      }
      left -= n;
    }
    return true;
  }
  if (!aIsAnswer || aMessage.mStatus == 204 || aMessage.mStatus == 304) {
    return true;
  }
  aMessage.mIsUnframed = true;
  while (true) {
    if (!mInput.empty() && !take(mInput.size())) {
      return false;
    }
    if (!Fill(aDeadline)) {
      return mIsEnded;
    }
  }
}

bool
Channel::ReadRequest(Message& aRequest)
{
  std::string line;
  if (!ReadHead(aRequest, kForever, line)) {
    return false;
  }
  aRequest.mMethod = line.substr(0, line.find(' '));
  line.erase(0, aRequest.mMethod.size() + 1);
  aRequest.mTarget = line.substr(0, line.find(' '));
  aRequest.mIsComplete = ReadBody(aRequest, kForever, false, {});
  return aRequest.mIsComplete;
}

bool
Channel::ReadAnswer(Message& aAnswer,
                    double aDeadline,
                    const std::function<bool(const std::string&)>& aOnBody)
{
  std::string line;
  if (!ReadHead(aAnswer, aDeadline, line) || line.size() < 12) {
    return false;
  }
  aAnswer.mStatus = std::stoi(line.substr(9, 3));
  aAnswer.mIsComplete = ReadBody(aAnswer, aDeadline, true, aOnBody);
  return aAnswer.mIsComplete;
}

bool
Channel::Answer(int aStatus,
                std::vector<std::pair<std::string, std::string>> aHeaders,
                const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n";
  aHeaders.emplace_back("Content-Length", std::to_string(aBody.size()));
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return Write(text + "\r\n" + aBody);
}

void
Channel::Close()
{
  if (mSocket >= 0) {
    close(std::exchange(mSocket, -1));
  }
}

void
Channel::Reset()
{
  if (mSocket >= 0) {
    const linger abort{ 1, 0 };
    setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    Close();
  }
}

void
Channel::Shutdown()
{
  if (mSocket >= 0) {
    shutdown(mSocket, SHUT_RDWR);
  }
}

Server::Server(const std::string& aHost, Handler aHandler)
  : mHost(aHost)
  , mHandler(std::move(aHandler))
{
  Listen();
}

Server::~Server()
{
  Kill();
  while (mThreads > 0) {
    SleepMs(1);
  }
}

void
Server::Listen()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mListener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int isOn = 1;
  setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof(isOn));
  sockaddr_in address = ParseSocketAddress(mHost + ":" + std::to_string(mPort));
  socklen_t size = sizeof(address);
  if (bind(mListener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(mListener, 1024) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size);
  mPort = ntohs(address.sin_port);
  mAddress = mHost + ":" + std::to_string(mPort);
  ++mThreads;
  std::thread([this, listener = mListener] { Accept(listener); }).detach();
}

void
Server::Accept(int aListener)
{
  while (true) {
    const int handle = accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (handle < 0) {
      break;
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mListener != aListener) {
      close(handle);
      break;
    }
    mSockets.insert(handle);
    ++mThreads;
    std::thread([this, handle, generation = mGeneration] {
      Serve(handle, generation);
    }).detach();
  }
  close(aListener);
  --mThreads;
}

void
Server::Serve(int aSocket, std::uint64_t aGeneration)
{
  {
    Channel channel(aSocket);
    while (true) {
      Message request;
      if (!channel.ReadRequest(request) || !mHandler(channel, request)) {
        break;
      }
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    if (aGeneration == mGeneration) {
      mSockets.erase(aSocket);
    }
    channel.Close();
  }
  --mThreads;
}

void
Server::Kill()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mListener >= 0) {
    shutdown(std::exchange(mListener, -1), SHUT_RDWR);
  }
  for (const int it : mSockets) {
    shutdown(it, SHUT_RDWR);
  }
  mSockets.clear();
  ++mGeneration;
}

void
Server::Restart()
{
  Listen();
}

int
FreePort(const std::string& aHost)
{
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = ParseSocketAddress(aHost + ":0");
  socklen_t size = sizeof(address);
  bind(handle, reinterpret_cast<sockaddr*>(&address), size);
  getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size);
  close(handle);
  return ntohs(address.sin_port);
}

Record::Record(const std::string& aPath)
  : mFile(std::fopen(aPath.c_str(), "w"))
{
  if (mFile == nullptr) {
    std::perror(aPath.c_str());
    std::exit(2);
  }
}

Record::~Record()
{
  std::fclose(mFile);
}

void
Record::Add(const std::string& aLine)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::fprintf(mFile, "%10.1f ms  %s\n", Now(), aLine.c_str());
  std::fflush(mFile);
}

} // namespace review
