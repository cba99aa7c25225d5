#ifndef BULRUSHFOLD_NET_HTTPSERVER_H
#define BULRUSHFOLD_NET_HTTPSERVER_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Base/Clock.h"
#include "Net/EventLoop.h"
#include "Net/HttpMessage.h"
#include "Settings/Settings.h"
#include "absl/status/status.h"

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace bulrushfold {

/**
 * One request and its reply. The reply is either whole (Reply) or streamed
 * (StartStream, SendChunk, EndStream). After the caller has closed the
 * connection all calls are accepted and do nothing.
 */
class HttpExchange
{
public:
  HttpExchange(evhttp_request* aRequest,
               HttpRequest aMessage,
               std::shared_ptr<const bool> aServerIsAlive);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  ~HttpExchange();

  const HttpRequest& Request() const { return mMessage; }

  /** Sends a whole reply. */
  void Reply(int aStatus, const HttpHeaders& aHeaders, std::string_view aBody);
  /** Sends status and headers of a streamed reply. */
  void StartStream(int aStatus, const HttpHeaders& aHeaders);
  void SendChunk(std::string_view aData);
  /** Marks the end of a streamed reply. */
  void EndStream();
  /** Closes the connection, so that a streamed reply ends visibly broken. */
  void Abort();

  /** True once the reply is complete or the connection is closed. */
  bool IsOver() const { return mRequest == nullptr; }
  bool HasStarted() const { return mStarted; }
  /** Reply bytes that the connection has not accepted yet. */
  std::size_t PendingBytes() const;
  /** Called once if the connection closes before the reply is complete. */
  void OnClosed(std::function<void()> aHook) { mClosedHook = std::move(aHook); }

private:
  friend class HttpServer;
  void HandleClosed();
  /** Forgets the library's request after its reply is complete. */
  evhttp_request* Release();

  evhttp_request* mRequest;
  HttpRequest mMessage;
  std::shared_ptr<const bool> mServerIsAlive;
  bool mStarted = false;
  std::function<void()> mClosedHook;
};

/** Bounds of a server. */
struct HttpServerLimits
{
  std::size_t mMaxHeaderBytes = 16 * 1024;
  std::size_t mMaxBodyBytes = 64 * 1024 * 1024;
  /** Longest silence while a request arrives. */
  Duration mReadTimeout = std::chrono::seconds(30);
  /** Longest time in which the other side accepts no byte of the reply. */
  Duration mWriteTimeout = std::chrono::seconds(30);
};

/** HTTP/1.1 server on the event loop. */
class HttpServer
{
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpServer(EventLoop& aLoop, HttpServerLimits aLimits, Handler aHandler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /** Listens at aAddress; an error names the address and the reason. */
  absl::Status Listen(const SocketAddress& aAddress);
  /** Stops accepting connections; exchanges in progress go on. */
  void StopListening();

private:
  static void HandleRequest(evhttp_request* aRequest, void* aServer);
  static void HandleComplete(evhttp_request* aRequest, void* aServer);
  void Accept(evhttp_request* aRequest);
  /** Sets up the connection for the time in which a reply is owed. */
  void PrepareForReply(evhttp_request* aRequest);

  evhttp* mHttp;
  HttpServerLimits mLimits;
  Handler mHandler;
  evhttp_bound_socket* mSocket = nullptr;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

} // namespace bulrushfold

#endif
