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
  /** The complete reply was received. */
  Complete,
  /** The connection could not be opened; no byte of the request was sent. */
  ConnectFailed,
  /** The server made no progress within HttpCallRequest::mReadTimeout. */
  ReadTimeout,
  /** The connection closed before the reply was complete. */
  ConnectionLost,
  /** The reply is not valid HTTP or is too large. */
  InvalidReply,
  /** The call did not end within HttpCallRequest::mTotalTimeout. */
  TotalTimeout,
  /** The unfinished replies of all calls exceeded the memory limit of the
   * client, and this one was the largest. */
  MemoryLimit,
};

/** Name of aResult in logs and metrics. */
std::string_view HttpCallResultName(HttpCallResult aResult);

/** A call to an HTTP server. */
struct HttpCallRequest
{
  SocketAddress mAddress;
  /**
   * Identity of the server at mAddress. A connection is only reused for calls
   * with the same identity, so that a server that replaces another one at the
   * same address gets new connections.
   */
  std::string mServer;
  HttpMethod mMethod = HttpMethod::Get;
  /** Path and query, percent-encoded. */
  std::string mTarget;
  HttpHeaders mHeaders;
  std::string mBody;
  Duration mConnectTimeout = std::chrono::milliseconds(500);
  /** Longest time without a byte of the reply received, or without a byte of
   * the request accepted by the server. */
  Duration mReadTimeout = std::chrono::seconds(30);
  /** Longest time from the start of the call to the end of the reply, however
   * many bytes arrive; zero for no limit. */
  Duration mTotalTimeout{};
  /**
   * Longest idle time of a connection that may be reused; with zero, the call
   * always opens a new connection. The server may already have closed a
   * connection from the pool, and then it is unknown whether it received the
   * request.
   */
  Duration mMaxIdleTime = std::chrono::seconds(5);
  /** The call does not reuse a connection that received an error reply that
   * was not confirmed with HttpCall::ConfirmReply, because a faulty server may
   * send that reply once more. */
  bool mNeedsUnambiguousReply = false;
  std::size_t mMaxBodyBytes = 256 * 1024 * 1024;
  /** Rate limit for reading the reply, to test slow readers; 0: unlimited. */
  std::size_t mReadBytesPerSecond = 0;
};

/** Reply of an HTTP server. */
struct HttpCallReply
{
  HttpCallResult mResult = HttpCallResult::ConnectFailed;
  /** 0 when no status line was received. */
  int mStatus = 0;
  HttpHeaders mHeaders;
  /** Empty when HttpCallHooks::mOnChunk received the body. */
  std::string mBody;
  /** The call used a connection from the pool. */
  bool mIsReused = false;
};

/** Callbacks of a call. */
struct HttpCallHooks
{
  /** Called once with status and headers, before any chunk. Optional. */
  std::function<void(int, const HttpHeaders&)> mOnHeaders;
  /** Called for each received part of the body. Optional. */
  std::function<void(std::string_view)> mOnChunk;
  /** Called once when the call has ended. Required. */
  std::function<void(HttpCallReply)> mOnDone;
};

/**
 * A call in progress; destroying it cancels the call without callbacks and
 * closes its connection.
 */
class HttpCall
{
public:
  /** aCallId: identifies the call among the calls of aConnection. aIsReused:
   * aConnection is from the pool. */
  HttpCall(std::weak_ptr<HttpClientConnection> aConnection,
           std::uint64_t aCallId,
           bool aIsReused)
    : mConnection(std::move(aConnection))
    , mCallId(aCallId)
    , mIsReused(aIsReused)
  {
  }
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;
  ~HttpCall();

  /** Pauses or resumes reading of the reply, as backpressure from a receiver
   * that is slower than the server. */
  void SetReading(bool aIsReading);
  /** States how many bytes of the chunks received so far the owner of the call
   * keeps in memory. */
  void SetKeptBytes(std::size_t aBytes);
  /** States that the error reply of this call names its request, so that the
   * reply cannot be mistaken for that of a later call. */
  void ConfirmReply();
  /** The call uses a connection from the pool. */
  bool IsReused() const { return mIsReused; }
  /** False while the connection is being established, so that no byte of the
   * request was sent. */
  bool IsConnected() const;

private:
  std::weak_ptr<HttpClientConnection> mConnection;
  std::uint64_t mCallId;
  bool mIsReused;
};

/** Counters of a client since its construction. */
struct HttpClientStatistics
{
  /** Calls that opened a new connection. */
  std::size_t mOpenedConnections = 0;
  /** Calls that used a connection from the pool. */
  std::size_t mReusedConnections = 0;
};

/** HTTP/1.1 client on the event loop, with a pool of idle connections. */
class HttpClient
{
public:
  /** aMaxReplyBytes: memory that the unfinished replies of all calls may use
   * together. When they use more, the call with the largest one is ended,
   * because a server that sends without end is more likely to be its cause. */
  explicit HttpClient(EventLoop& aLoop,
                      std::size_t aMaxReplyBytes = kDefaultMaxReplyBytes);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Starts a call. The hooks run in later iterations of the loop. */
  std::unique_ptr<HttpCall> Start(HttpCallRequest aRequest,
                                  HttpCallHooks aHooks);
  /** Closes the idle connections to aAddress. */
  void CloseIdle(const SocketAddress& aAddress);
  const HttpClientStatistics& Statistics() const { return mStatistics; }
  /** Memory that unfinished replies use. */
  std::size_t ReplyBytes() const { return mReplyBytes; }

  // Called by HttpClientConnection.
  /** Adds a connection whose call has ended to the pool of idle ones. */
  void ReturnToPool(HttpClientConnection& aConnection);
  /** Removes a closed connection. */
  void RemoveConnection(HttpClientConnection& aConnection);
  /** The reply on a connection uses aNew bytes of memory instead of aOld. */
  void OnReplyBytes(std::size_t aOld, std::size_t aNew);

private:
  static constexpr std::size_t kDefaultMaxReplyBytes = 256 * 1024 * 1024;

  using ServerKey = std::pair<SocketAddress, std::string>;
  using ConnectionList = std::list<std::shared_ptr<HttpClientConnection>>;

  /** Removes a reusable connection from the pool; nullptr if there is none. */
  std::shared_ptr<HttpClientConnection> AcquireIdle(
    const HttpCallRequest& aRequest);
  void CloseExpiredIdle();
  /** Ends calls until the replies of the others fit into the limit. */
  void EndLargestReplies();
  /** Starts the timer for CloseExpiredIdle unless it is running. */
  void ScheduleSweep();

  EventLoop& mLoop;
  SystemClock mClock;
  HttpClientStatistics mStatistics;
  std::size_t mMaxReplyBytes;
  std::size_t mReplyBytes = 0;
  bool mIsLimitCheckScheduled = false;
  std::map<HttpClientConnection*, std::shared_ptr<HttpClientConnection>>
    mBusyConnections;
  /** The most recently used connection of a list is last. */
  std::map<ServerKey, ConnectionList> mIdleConnections;
  EventHandle mSweepTimer;
  bool mIsSweepScheduled = false;
};

} // namespace bulrushfold

#endif
