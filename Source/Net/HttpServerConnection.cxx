#include "Net/HttpServerConnection.h"

#include <algorithm>
#include <utility>

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "Net/SocketOptions.h"

namespace bulrushfold {

namespace {
constexpr int kRequestTimeout = 408;
/** Limit on buffered bytes of pipelined requests while a reply is pending. */
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;
/** Time for the caller to read the reply and to close the connection. */
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
/** Time for sending the rest of a reply. Without this limit, a caller that
 * reads a few bytes at a time keeps its connection for good. */
constexpr Duration kMaxSendTime = std::chrono::seconds(60);
/** Minimum time between two checks of a busy connection. */
constexpr Duration kMinBusyCheckInterval = std::chrono::seconds(1);
} // namespace

HttpServerConnection::HttpServerConnection(EventLoop& aLoop,
                                           int aSocket,
                                           std::string aCallerAddress,
                                           HttpServer& aServer,
                                           std::function<void()> aOnClosed)
  : mLoop(aLoop)
  , mCallerAddress(std::move(aCallerAddress))
  , mServer(aServer)
  , mOnClosed(std::move(aOnClosed))
  , mBufferevent(
      bufferevent_socket_new(aLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE))
  , mParser(HttpMessageKind::Request,
            {},
            { [this] { HandleHead(); },
              [this](std::string_view aData) { HandleBody(aData); } })
{
  const HttpServerLimits& limits = mServer.Limits();
  SetTcpNoDelay(aSocket);
  DetectDeadConnection(aSocket, limits.mWriteTimeout);
  bufferevent_setcb(
    mBufferevent, &HandleRead, &HandleWritten, &HandleEvent, this);
  const timeval writeTimeout = ToTimeval(limits.mWriteTimeout);
  bufferevent_set_timeouts(mBufferevent, nullptr, &writeTimeout);
  bufferevent_enable(mBufferevent, EV_READ | EV_WRITE);
  SetDeadline(mClock.Now() + limits.mIdleTimeout);
}

HttpServerConnection::~HttpServerConnection()
{
  *mIsAlive = false;
  if (mExchange != nullptr) {
    std::exchange(mExchange, nullptr)->HandleClosed();
  }
  bufferevent_free(mBufferevent);
}

void
HttpServerConnection::Write(std::string_view aData)
{
  bufferevent_write(mBufferevent, aData.data(), aData.size());
}

std::size_t
HttpServerConnection::PendingBytes() const
{
  return evbuffer_get_length(bufferevent_get_output(mBufferevent));
}

bool
HttpServerConnection::ShouldCloseAfterReply()
{
  mClosesAfterReply = mClosesAfterReply || mServer.IsDraining();
  return mClosesAfterReply;
}

bool
HttpServerConnection::IsIdle() const
{
  return !mIsLingering && !IsBusy();
}

bool
HttpServerConnection::IsBusy() const
{
  return HasExchange() || PendingBytes() > 0 ||
         (!mIsLingering && mParser.CurrentState() != HttpParser::State::Idle);
}

void
HttpServerConnection::CloseWhenSent()
{
  if (IsIdle()) {
    Close();
    return;
  }
  mClosesAfterReply = true;
  const bool isReplyBuffered =
    !HasExchange() && mParser.CurrentState() == HttpParser::State::Idle;
  if (isReplyBuffered && !mIsLingering) {
    BeginLingeringClose();
  }
}

void
HttpServerConnection::HandleRead(bufferevent*, void* aSelf)
{
  static_cast<HttpServerConnection*>(aSelf)->Read();
}

void
HttpServerConnection::HandleWritten(bufferevent*, void* aSelf)
{
  auto* self = static_cast<HttpServerConnection*>(aSelf);
  if (self->PendingBytes() > 0) {
    return;
  }
  if (self->HasExchange()) {
    self->mExchange->HandleWritten();
    return;
  }
  // The idle and the linger timeout start when the whole reply is sent.
  if (self->mIsLingering) {
    shutdown(bufferevent_getfd(self->mBufferevent), SHUT_WR);
    self->SetDeadline(self->mClock.Now() + kLingerTimeout);
  } else if (self->IsIdle()) {
    self->SetDeadline(self->mClock.Now() + self->mServer.Limits().mIdleTimeout);
  }
}

void
HttpServerConnection::HandleEvent(bufferevent*, short aEvents, void* aSelf)
{
  constexpr short kCloseEvents =
    BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT;
  if ((aEvents & kCloseEvents) != 0) {
    static_cast<HttpServerConnection*>(aSelf)->Close();
  }
}

void
HttpServerConnection::Read()
{
  evbuffer* input = bufferevent_get_input(mBufferevent);
  if (mIsLingering) {
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  if (HasExchange()) {
    // The bytes of the next request stay in the input buffer. The watermark
    // limits the buffer, so that TCP flow control stops the caller.
    bufferevent_setwatermark(mBufferevent, EV_READ, 0, kMaxPipelinedBytes);
    return;
  }
  if (mParser.CurrentState() == HttpParser::State::Complete && !mIsPaused) {
    HandleRequest();
  }
  while (evbuffer_get_length(input) > 0 && !HasExchange() && !mIsLingering &&
         !mIsPaused) {
    const bool isFirst = mParser.CurrentState() == HttpParser::State::Idle;
    if (isFirst) {
      const HttpServerLimits& limits = mServer.Limits();
      mArrival = mClock.Now();
      mParser.SetLimits({ limits.mMaxHeaderBytes, limits.mMaxBodyBytes });
    }
    const std::size_t n = evbuffer_get_contiguous_space(input);
    const auto* data = reinterpret_cast<const char*>(
      evbuffer_pullup(input, static_cast<ev_ssize_t>(n)));
    const std::size_t consumed = mParser.Feed({ data, n });
    evbuffer_drain(input, consumed);
    HandleParsed(isFirst);
  }
}

void
HttpServerConnection::HandleParsed(bool aIsFirst)
{
  switch (mParser.CurrentState()) {
    case HttpParser::State::Idle:
      return;
    case HttpParser::State::Head:
      if (aIsFirst) {
        SetDeadline(mArrival + mServer.Limits().mHeaderTimeout);
      }
      return;
    case HttpParser::State::Body:
      SetDeadline(mClock.Now() + mServer.Limits().mReadTimeout);
      ReserveBody();
      return;
    case HttpParser::State::Complete:
      if (ReserveBody()) {
        HandleRequest();
      }
      return;
    case HttpParser::State::Failed:
      RefuseForParseError(mParser.Error());
      return;
  }
}

void
HttpServerConnection::DeferRead()
{
  if (std::exchange(mIsReadDeferred, true)) {
    return;
  }
  mLoop.Defer([this, alive = mIsAlive] {
    if (*alive) {
      mIsReadDeferred = false;
      Read();
    }
  });
}

void
HttpServerConnection::HandleRequest()
{
  HttpHead head = mParser.ReleaseHead();
  HttpRequest request;
  request.mMethod = head.mMethod;
  request.mTarget = std::move(head.mTarget);
  request.mHeaders = std::move(head.mHeaders);
  request.mBody = std::exchange(mBody, std::string());
  mAnnouncedBytes = 0;
  if (mBodyTicket) {
    mBodyTicket->OnComplete(mBodyTicket.Body());
  }
  DecodeTarget(request);
  mClosesAfterReply = mClosesAfterReply || !head.mKeepsAlive;
  mParser.Restart();
  auto exchange =
    std::make_shared<HttpExchange>(*this,
                                   mCallerAddress,
                                   std::move(request),
                                   std::exchange(mBodyTicket, BodyTicket()),
                                   mArrival,
                                   head.mIsVersion11);
  mExchange = exchange.get();
  mServer.HandleExchange(std::move(exchange));
}

void
HttpServerConnection::FinishExchange()
{
  mExchange = nullptr;
  mSendDeadline = mClock.Now() + kMaxSendTime;
  if (mClosesAfterReply) {
    BeginLingeringClose();
    return;
  }
  bufferevent_setwatermark(mBufferevent, EV_READ, 0, 0);
  SetDeadline(mClock.Now() + mServer.Limits().mIdleTimeout);
  if (evbuffer_get_length(bufferevent_get_input(mBufferevent)) > 0) {
    DeferRead();
  }
}

void
HttpServerConnection::BeginLingeringClose()
{
  mIsLingering = true;
  mIsPaused = false;
  DiscardBody();
  bufferevent_enable(mBufferevent, EV_READ);
  mSendDeadline = mClock.Now() + kMaxSendTime;
  bufferevent_setwatermark(mBufferevent, EV_READ, 0, 0);
  evbuffer* input = bufferevent_get_input(mBufferevent);
  evbuffer_drain(input, evbuffer_get_length(input));
  if (PendingBytes() == 0) {
    shutdown(bufferevent_getfd(mBufferevent), SHUT_WR);
  }
  SetDeadline(mClock.Now() + kLingerTimeout);
}

void
HttpServerConnection::AbortReply()
{
  mExchange = nullptr;
  BeginLingeringClose();
}

void
HttpServerConnection::Reset()
{
  mExchange = nullptr;
  const linger abort{ 1, 0 };
  setsockopt(bufferevent_getfd(mBufferevent),
             SOL_SOCKET,
             SO_LINGER,
             &abort,
             sizeof(abort));
  Close();
}

void
HttpServerConnection::Close()
{
  if (mExchange != nullptr) {
    std::exchange(mExchange, nullptr)->HandleClosed();
  }
  if (!mOnClosed) {
    return;
  }
  DiscardBody();
  bufferevent_disable(mBufferevent, EV_READ | EV_WRITE);
  bufferevent_setcb(mBufferevent, nullptr, nullptr, nullptr, nullptr);
  mTimer = EventHandle();
  std::exchange(mOnClosed, nullptr)();
}

void
HttpServerConnection::SetDeadline(Instant aDeadline)
{
  mDeadline = aDeadline;
  // A timer that is due before the deadline is kept and armed again when it
  // fires. This costs less than moving the timer with each request.
  if (!mTimerDueAt || aDeadline < *mTimerDueAt) {
    ArmTimer(aDeadline);
  }
}

void
HttpServerConnection::ArmTimer(Instant aDueAt)
{
  mTimerDueAt = aDueAt;
  mTimer = mLoop.After(std::max(aDueAt - mClock.Now(), Duration::zero()),
                       [this] { HandleTimer(); });
}

void
HttpServerConnection::HandleTimer()
{
  mTimerDueAt.reset();
  const Instant now = mClock.Now();
  const bool isSending = PendingBytes() > 0 && now < mSendDeadline;
  if (HasExchange() || isSending) {
    ArmTimer(now +
             std::max(mServer.Limits().mIdleTimeout, kMinBusyCheckInterval));
    return;
  }
  if (mDeadline > now) {
    ArmTimer(mDeadline);
    return;
  }
  if (mIsLingering || mParser.CurrentState() == HttpParser::State::Idle) {
    Close();
    return;
  }
  Refuse(kRequestTimeout, "request_timeout");
}

} // namespace bulrushfold
