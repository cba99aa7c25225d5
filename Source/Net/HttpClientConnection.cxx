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
constexpr std::size_t kMaxReplyHeaderBytes = 64 * 1024;
/** Idle time of a connection whose server states no limit. */
constexpr Duration kDefaultIdleTime = std::chrono::seconds(5);
/** A connection is given up this long before the server closes it. */
constexpr Duration kIdleMargin = std::chrono::milliseconds(400);

/** Value of "timeout" in a Keep-Alive field. */
std::optional<Duration>
ParseKeepAlive(const HttpHeaders& aHeaders)
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
  , mReadLimit(nullptr, &ev_token_bucket_cfg_free)
{
}

HttpClientConnection::~HttpClientConnection()
{
  if (mEvent != nullptr) {
    bufferevent_free(mEvent);
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
  if (mIsConnected) {
    Send();
  } else {
    Connect();
  }
  return ++mCalls;
}

void
HttpClientConnection::Connect()
{
  const auto address = ToSockaddr(mRequest.mAddress);
  mEvent = bufferevent_socket_new(mLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(mEvent, &HandleRead, nullptr, &HandleEvent, this);
  if (mRequest.mReadBytesPerSecond > 0) {
    LimitReads(mRequest.mReadBytesPerSecond);
  }
  if (!address ||
      bufferevent_socket_connect(mEvent,
                                 reinterpret_cast<const sockaddr*>(&*address),
                                 sizeof(*address)) != 0) {
    FinishLater(HttpCallResult::ConnectFailed);
    return;
  }
  mConnectTimer = mLoop.After(mRequest.mConnectTimeout, [this] {
    Finish(HttpCallResult::ConnectFailed, false);
  });
}

void
HttpClientConnection::LimitReads(std::size_t aBytesPerSecond)
{
  constexpr std::size_t kTicksPerSecond = 20;
  const timeval tick =
    ToTimeval(Duration(std::chrono::seconds(1)) / kTicksPerSecond);
  const std::size_t bytes =
    std::max<std::size_t>(1, aBytesPerSecond / kTicksPerSecond);
  mReadLimit.reset(ev_token_bucket_cfg_new(
    bytes, bytes, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick));
  bufferevent_set_rate_limit(mEvent, mReadLimit.get());
}

void
HttpClientConnection::Send()
{
  const timeval silence = ToTimeval(mRequest.mReadTimeout);
  bufferevent_set_timeouts(mEvent, &silence, &silence);
  bufferevent_enable(mEvent, EV_READ | EV_WRITE);
  const std::string head = FormatRequestHead(mRequest);
  bufferevent_write(mEvent, head.data(), head.size());
  bufferevent_write(mEvent, mRequest.mBody.data(), mRequest.mBody.size());
  mRequest.mBody.clear();
}

void
HttpClientConnection::SetReading(std::uint64_t aCall, bool aIsReading)
{
  if (mIsBusy && aCall == mCalls && mIsConnected) {
    if (aIsReading) {
      bufferevent_enable(mEvent, EV_READ);
    } else {
      bufferevent_disable(mEvent, EV_READ);
    }
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
  evbuffer* input = bufferevent_get_input(mEvent);
  if (!mIsBusy) {
    // Bytes that no call asked for belong to no request.
    Close();
    return;
  }
  while (mIsBusy && evbuffer_get_length(input) > 0) {
    const std::size_t n = evbuffer_get_contiguous_space(input);
    const auto* data = reinterpret_cast<const char*>(
      evbuffer_pullup(input, static_cast<ev_ssize_t>(n)));
    const std::size_t used = mParser.Feed({ data, n });
    if (!mIsBusy) {
      return; // a hook cancelled the call
    }
    evbuffer_drain(input, used);
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
  mReply.mHeaders = mParser.Head().mHeaders;
  if (mHooks.mOnHeaders) {
    mHooks.mOnHeaders(mReply.mStatus, mReply.mHeaders);
  }
}

void
HttpClientConnection::HandleBody(std::string_view aData)
{
  // A hook may have cancelled the call while the parser goes on.
  if (!mIsBusy) {
    return;
  }
  if (mHooks.mOnChunk) {
    mHooks.mOnChunk(aData);
  } else {
    mReply.mBody.append(aData);
  }
}

void
HttpClientConnection::HandleReplyEnd()
{
  const HttpHead& head = mParser.Head();
  const bool hasMore = evbuffer_get_length(bufferevent_get_input(mEvent)) > 0;
  // A server may reply before it has read the body, and reads on later.
  const bool isSent = evbuffer_get_length(bufferevent_get_output(mEvent)) == 0;
  NoteIdle(head.mHeaders);
  Finish(HttpCallResult::Complete,
         head.mKeepsAlive && !hasMore && isSent && !mReadLimit);
}

void
HttpClientConnection::NoteIdle(const HttpHeaders& aHeaders)
{
  mIdleSince = mClock.Now();
  const Duration limit = ParseKeepAlive(aHeaders).value_or(kDefaultIdleTime);
  mExpiresAt = mIdleSince + limit - std::min(limit / 2, kIdleMargin);
}

void
HttpClientConnection::HandleEvent(bufferevent*, short aWhat, void* aSelf)
{
  const auto self =
    static_cast<HttpClientConnection*>(aSelf)->shared_from_this();
  if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
    self->mIsConnected = true;
    self->mConnectTimer = EventHandle();
    SendAtOnce(bufferevent_getfd(self->mEvent));
    self->Send();
    return;
  }
  if (!self->mIsBusy) {
    self->Close();
  } else if ((aWhat & BEV_EVENT_TIMEOUT) != 0) {
    self->Finish(HttpCallResult::ReadTimeout, false);
  } else if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    self->HandleEnd((aWhat & BEV_EVENT_EOF) != 0);
  }
}

void
HttpClientConnection::HandleEnd(bool aIsOrderly)
{
  if (!mIsConnected) {
    Finish(HttpCallResult::ConnectFailed, false);
    return;
  }
  if (aIsOrderly) {
    mParser.FeedEnd();
    if (!mIsBusy) {
      return;
    }
  }
  const bool isComplete = mParser.CurrentState() == HttpParser::State::Complete;
  Finish(isComplete ? HttpCallResult::Complete : HttpCallResult::ConnectionLost,
         false);
}

void
HttpClientConnection::FinishLater(HttpCallResult aResult)
{
  mLoop.Defer([self = shared_from_this(), aResult] {
    if (self->mIsBusy) {
      self->Finish(aResult, false);
    }
  });
}

void
HttpClientConnection::Finish(HttpCallResult aResult, bool aKeep)
{
  const auto self = shared_from_this();
  mIsBusy = false;
  mConnectTimer = EventHandle();
  const HttpCallHooks hooks = std::exchange(mHooks, HttpCallHooks());
  HttpCallReply reply = std::exchange(mReply, HttpCallReply());
  reply.mResult = aResult;
  if (aKeep) {
    bufferevent_set_timeouts(mEvent, nullptr, nullptr);
    mClient.GiveBack(*this);
  } else {
    Close();
  }
  hooks.mOnDone(std::move(reply));
}

void
HttpClientConnection::Cancel(std::uint64_t aCall)
{
  // The hooks stay, because one of them may be running.
  if (mIsBusy && aCall == mCalls) {
    mIsBusy = false;
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
  if (mEvent != nullptr) {
    bufferevent_disable(mEvent, EV_READ | EV_WRITE);
    bufferevent_setcb(mEvent, nullptr, nullptr, nullptr, nullptr);
  }
  mClient.Forget(*this);
}

} // namespace bulrushfold
