#ifndef BULRUSHFOLD_NET_HTTPSERVERCONNECTION_H
#define BULRUSHFOLD_NET_HTTPSERVERCONNECTION_H

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Net/EventLoop.h"
#include "Net/HttpExchange.h"
#include "Net/HttpParser.h"
#include "Net/HttpServer.h"

struct bufferevent;

namespace bulrushfold {

/** One connection of a caller: reads requests one after the other. */
class HttpServerConnection
{
public:
  /** aOnClosed is called once; it must not destroy the connection at once. */
  HttpServerConnection(EventLoop& aLoop,
                       int aSocket,
                       std::string aCallerAddress,
                       HttpServer& aServer,
                       std::function<void()> aOnClosed);
  HttpServerConnection(const HttpServerConnection&) = delete;
  HttpServerConnection& operator=(const HttpServerConnection&) = delete;
  ~HttpServerConnection();

  // For the exchange in progress.
  void Write(std::string_view aData);
  std::size_t PendingBytes() const;
  /** Called before the head of a reply: true when the connection closes after
   * it, which the head must say. */
  bool ShouldCloseAfterReply();
  void CloseAfterReply() { mClosesAfterReply = true; }
  /** The reply is complete. */
  void FinishExchange();
  /** Sends what was written, then closes without the end of the reply. */
  void AbortReply();
  /** Closes with a reset, so that nothing sent so far looks complete. */
  void Reset();

  /** True while no request is being read or answered. */
  bool IsIdle() const;
  void Close();

private:
  static void HandleRead(bufferevent* aBufferevent, void* aSelf);
  static void HandleWritten(bufferevent* aBufferevent, void* aSelf);
  static void HandleEvent(bufferevent* aBufferevent,
                          short aEvents,
                          void* aSelf);

  /** Feeds what has arrived to the parser. */
  void Read();
  void DeferRead();
  void HandleHead();
  void HandleRequest();
  /** Answers a request that was not accepted and closes. */
  void Refuse(int aStatus, std::string_view aReason);
  void RefuseForParseError(HttpParseError aError);
  /** Ends sending, then discards input until the other side closes. Closing
   * with unread bytes would reset the connection and lose the reply. */
  void BeginLingeringClose();
  void SetDeadline(Instant aDeadline);
  void ArmTimer(Instant aDueAt);
  void HandleTimer();
  bool HasExchange() const { return mExchange != nullptr; }

  EventLoop& mLoop;
  std::string mCallerAddress;
  HttpServer& mServer;
  std::function<void()> mOnClosed;
  SystemClock mClock;
  bufferevent* mBufferevent;
  HttpParser mParser;
  std::string mBody;
  /** The exchange that waits for its reply; it belongs to the handler. */
  HttpExchange* mExchange = nullptr;
  Instant mArrival;
  /** When the connection closes unless the state changes. */
  Instant mDeadline;
  EventHandle mTimer;
  std::optional<Instant> mTimerDueAt;
  bool mClosesAfterReply = false;
  bool mIsLingering = false;
  bool mIsReadDeferred = false;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

} // namespace bulrushfold

#endif
