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
#include "Net/BodyMemory.h"
#include "Net/EventLoop.h"
#include "Net/HttpExchange.h"
#include "Net/HttpParser.h"
#include "Settings/Settings.h"
#include "absl/status/status.h"

struct evconnlistener;

namespace bulrushfold {

class HttpServerConnection;

/** Limits of a server. */
struct HttpServerLimits
{
  std::size_t mMaxHeaderBytes = 16 * 1024;
  std::size_t mMaxBodyBytes = 64 * 1024 * 1024;
  /** Memory for the bodies of all requests, in bytes; see BodyMemory. */
  std::size_t mMaxBodyMemory = 256 * 1024 * 1024;
  /** Longest time from the first byte of a request to the end of its head. */
  Duration mHeaderTimeout = std::chrono::seconds(30);
  /** Longest time without a received byte while the body is incomplete. */
  Duration mReadTimeout = std::chrono::seconds(30);
  /** Longest time that a connection stays open without a request. */
  Duration mIdleTimeout = std::chrono::seconds(30);
  /** Longest time without a byte of the reply accepted by the caller. */
  Duration mWriteTimeout = std::chrono::seconds(30);
  /** Open connections; further ones wait in the accept queue of the kernel. */
  std::size_t mMaxConnections = 10'000;
};

/** A request that the server refused without calling the handler. */
struct HttpRefusal
{
  int mStatus = 0;
  std::string_view mReason;
  /** Head of the request, as far as it was parsed. */
  const HttpHead& mHead;
};

/** Work of a server that is not finished. */
struct HttpServerWork
{
  /** Connections that receive a request or send a reply. */
  std::size_t mBusyConnections = 0;
  /** Reply bytes that are not yet written to the sockets. */
  std::size_t mUnsentBytes = 0;
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

  /** Listens at aAddress; the error text names the address and the reason. */
  absl::Status Listen(const SocketAddress& aAddress);
  /** Stops accepting connections; exchanges in progress continue. */
  void StopListening();
  /** Makes each further reply carry "Connection: close" and close its
   * connection. */
  void BeginDraining() { mIsDraining = true; }
  /** Closes the connections without a request in progress, and each of the
   * others after its reply has been sent. */
  void CloseIdle();
  /** Sets a hook that is called for each refused request. */
  void OnRefused(RefusalHook aHook) { mRefusalHook = std::move(aHook); }
  void SetLimits(const HttpServerLimits& aLimits);

  const HttpServerLimits& Limits() const { return mLimits; }
  bool IsDraining() const { return mIsDraining; }
  std::size_t Connections() const { return mConnections.size(); }
  /** Takes time in proportion to the number of connections. */
  HttpServerWork UnfinishedWork() const;
  /** Bytes that the bodies of all requests use. */
  std::size_t BodyBytes() const { return mBodyMemory->Used(); }

  // Called by HttpServerConnection.
  void HandleExchange(std::shared_ptr<HttpExchange> aExchange);
  void ReportRefusal(const HttpRefusal& aRefusal);
  /** Adds a request body to the account of memory. */
  BodyTicket AddBody(BodyMemory::DecisionHook aHook);

private:
  /** Decides on the bodies that wait for memory, in a later iteration of the
   * loop. */
  void ScheduleBodyDecision();
  void DecideOnBodies();
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
  SystemClock mClock;
  /** Exchanges, which may outlive the server, share it. */
  std::shared_ptr<BodyMemory> mBodyMemory;
  bool mIsDecisionScheduled = false;
  EventHandle mBodyTimer;
};

} // namespace bulrushfold

#endif
