#ifndef BULRUSHFOLD_NET_HTTPSERVERCONNECTION_H
#define BULRUSHFOLD_NET_HTTPSERVERCONNECTION_H

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Net/BodyMemory.h"
#include "Net/EventLoop.h"
#include "Net/HttpExchange.h"
#include "Net/HttpParser.h"
#include "Net/HttpServer.h"

struct bufferevent;

namespace bulrushfold {

/** A connection of a caller; handles one request at a time. */
class HttpServerConnection
{
public:
  /** aOnClosed is called once, when the connection closes. It must not destroy
   * the connection before it returns. */
  HttpServerConnection(EventLoop& aLoop,
                       int aSocket,
                       std::string aCallerAddress,
                       HttpServer& aServer,
                       std::function<void()> aOnClosed);
  HttpServerConnection(const HttpServerConnection&) = delete;
  HttpServerConnection& operator=(const HttpServerConnection&) = delete;
  ~HttpServerConnection();

  // Called by the exchange in progress.
  void Write(std::string_view aData);
  std::size_t PendingBytes() const;
  /** Called before the head of a reply is written. Returns true when the
   * connection closes after this reply; the head must then contain
   * "Connection: close". */
  bool ShouldCloseAfterReply();
  /** Makes the connection close after the current reply. */
  void CloseAfterReply() { mClosesAfterReply = true; }
  /** Called when the reply is complete. */
  void FinishExchange();
  /** Sends the bytes already written, then closes the connection without
   * completing the reply. */
  void AbortReply();
  /** Closes the connection with a TCP reset, so that a truncated reply without
   * a length does not look complete to the caller. */
  void Reset();

  /** True while no request is being received or answered. */
  bool IsIdle() const;
  /** True while a request is being received, or while a reply is not completely
   * written to the socket. */
  bool IsBusy() const;
  void Close();
  /** Closes the connection at once if it is idle, else after the reply to the
   * present request has been sent. */
  void CloseWhenSent();

private:
  static void HandleRead(bufferevent* aBufferevent, void* aSelf);
  static void HandleWritten(bufferevent* aBufferevent, void* aSelf);
  static void HandleEvent(bufferevent* aBufferevent,
                          short aEvents,
                          void* aSelf);

  /** Feeds the received bytes to the parser. */
  void Read();
  /** Calls Read in a later iteration of the loop. */
  void DeferRead();
  void HandleHead();
  void HandleBody(std::string_view aData);
  /** Continues after the parser has consumed received bytes. */
  void HandleParsed(bool aIsFirst);
  void HandleRequest();
  /** Requests the memory of the body that is being received. Returns false
   * when the request has to wait or was refused. */
  bool ReserveBody();
  void HandleBodyDecision(BodyVerdict aVerdict);
  void PauseReading();
  void ResumeReading();
  /** Frees the memory of a body that was not handed over. */
  void DiscardBody();
  /** Refuses the current request with status aStatus, then closes the
   * connection. */
  void Refuse(int aStatus, std::string_view aReason);
  void RefuseForParseError(HttpParseError aError);
  /** Shuts down sending, then discards input until the caller closes the
   * connection. Closing a socket with unread input would reset the connection,
   * and the caller could lose the reply. */
  void BeginLingeringClose();
  /** Sets mDeadline, and arms the timer unless it is due earlier. */
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
  /** Length of the body as its head states it; 0: it states none. */
  std::size_t mAnnouncedBytes = 0;
  /** Set while a body is being received. */
  BodyTicket mBodyTicket;
  /** Reading is stopped until there is memory for the body. */
  bool mIsPaused = false;
  /** Exchange whose reply is not complete; the handler owns it. */
  HttpExchange* mExchange = nullptr;
  Instant mArrival;
  /** Time at which the connection times out unless its state changes. */
  Instant mDeadline;
  /** End of the time for sending the rest of a reply. */
  Instant mSendDeadline;
  EventHandle mTimer;
  /** Time at which mTimer fires; it may be earlier than mDeadline. */
  std::optional<Instant> mTimerDueAt;
  bool mClosesAfterReply = false;
  bool mIsLingering = false;
  bool mIsReadDeferred = false;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
};

} // namespace bulrushfold

#endif
