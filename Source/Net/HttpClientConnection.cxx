#include "Net/HttpClientConnection.h"

#include <algorithm>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "Net/SocketOptions.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace bulrushfold {

namespace {
constexpr int kFirstErrorStatus = 400;
constexpr std::size_t kMaxReplyHeaderBytes = 64 * 1024;
/** Idle timeout of a server that sends none in a Keep-Alive field. */
constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(5);
/** An idle connection expires this long before the server closes it. */
constexpr Duration kIdleMargin = std::chrono::milliseconds(400);

/** Returns the "timeout" parameter of the Keep-Alive field, if present. */
std::optional<Duration>
ParseKeepAliveTimeout(const HttpHeaders& aHeaders)
{
  const auto field = aHeaders.Find("Keep-Alive");
  if (!field) {
    return std::nullopt;
  }
  for (absl::string_view part : absl::StrSplit(*field, ',')) {
    part = absl::StripAsciiWhitespace(part);
    std::int64_t seconds = 0;
    if (absl::ConsumePrefix(&part, "timeout=") &&
        absl::SimpleAtoi(part, &seconds) && seconds >= 0) {
      return std::chrono::seconds(seconds);
    }
  }
  return std::nullopt;
}

std::string
FormatRequestHead(const HttpCallRequest& aRequest)
{
  std::string head = absl::StrCat(std::string(HttpMethodName(aRequest.mMethod)),
                                  " ",
                                  aRequest.mTarget,
                                  " HTTP/1.1\r\n");
  if (!aRequest.mHeaders.Find("Host")) {
    absl::StrAppend(&head, "Host: ", FormatAddress(aRequest.mAddress), "\r\n");
  }
  for (const auto& [name, value] : aRequest.mHeaders.Fields()) {
    absl::StrAppend(&head, name, ": ", value, "\r\n");
  }
  const bool hasBody = !aRequest.mBody.empty() ||
                       aRequest.mMethod == HttpMethod::Post ||
                       aRequest.mMethod == HttpMethod::Put ||
                       aRequest.mMethod == HttpMethod::Patch;
  if (hasBody) {
    absl::StrAppend(&head, "Content-Length: ", aRequest.mBody.size(), "\r\n");
  }
  head += "\r\n";
  return head;
}
} // namespace

HttpClientConnection::HttpClientConnection(EventLoop& aLoop,
                                           HttpClient& aClient)
  : mLoop(aLoop)
  , mClient(aClient)
  , mParser(HttpMessageKind::Reply,
            {},
            { [this] { HandleHead(); },
              [this](std::string_view aData) { HandleBody(aData); } })
  , mReadRateLimit(nullptr, &ev_token_bucket_cfg_free)
{
}

HttpClientConnection::~HttpClientConnection()
{
  if (mBufferevent != nullptr) {
    bufferevent_free(mBufferevent);
  }
}

void
HttpClientConnection::SetReplyBytes(std::size_t aBytes)
{
  mClient.OnReplyBytes(std::exchange(mReplyBytes, aBytes), aBytes);
}

void
HttpClientConnection::SetKeptBytes(std::uint64_t aCallId, std::size_t aBytes)
{
  if (mIsBusy && aCallId == mLastCallId && aBytes != mReplyBytes) {
    SetReplyBytes(aBytes);
  }
}

std::uint64_t
HttpClientConnection::Start(HttpCallRequest aRequest, HttpCallHooks aHooks)
{
  mRequest = std::move(aRequest);
  mHooks = std::move(aHooks);
  mReply = HttpCallReply();
  mReply.mIsReused = mIsConnected;
  mIsBusy = true;
  mParser.SetLimits({ kMaxReplyHeaderBytes, mRequest.mMaxBodyBytes });
  mParser.Restart(mRequest.mMethod == HttpMethod::Head);
  if (mRequest.mTotalTimeout > Duration::zero()) {
    mTotalTimer = mLoop.After(mRequest.mTotalTimeout, [this] {
      Finish(HttpCallResult::TotalTimeout, false);
    });
  }
  if (mIsConnected) {
    Send();
  } else {
    Connect();
  }
  return ++mLastCallId;
}

void
HttpClientConnection::Connect()
{
  const auto address = ToSockaddr(mRequest.mAddress);
  mBufferevent =
    bufferevent_socket_new(mLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(mBufferevent, &HandleRead, nullptr, &HandleEvent, this);
  if (mRequest.mReadBytesPerSecond > 0) {
    SetReadRateLimit(mRequest.mReadBytesPerSecond);
  }
  if (!address ||
      bufferevent_socket_connect(mBufferevent,
                                 reinterpret_cast<const sockaddr*>(&*address),
                                 sizeof(*address)) != 0) {
    DeferFinish(HttpCallResult::ConnectFailed);
    return;
  }
  mConnectTimer = mLoop.After(mRequest.mConnectTimeout, [this] {
    Finish(HttpCallResult::ConnectFailed, false);
  });
}

void
HttpClientConnection::SetReadRateLimit(std::size_t aBytesPerSecond)
{
  constexpr std::size_t kTicksPerSecond = 20;
  const timeval tick =
    ToTimeval(Duration(std::chrono::seconds(1)) / kTicksPerSecond);
  const std::size_t bytes =
    std::max<std::size_t>(1, aBytesPerSecond / kTicksPerSecond);
  mReadRateLimit.reset(ev_token_bucket_cfg_new(
    bytes, bytes, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick));
  bufferevent_set_rate_limit(mBufferevent, mReadRateLimit.get());
}

void
HttpClientConnection::Send()
{
  const timeval timeout = ToTimeval(mRequest.mReadTimeout);
  bufferevent_set_timeouts(mBufferevent, &timeout, &timeout);
  bufferevent_enable(mBufferevent, EV_READ | EV_WRITE);
  const std::string head = FormatRequestHead(mRequest);
  bufferevent_write(mBufferevent, head.data(), head.size());
  bufferevent_write(mBufferevent, mRequest.mBody.data(), mRequest.mBody.size());
  mRequest.mBody.clear();
}

void
HttpClientConnection::SetReading(std::uint64_t aCallId, bool aIsReading)
{
  if (mIsBusy && aCallId == mLastCallId && mIsConnected) {
    if (aIsReading) {
      bufferevent_enable(mBufferevent, EV_READ);
    } else {
      bufferevent_disable(mBufferevent, EV_READ);
    }
  }
}

void
HttpClientConnection::ConfirmReply(std::uint64_t aCallId)
{
  if (aCallId == mLastCallId) {
    mHasUnconfirmedError = mHadUnconfirmedError;
  }
}

void
HttpClientConnection::HandleRead(bufferevent*, void* aSelf)
{
  const auto self =
    static_cast<HttpClientConnection*>(aSelf)->shared_from_this();
  self->Read();
}

void
HttpClientConnection::Read()
{
  evbuffer* input = bufferevent_get_input(mBufferevent);
  if (!mIsBusy) {
    // The server sent bytes while no call was in progress. They could be
    // mistaken for the reply to the next request.
    Close();
    return;
  }
  while (mIsBusy && evbuffer_get_length(input) > 0) {
    const std::size_t n = evbuffer_get_contiguous_space(input);
    const auto* data = reinterpret_cast<const char*>(
      evbuffer_pullup(input, static_cast<ev_ssize_t>(n)));
    const std::size_t consumed = mParser.Feed({ data, n });
    if (!mIsBusy) {
      return; // a hook cancelled the call
    }
    evbuffer_drain(input, consumed);
    if (mParser.CurrentState() == HttpParser::State::Complete) {
      HandleReplyEnd();
    } else if (mParser.CurrentState() == HttpParser::State::Failed) {
      Finish(HttpCallResult::InvalidReply, false);
    }
  }
}

void
HttpClientConnection::HandleHead()
{
  mReply.mStatus = mParser.Head().mStatus;
  mHadUnconfirmedError = mHasUnconfirmedError;
  mHasUnconfirmedError =
    mHasUnconfirmedError || mReply.mStatus >= kFirstErrorStatus;
  mReply.mHeaders = mParser.Head().mHeaders;
  if (mHooks.mOnHeaders) {
    mHooks.mOnHeaders(mReply.mStatus, mReply.mHeaders);
  }
}

void
HttpClientConnection::HandleBody(std::string_view aData)
{
  // A hook may have cancelled the call while the parser still processes
  // the same input.
  if (!mIsBusy) {
    return;
  }
  if (mHooks.mOnChunk) {
    mHooks.mOnChunk(aData);
  } else {
    mReply.mBody.append(aData);
    SetReplyBytes(mReply.mBody.size());
  }
}

void
HttpClientConnection::HandleReplyEnd()
{
  const HttpHead& head = mParser.Head();
  const bool hasUnreadInput =
    evbuffer_get_length(bufferevent_get_input(mBufferevent)) > 0;
  // A server may reply before it has read the whole request body. The rest of
  // the body would then be sent ahead of the next request.
  const bool isRequestSent =
    evbuffer_get_length(bufferevent_get_output(mBufferevent)) == 0;
  StartIdlePeriod(head.mHeaders);
  Finish(HttpCallResult::Complete,
         head.mKeepsAlive && !hasUnreadInput && isRequestSent &&
           !mReadRateLimit);
}

void
HttpClientConnection::StartIdlePeriod(const HttpHeaders& aHeaders)
{
  mIdleSince = mClock.Now();
  const Duration limit =
    ParseKeepAliveTimeout(aHeaders).value_or(kDefaultIdleTimeout);
  mExpiresAt = mIdleSince + limit - std::min(limit / 2, kIdleMargin);
}

void
HttpClientConnection::HandleEvent(bufferevent*, short aEvents, void* aSelf)
{
  const auto self =
    static_cast<HttpClientConnection*>(aSelf)->shared_from_this();
  if ((aEvents & BEV_EVENT_CONNECTED) != 0) {
    self->mIsConnected = true;
    self->mConnectTimer = EventHandle();
    SetTcpNoDelay(bufferevent_getfd(self->mBufferevent));
    self->Send();
    return;
  }
  if (!self->mIsBusy) {
    self->Close();
  } else if ((aEvents & BEV_EVENT_TIMEOUT) != 0) {
    self->Finish(HttpCallResult::ReadTimeout, false);
  } else if ((aEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    self->HandleDisconnect((aEvents & BEV_EVENT_EOF) != 0);
  }
}

void
HttpClientConnection::HandleDisconnect(bool aIsOrderly)
{
  if (!mIsConnected) {
    Finish(HttpCallResult::ConnectFailed, false);
    return;
  }
  if (aIsOrderly) {
    mParser.FeedEof();
    if (!mIsBusy) {
      return;
    }
  }
  const bool isComplete = mParser.CurrentState() == HttpParser::State::Complete;
  Finish(isComplete ? HttpCallResult::Complete : HttpCallResult::ConnectionLost,
         false);
}

void
HttpClientConnection::DeferFinish(HttpCallResult aResult)
{
  mLoop.Defer([self = shared_from_this(), aResult] {
    if (self->mIsBusy) {
      self->Finish(aResult, false);
    }
  });
}

void
HttpClientConnection::Finish(HttpCallResult aResult, bool aKeepConnection)
{
  const auto self = shared_from_this();
  mIsBusy = false;
  SetReplyBytes(0);
  mConnectTimer = EventHandle();
  mTotalTimer = EventHandle();
  const HttpCallHooks hooks = std::exchange(mHooks, HttpCallHooks());
  HttpCallReply reply = std::exchange(mReply, HttpCallReply());
  reply.mResult = aResult;
  if (aKeepConnection) {
    bufferevent_set_timeouts(mBufferevent, nullptr, nullptr);
    mClient.ReturnToPool(*this);
  } else {
    Close();
  }
  hooks.mOnDone(std::move(reply));
}

void
HttpClientConnection::Cancel(std::uint64_t aCallId)
{
  // mHooks is not cleared, because one of the hooks may be running.
  if (mIsBusy && aCallId == mLastCallId) {
    mIsBusy = false;
    SetReplyBytes(0);
    Close();
  }
}

void
HttpClientConnection::Close()
{
  if (std::exchange(mIsClosed, true)) {
    return;
  }
  mConnectTimer = EventHandle();
  mTotalTimer = EventHandle();
  if (mBufferevent != nullptr) {
    bufferevent_disable(mBufferevent, EV_READ | EV_WRITE);
    bufferevent_setcb(mBufferevent, nullptr, nullptr, nullptr, nullptr);
  }
  mClient.RemoveConnection(*this);
}

} // namespace bulrushfold
