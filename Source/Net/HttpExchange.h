#ifndef BULRUSHFOLD_NET_HTTPEXCHANGE_H
#define BULRUSHFOLD_NET_HTTPEXCHANGE_H

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "Base/Clock.h"
#include "Net/BodyMemory.h"
#include "Net/HttpMessage.h"

namespace bulrushfold {

class HttpServerConnection;

/**
 * One request and its reply. The reply is sent either at once (Reply) or as a
 * stream (StartStream, SendChunk, EndStream). After the connection has been
 * closed, these functions have no effect.
 */
class HttpExchange
{
public:
  /**
   * aArrival: time at which the first byte of the request was read.
   * aCallerAddress: IP address of the caller, without the port.
   * aBody: the memory of the body of aRequest, freed with the exchange.
   */
  HttpExchange(HttpServerConnection& aConnection,
               std::string aCallerAddress,
               HttpRequest aRequest,
               BodyTicket aBody,
               Instant aArrival,
               bool aIsVersion11);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  ~HttpExchange();

  const HttpRequest& Request() const { return mRequest; }
  Instant Arrival() const { return mArrival; }
  const std::string& CallerAddress() const { return mCallerAddress; }

  /** Sends a complete reply: status line, headers and body. */
  void Reply(int aStatus, const HttpHeaders& aHeaders, std::string_view aBody);
  /** Sends the status line and the headers of a streamed reply. */
  void StartStream(int aStatus, const HttpHeaders& aHeaders);
  void SendChunk(std::string_view aData);
  /** Ends a streamed reply. */
  void EndStream();
  /** Closes the connection without completing the reply, so that the caller
   * can detect that a streamed reply is truncated. */
  void Abort();

  /** True once the reply is complete or the connection is closed. */
  bool IsFinished() const { return mConnection == nullptr; }
  bool HasStarted() const { return mHasStarted; }
  /** Number of reply bytes that are not yet written to the socket. */
  std::size_t PendingBytes() const;
  /** Called once if the connection closes before the reply is complete. */
  void OnClosed(std::function<void()> aHook) { mClosedHook = std::move(aHook); }
  /** Called whenever all bytes of an unfinished reply are written to the
   * socket. */
  void OnWritten(std::function<void()> aHook)
  {
    mWrittenHook = std::move(aHook);
  }

private:
  friend class HttpServerConnection;
  /** Called by the connection when it closes before the reply is complete. */
  void HandleClosed();
  void HandleWritten();
  /** Ends the exchange and lets the connection read the next request. */
  void Finish();
  /** Writes the status line and the headers. aFramingField is the header line
   * that frames the body; it may be empty. */
  void WriteHead(int aStatus,
                 const HttpHeaders& aHeaders,
                 std::string_view aFramingField);
  bool MayHaveBody(int aStatus) const;

  HttpServerConnection* mConnection;
  std::string mCallerAddress;
  HttpRequest mRequest;
  BodyTicket mBody;
  Instant mArrival;
  bool mIsVersion11;
  bool mHasStarted = false;
  /** True if a streamed reply uses chunked transfer coding; otherwise the end
   * of the connection ends the reply. */
  bool mIsChunked = false;
  bool mIsBodyAllowed = true;
  std::function<void()> mClosedHook;
  std::function<void()> mWrittenHook;
};

} // namespace bulrushfold

#endif
