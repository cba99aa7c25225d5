#ifndef REVIEW_STANDINS_2_HTTP_H
#define REVIEW_STANDINS_2_HTTP_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

/** A small HTTP/1.1 server and client with blocking sockets. */
namespace standins {

/** Milliseconds since the start of this process. */
double NowMs();
void SleepMs(double aMs);

struct Request
{
  std::string mMethod;
  /** Path and query. */
  std::string mTarget;
  std::string mPath;
  std::map<std::string, std::string> mQuery;
  /** Names in lower case. */
  std::map<std::string, std::string> mHeaders;
  std::string mBody;

  std::string Header(const std::string& aName) const;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/** The answer side of one connection. */
class Answer
{
public:
  explicit Answer(int aSocket)
    : mSocket(aSocket)
  {
  }
  /** A complete answer with a length. */
  void Reply(int aStatus, const Headers& aHeaders, const std::string& aBody);
  /** Starts an answer in chunks. False when the peer is gone. */
  bool Begin(int aStatus, const Headers& aHeaders);
  bool Chunk(const std::string& aData);
  void End();
  /** Sends bytes that need not be an answer. */
  bool Raw(const std::string& aData) { return Write(aData); }
  /** Closes the connection in order after what was sent. */
  void Graceful();
  /** Resets the connection. */
  void Abort();
  /** The peer has closed its side. */
  bool IsClosed() const;

private:
  bool Write(const std::string& aData);
  int mSocket;
  bool mHasFailed = false;
};

/** Serves each connection by a thread of its own. */
class Server
{
public:
  using Handler = std::function<void(const Request&, Answer&)>;

  /** Listens at aHost, at a free port. */
  Server(std::string aHost, Handler aHandler);
  ~Server();
  std::string Address() const;
  int Port() const { return mPort; }
  /** Closes the listening socket and resets all connections. */
  void Stop();
  /** Listens again at the same port. */
  void Start();

private:
  void Accept(int aListener);
  void Serve(int aSocket);

  std::string mHost;
  Handler mHandler;
  int mPort = 0;
  int mListener = -1;
  std::thread mThread;
  std::mutex mMutex;
  std::set<int> mSockets;
  std::atomic<int> mThreads{ 0 };
};

struct Reply
{
  /** 0 when no complete answer arrived. */
  int mStatus = 0;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
};

/** Sends a request on a new connection, and reads the answer. */
Reply Call(const std::string& aHost,
           int aPort,
           const std::string& aMethod,
           const std::string& aTarget,
           const Headers& aHeaders,
           const std::string& aBody,
           double aTimeoutMs);

/** A port that is free at aHost at this moment. */
int FreePort(const std::string& aHost);
bool IsPortFree(const std::string& aHost, int aPort);

} // namespace standins

#endif
