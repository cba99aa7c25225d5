#ifndef BULRUSHFOLD_NET_HTTPSERVER_H
#define BULRUSHFOLD_NET_HTTPSERVER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "Base/Clock.h"
#include "Net/EventLoop.h"
#include "Net/HttpExchange.h"
#include "Net/HttpParser.h"
#include "Settings/Settings.h"
#include "absl/status/status.h"

struct evconnlistener;

namespace bulrushfold {

class HttpServerConnection;

/** Bounds of a server. */
struct HttpServerLimits
{
  std::size_t mMaxHeaderBytes = 16 * 1024;
  std::size_t mMaxBodyBytes = 64 * 1024 * 1024;
  /** Longest time from the first byte of a request to the end of its head. */
  Duration mHeaderTimeout = std::chrono::seconds(30);
  /** Longest silence while a body arrives. */
  Duration mReadTimeout = std::chrono::seconds(30);
  /** Longest time for which a connection stays open without a request. */
  Duration mIdleTimeout = std::chrono::seconds(30);
  /** Longest time in which the other side accepts no byte of the reply. */
  Duration mWriteTimeout = std::chrono::seconds(30);
  /** Connections open at once; further ones wait in the kernel's queue. */
  std::size_t mMaxConnections = 10'000;
};

/** A request that the server refused without passing it to the handler. */
struct HttpRefusal
{
  int mStatus = 0;
  std::string_view mReason;
  /** As far as it was read. */
  const HttpHead& mHead;
};

/** HTTP/1.1 server on the event loop. */
class HttpServer
{
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;
  using RefusalHook = std::function<void(const HttpRefusal&)>;

  HttpServer(EventLoop& aLoop, HttpServerLimits aLimits, Handler aHandler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /** Listens at aAddress; an error names the address and the reason. */
  absl::Status Listen(const SocketAddress& aAddress);
  /** Stops accepting connections; exchanges in progress go on. */
  void StopListening();
  /** From now on each reply announces that its connection closes. */
  void BeginDraining() { mIsDraining = true; }
  /** Closes connections that carry no request. */
  void CloseIdle();
  void OnRefused(RefusalHook aHook) { mRefusalHook = std::move(aHook); }
  void SetLimits(const HttpServerLimits& aLimits) { mLimits = aLimits; }

  const HttpServerLimits& Limits() const { return mLimits; }
  bool IsDraining() const { return mIsDraining; }
  std::size_t Connections() const { return mConnections.size(); }

  // For the connections.
  void HandleExchange(std::shared_ptr<HttpExchange> aExchange);
  void ReportRefusal(const HttpRefusal& aRefusal);

private:
  void Accept(int aSocket, std::string aCallerAddress);
  void RemoveConnection(std::uint64_t aConnectionId);

  EventLoop& mLoop;
  HttpServerLimits mLimits;
  Handler mHandler;
  RefusalHook mRefusalHook;
  evconnlistener* mListener = nullptr;
  bool mIsDraining = false;
  bool mIsAccepting = true;
  std::uint64_t mNextConnectionId = 1;
  std::map<std::uint64_t, std::unique_ptr<HttpServerConnection>> mConnections;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

} // namespace bulrushfold

#endif
