#ifndef BULRUSHFOLD_NET_HTTPEXCHANGE_H
#define BULRUSHFOLD_NET_HTTPEXCHANGE_H

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "Base/Clock.h"
#include "Net/HttpMessage.h"

namespace bulrushfold {

class HttpServerConnection;

/**
 * One request and its reply. The reply is either whole (Reply) or streamed
 * (StartStream, SendChunk, EndStream). After the caller has closed the
 * connection all calls are accepted and do nothing.
 */
class HttpExchange
{
public:
  /**
   * aArrival: when the first byte of the request was read.
   * aCaller: address of the other side, without its port.
   */
  HttpExchange(HttpServerConnection& aConnection,
               std::string aCaller,
               HttpRequest aMessage,
               Instant aArrival,
               bool aIsVersion11);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  ~HttpExchange();

  const HttpRequest& Request() const { return mMessage; }
  Instant Arrival() const { return mArrival; }
  const std::string& CallerAddress() const { return mCaller; }

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
  bool IsFinished() const { return mConnection == nullptr; }
  bool HasStarted() const { return mStarted; }
  /** Reply bytes that the connection has not accepted yet. */
  std::size_t PendingBytes() const;
  /** Called once if the connection closes before the reply is complete. */
  void OnClosed(std::function<void()> aHook) { mClosedHook = std::move(aHook); }

private:
  friend class HttpServerConnection;
  /** The connection is gone. */
  void HandleClosed();
  /** Ends the exchange and lets the connection go on. */
  void Finish();
  void WriteHead(int aStatus,
                 const HttpHeaders& aHeaders,
                 std::string_view aFraming);
  bool MayHaveBody(int aStatus) const;

  HttpServerConnection* mConnection;
  std::string mCaller;
  HttpRequest mMessage;
  Instant mArrival;
  bool mIsVersion11;
  bool mStarted = false;
  /** A streamed reply is sent in chunks; else it ends with the connection. */
  bool mIsChunked = false;
  bool mIsBodyAllowed = true;
  std::function<void()> mClosedHook;
};

} // namespace bulrushfold

#endif
