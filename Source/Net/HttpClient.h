#ifndef BULRUSHFOLD_NET_HTTPCLIENT_H
#define BULRUSHFOLD_NET_HTTPCLIENT_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "Base/Clock.h"
#include "Net/EventLoop.h"
#include "Net/HttpMessage.h"
#include "Settings/Settings.h"

namespace bulrushfold {

class HttpClientConnection;

/** How a call to an HTTP server ended. */
enum class HttpCallResult
{
  /** A whole reply arrived. */
  Complete,
  /** No connection came about; no byte of the request was sent. */
  ConnectFailed,
  /** No byte arrived within the silence bound. */
  ReadTimeout,
  /** The connection closed before the reply was complete. */
  ConnectionLost,
  /** The reply is not valid HTTP or is too large. */
  InvalidReply,
};

/** Name of aResult in logs and metrics. */
std::string_view HttpCallResultName(HttpCallResult aResult);

/** A call to an HTTP server. */
struct HttpCallRequest
{
  SocketAddress mAddress;
  /**
   * Who is expected at mAddress. Connections are only reused for calls to the
   * same server, so that a successor at the address gets new ones.
   */
  std::string mServer;
  HttpMethod mMethod = HttpMethod::Get;
  /** Path and query, encoded. */
  std::string mTarget;
  HttpHeaders mHeaders;
  std::string mBody;
  Duration mConnectTimeout = std::chrono::milliseconds(500);
  /** Longest wait between two reads of the reply. */
  Duration mReadTimeout = std::chrono::seconds(30);
  /**
   * Longest idle time of a connection that may be reused; zero always opens a
   * new one. A connection from the pool may already be closed, and then it is
   * unknown whether the request was received.
   */
  Duration mMaxIdleTime = std::chrono::seconds(5);
  std::size_t mMaxBodyBytes = 256 * 1024 * 1024;
  /** Rate at which the reply is read, for tests of slow readers; 0: no limit.
   */
  std::size_t mReadBytesPerSecond = 0;
};

/** Reply of an HTTP server. */
struct HttpCallReply
{
  HttpCallResult mResult = HttpCallResult::ConnectFailed;
  /** 0 when no status line arrived. */
  int mStatus = 0;
  HttpHeaders mHeaders;
  /** Empty when the chunk hook took the body. */
  std::string mBody;
  /** The connection had served a call before. */
  bool mIsReused = false;
};

/** Callbacks of a call. */
struct HttpCallHooks
{
  /** Called once with status and headers, before any chunk. Optional. */
  std::function<void(int, const HttpHeaders&)> mOnHeaders;
  /** Called for each part of the body. Optional. */
  std::function<void(std::string_view)> mOnChunk;
  /** Called once at the end. */
  std::function<void(HttpCallReply)> mOnDone;
};

/**
 * A call in progress; destroying it cancels the call without callbacks and
 * closes its connection.
 */
class HttpCall
{
public:
  /** aNumber: of the call among those of aConnection. */
  HttpCall(std::weak_ptr<HttpClientConnection> aConnection,
           std::uint64_t aNumber)
    : mConnection(std::move(aConnection))
    , mNumber(aNumber)
  {
  }
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;
  ~HttpCall();

  /** Stops reading the reply, or goes on, to match a slow receiver. */
  void SetReading(bool aIsReading);

private:
  std::weak_ptr<HttpClientConnection> mConnection;
  std::uint64_t mNumber;
};

/** Connections since the start of the client. */
struct HttpClientStatistics
{
  std::size_t mOpened = 0;
  std::size_t mReused = 0;
};

/** HTTP/1.1 client on the event loop, with a pool of idle connections. */
class HttpClient
{
public:
  explicit HttpClient(EventLoop& aLoop);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Starts a call. Hooks run in later turns of the loop. */
  std::unique_ptr<HttpCall> Start(HttpCallRequest aRequest,
                                  HttpCallHooks aHooks);
  /** Closes the idle connections to aAddress. */
  void CloseIdle(const SocketAddress& aAddress);
  const HttpClientStatistics& Statistics() const { return mStatistics; }

  // For the connections.
  /** The call is over and the connection may serve another one. */
  void GiveBack(HttpClientConnection& aConnection);
  /** The connection is closed. */
  void Forget(HttpClientConnection& aConnection);

private:
  using ServerKey = std::pair<SocketAddress, std::string>;
  using ConnectionList = std::list<std::shared_ptr<HttpClientConnection>>;

  std::shared_ptr<HttpClientConnection> TakeIdle(
    const HttpCallRequest& aRequest);
  void CloseStaleIdle();
  void ArmSweep();

  EventLoop& mLoop;
  SystemClock mClock;
  HttpClientStatistics mStatistics;
  std::map<HttpClientConnection*, std::shared_ptr<HttpClientConnection>> mBusy;
  /** The most recently used connection is last. */
  std::map<ServerKey, ConnectionList> mIdle;
  EventHandle mSweepTimer;
  bool mIsSweepArmed = false;
};

} // namespace bulrushfold

#endif
