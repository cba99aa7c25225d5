#ifndef BULRUSHFOLD_NET_HTTPCLIENTCONNECTION_H
#define BULRUSHFOLD_NET_HTTPCLIENTCONNECTION_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/HttpParser.h"

struct bufferevent;
struct ev_token_bucket_cfg;

namespace bulrushfold {

/** A connection to a server; carries one call at a time. */
class HttpClientConnection
  : public std::enable_shared_from_this<HttpClientConnection>
{
public:
  HttpClientConnection(EventLoop& aLoop, HttpClient& aClient);
  HttpClientConnection(const HttpClientConnection&) = delete;
  HttpClientConnection& operator=(const HttpClientConnection&) = delete;
  ~HttpClientConnection();

  /**
   * Sends aRequest; connects first if there is no connection yet.
   * @return the number of the call.
   */
  std::uint64_t Start(HttpCallRequest aRequest, HttpCallHooks aHooks);
  /** Cancels call aCallId without callbacks, unless it has already ended. */
  void Cancel(std::uint64_t aCallId);
  void SetReading(std::uint64_t aCallId, bool aIsReading);
  /** See HttpCall::SetKeptBytes. */
  void SetKeptBytes(std::uint64_t aCallId, std::size_t aBytes);
  /** Memory that the reply of the call in progress uses. */
  std::size_t ReplyBytes() const { return mReplyBytes; }
  void EndForMemoryLimit() { Finish(HttpCallResult::MemoryLimit, false); }
  /** See HttpCall::ConfirmReply. */
  void ConfirmReply(std::uint64_t aCallId);
  /** Closes the connection and removes it from the client. */
  void Close();

  bool IsConnected() const { return mIsConnected; }
  const SocketAddress& Address() const { return mRequest.mAddress; }
  const std::string& Server() const { return mRequest.mServer; }
  Instant IdleSince() const { return mIdleSince; }
  /** An error reply was received that was not confirmed. */
  bool HasUnconfirmedError() const { return mHasUnconfirmedError; }
  /** Time after which the connection is not reused, because the server is
   * about to close it. */
  Instant ExpiresAt() const { return mExpiresAt; }

private:
  static void HandleRead(bufferevent* aBufferevent, void* aSelf);
  static void HandleEvent(bufferevent* aBufferevent,
                          short aEvents,
                          void* aSelf);

  void Connect();
  void Send();
  void Read();
  void HandleHead();
  void HandleBody(std::string_view aData);
  /** Handles a disconnect. aIsOrderly: the server closed the connection without
   * an error. */
  void HandleDisconnect(bool aIsOrderly);
  void HandleReplyEnd();
  /** Ends the call, then returns the connection to the pool if aKeepConnection
   * is true, and closes it otherwise. */
  void Finish(HttpCallResult aResult, bool aKeepConnection);
  /** Ends the call in a later iteration of the loop and closes the connection.
   */
  void DeferFinish(HttpCallResult aResult);
  void SetReplyBytes(std::size_t aBytes);
  void SetReadRateLimit(std::size_t aBytesPerSecond);
  /** Sets mIdleSince, and mExpiresAt from the Keep-Alive field of aHeaders. */
  void StartIdlePeriod(const HttpHeaders& aHeaders);

  EventLoop& mLoop;
  HttpClient& mClient;
  SystemClock mClock;
  bufferevent* mBufferevent = nullptr;
  HttpParser mParser;
  HttpCallRequest mRequest;
  HttpCallHooks mHooks;
  HttpCallReply mReply;
  std::size_t mReplyBytes = 0;
  EventHandle mConnectTimer;
  EventHandle mTotalTimer;
  std::unique_ptr<ev_token_bucket_cfg, void (*)(ev_token_bucket_cfg*)>
    mReadRateLimit;
  Instant mIdleSince;
  Instant mExpiresAt;
  std::uint64_t mLastCallId = 0;
  bool mIsConnected = false;
  bool mIsBusy = false;
  bool mIsClosed = false;
  bool mHasUnconfirmedError = false;
  /** Value of mHasUnconfirmedError before the last reply. */
  bool mHadUnconfirmedError = false;
};

} // namespace bulrushfold

#endif
