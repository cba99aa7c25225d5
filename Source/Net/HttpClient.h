#ifndef BULRUSHFOLD_NET_HTTPCLIENT_H
#define BULRUSHFOLD_NET_HTTPCLIENT_H

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "Base/Clock.h"
#include "Net/EventLoop.h"
#include "Net/HttpMessage.h"
#include "Settings/Settings.h"

struct evhttp_connection;

namespace bulrushfold {

/** How a call to an HTTP server ended. */
enum class HttpCallResult
{
  /** A whole reply arrived. */
  Complete,
  /** No connection came about; no byte of the request was sent. */
  ConnectFailed,
  /** No byte arrived within the silence bound. */
  Silent,
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
  HttpMethod mMethod = HttpMethod::Get;
  /** Path and query, encoded. */
  std::string mTarget;
  HttpHeaders mHeaders;
  std::string mBody;
  Duration mConnectTimeout = std::chrono::milliseconds(500);
  /** Longest wait between two reads of the reply. */
  Duration mSilenceBound = std::chrono::seconds(30);
  /**
   * Always opens a connection of its own. Needed where "no byte was sent" must
   * be certain, because a connection from the pool may already be closed.
   */
  bool mFreshConnection = false;
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

/** A call in progress; destroying it cancels the call without callbacks. */
class HttpCall
{
public:
  struct State;
  explicit HttpCall(std::shared_ptr<State> aState);
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;
  ~HttpCall();

private:
  std::shared_ptr<State> mState;
};

/** HTTP/1.1 client on the event loop, with a pool of idle connections. */
class HttpClient
{
public:
  explicit HttpClient(EventLoop& aLoop);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  /** Starts a call. Hooks run in later turns of the loop. */
  std::unique_ptr<HttpCall> Start(HttpCallRequest aRequest,
                                  HttpCallHooks aHooks);
  /** Closes the idle connections to aAddress. */
  void DropIdle(const SocketAddress& aAddress);

private:
  friend class HttpCall;
  struct IdleConnection
  {
    evhttp_connection* mConnection = nullptr;
    Instant mSince;
  };
  evhttp_connection* TakeConnection(const HttpCallRequest& aRequest);
  void GiveBack(const SocketAddress& aAddress, evhttp_connection* aConnection);
  void DropConnection(evhttp_connection* aConnection,
                      std::shared_ptr<void> aCall);
  void FreeDropped();
  void CloseStaleIdle();

  EventLoop& mLoop;
  SystemClock mClock;
  std::map<SocketAddress, std::vector<IdleConnection>> mIdle;
  /** Connections to be freed in the next turn, with their calls. */
  std::map<evhttp_connection*, std::shared_ptr<void>> mDropped;
  EventHandle mIdleTimer;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

} // namespace bulrushfold

#endif
