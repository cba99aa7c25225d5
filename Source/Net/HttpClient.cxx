#include "Net/HttpClient.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include "Base/EnumNames.h"
#include "Net/SocketOptions.h"

namespace bulrushfold {

namespace {

constexpr std::size_t kMaxIdlePerAddress = 64;
constexpr Duration kMaxIdleTime = std::chrono::seconds(5);
constexpr ev_ssize_t kMaxReplyHeaderBytes = 64 * 1024;
constexpr ev_ssize_t kMaxReplyBodyBytes = 256L * 1024 * 1024;

constexpr EnumNames<HttpCallResult, 5> kResultNames{ {
  { HttpCallResult::Complete, "complete" },
  { HttpCallResult::ConnectFailed, "connect_failed" },
  { HttpCallResult::Silent, "silent" },
  { HttpCallResult::ConnectionLost, "connection_lost" },
  { HttpCallResult::InvalidReply, "invalid_reply" },
} };

evhttp_cmd_type
CommandOf(HttpMethod aMethod)
{
  switch (aMethod) {
    case HttpMethod::Get:
      return EVHTTP_REQ_GET;
    case HttpMethod::Post:
      return EVHTTP_REQ_POST;
    case HttpMethod::Put:
      return EVHTTP_REQ_PUT;
    case HttpMethod::Delete:
      return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_GET;
}

HttpCallResult
ResultOf(evhttp_request_error aError)
{
  switch (aError) {
    case EVREQ_HTTP_TIMEOUT:
      return HttpCallResult::Silent;
    case EVREQ_HTTP_INVALID_HEADER:
    case EVREQ_HTTP_DATA_TOO_LONG:
      return HttpCallResult::InvalidReply;
    default:
      return HttpCallResult::ConnectionLost;
  }
}

bool
IsConnected(evhttp_connection* aConnection)
{
  const int fd =
    bufferevent_getfd(evhttp_connection_get_bufferevent(aConnection));
  sockaddr_storage address{};
  socklen_t n = sizeof(address);
  return fd >= 0 &&
         getpeername(fd, reinterpret_cast<sockaddr*>(&address), &n) == 0;
}

} // namespace

std::string_view
HttpCallResultName(HttpCallResult aResult)
{
  return FindEnumName(kResultNames, aResult);
}

struct HttpCall::State
{
  HttpClient* mClient = nullptr;
  std::shared_ptr<bool> mClientIsAlive;
  SocketAddress mAddress;
  HttpCallHooks mHooks;
  evhttp_connection* mConnection = nullptr;
  std::optional<HttpCallResult> mError;
  HttpCallReply mReply;
  EventHandle mConnectTimer;
  /** Keeps this object alive while the library refers to it. */
  std::shared_ptr<State> mSelf;
  /** Read limit of the connection; null when there is none. */
  std::unique_ptr<ev_token_bucket_cfg, decltype(&ev_token_bucket_cfg_free)>
    mReadLimit{ nullptr, &ev_token_bucket_cfg_free };

  void LimitReads(std::size_t aBytesPerSecond);
  static int HandleHeaders(evhttp_request* aRequest, void* aState);
  static void HandleChunk(evhttp_request* aRequest, void* aState);
  static void HandleError(evhttp_request_error aError, void* aState);
  static void HandleDone(evhttp_request* aRequest, void* aState);
  void CheckConnected();
  void Finish(evhttp_request* aRequest);
  void CollectReply(evhttp_request* aRequest);
  /** Ends the call; aKeep returns the connection to the pool. */
  void ReleaseConnection(bool aKeep);
};

void
HttpCall::State::LimitReads(std::size_t aBytesPerSecond)
{
  constexpr std::size_t kTicksPerSecond = 20;
  const timeval tick =
    ToTimeval(Duration(std::chrono::seconds(1)) / kTicksPerSecond);
  const std::size_t bytes =
    std::max<std::size_t>(1, aBytesPerSecond / kTicksPerSecond);
  mReadLimit.reset(ev_token_bucket_cfg_new(
    bytes, bytes, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick));
  bufferevent_set_rate_limit(evhttp_connection_get_bufferevent(mConnection),
                             mReadLimit.get());
}

int
HttpCall::State::HandleHeaders(evhttp_request* aRequest, void* aState)
{
  const std::shared_ptr<State> state = static_cast<State*>(aState)->mSelf;
  if (state && state->mHooks.mOnHeaders) {
    state->mHooks.mOnHeaders(
      evhttp_request_get_response_code(aRequest),
      CopyHeaders(evhttp_request_get_input_headers(aRequest)));
  }
  return 0;
}

void
HttpCall::State::HandleChunk(evhttp_request* aRequest, void* aState)
{
  const std::shared_ptr<State> state = static_cast<State*>(aState)->mSelf;
  evbuffer* buf = evhttp_request_get_input_buffer(aRequest);
  const std::size_t n = evbuffer_get_length(buf);
  if (!state || n == 0) {
    return;
  }
  std::string data(n, '\0');
  evbuffer_remove(buf, data.data(), n);
  if (state->mHooks.mOnChunk) {
    state->mHooks.mOnChunk(data);
  }
}

void
HttpCall::State::HandleError(evhttp_request_error aError, void* aState)
{
  static_cast<State*>(aState)->mError = ResultOf(aError);
}

void
HttpCall::State::HandleDone(evhttp_request* aRequest, void* aState)
{
  const std::shared_ptr<State> state = static_cast<State*>(aState)->mSelf;
  if (state) {
    state->Finish(aRequest);
  }
}

void
HttpCall::State::CheckConnected()
{
  if (mConnection == nullptr || IsConnected(mConnection)) {
    return;
  }
  const std::shared_ptr<State> keep = mSelf;
  ReleaseConnection(false);
  mReply.mResult = HttpCallResult::ConnectFailed;
  mHooks.mOnDone(std::move(mReply));
}

void
HttpCall::State::CollectReply(evhttp_request* aRequest)
{
  mReply.mStatus = evhttp_request_get_response_code(aRequest);
  mReply.mHeaders = CopyHeaders(evhttp_request_get_input_headers(aRequest));
  evbuffer* buf = evhttp_request_get_input_buffer(aRequest);
  mReply.mBody.resize(evbuffer_get_length(buf));
  evbuffer_remove(buf, mReply.mBody.data(), mReply.mBody.size());
}

void
HttpCall::State::Finish(evhttp_request* aRequest)
{
  if (mError) {
    mReply.mResult = *mError;
  } else if (aRequest == nullptr ||
             evhttp_request_get_response_code(aRequest) == 0) {
    // The library reports a failed connect without an error code.
    mReply.mResult = HttpCallResult::ConnectFailed;
  } else {
    mReply.mResult = HttpCallResult::Complete;
  }
  if (aRequest != nullptr) {
    CollectReply(aRequest);
  }
  ReleaseConnection(mReply.mResult == HttpCallResult::Complete && !mReadLimit);
  mHooks.mOnDone(std::move(mReply));
}

void
HttpCall::State::ReleaseConnection(bool aKeep)
{
  mConnectTimer = {};
  evhttp_connection* connection = std::exchange(mConnection, nullptr);
  std::shared_ptr<State> self = std::move(mSelf);
  mSelf.reset();
  if (connection == nullptr || !*mClientIsAlive) {
    return;
  }
  if (aKeep) {
    mClient->GiveBack(mAddress, connection);
  } else {
    mClient->DropConnection(connection, std::move(self));
  }
}

HttpCall::HttpCall(std::shared_ptr<State> aState)
  : mState(std::move(aState))
{
}

HttpCall::~HttpCall()
{
  // Callbacks that are already on their way find no state and do nothing.
  mState->ReleaseConnection(false);
}

HttpClient::HttpClient(EventLoop& aLoop)
  : mLoop(aLoop)
  , mIdleTimer(aLoop.Every(kMaxIdleTime / 2, [this] { CloseStaleIdle(); }))
{
}

HttpClient::~HttpClient()
{
  *mIsAlive = false;
  FreeDropped();
  for (auto& [address, idle] : mIdle) {
    for (const auto& it : idle) {
      evhttp_connection_free(it.mConnection);
    }
  }
}

evhttp_connection*
HttpClient::TakeConnection(const HttpCallRequest& aRequest)
{
  if (!aRequest.mFreshConnection && aRequest.mReadBytesPerSecond == 0) {
    if (const auto it = mIdle.find(aRequest.mAddress);
        it != mIdle.end() && !it->second.empty()) {
      evhttp_connection* connection = it->second.back().mConnection;
      it->second.pop_back();
      return connection;
    }
  }
  evhttp_connection* connection =
    evhttp_connection_base_new(mLoop.Base(),
                               nullptr,
                               aRequest.mAddress.mHost.c_str(),
                               aRequest.mAddress.mPort);
  evhttp_connection_set_max_headers_size(connection, kMaxReplyHeaderBytes);
  evhttp_connection_set_max_body_size(connection, kMaxReplyBodyBytes);
  return connection;
}

void
HttpClient::GiveBack(const SocketAddress& aAddress,
                     evhttp_connection* aConnection)
{
  auto& idle = mIdle[aAddress];
  if (idle.size() >= kMaxIdlePerAddress) {
    DropConnection(aConnection, nullptr);
    return;
  }
  idle.push_back({ aConnection, mClock.Now() });
}

void
HttpClient::DropConnection(evhttp_connection* aConnection,
                           std::shared_ptr<void> aCall)
{
  // This may run inside a callback of the connection, and the library may call
  // back once more in this turn, so connection and call outlive the turn.
  if (mDropped.empty()) {
    mLoop.Defer([this, alive = mIsAlive] {
      if (*alive) {
        FreeDropped();
      }
    });
  }
  mDropped[aConnection] = std::move(aCall);
}

void
HttpClient::FreeDropped()
{
  const auto dropped = std::exchange(mDropped, {});
  for (const auto& [connection, call] : dropped) {
    evhttp_connection_free(connection);
  }
}

void
HttpClient::DropIdle(const SocketAddress& aAddress)
{
  if (const auto it = mIdle.find(aAddress); it != mIdle.end()) {
    for (const auto& idle : it->second) {
      DropConnection(idle.mConnection, nullptr);
    }
    mIdle.erase(it);
  }
}

void
HttpClient::CloseStaleIdle()
{
  const Instant limit = mClock.Now() - kMaxIdleTime;
  for (auto it = mIdle.begin(); it != mIdle.end();) {
    auto& idle = it->second;
    const auto fresh =
      std::find_if(idle.begin(), idle.end(), [limit](const auto& aIdle) {
        return aIdle.mSince >= limit;
      });
    for (auto stale = idle.begin(); stale != fresh; ++stale) {
      DropConnection(stale->mConnection, nullptr);
    }
    idle.erase(idle.begin(), fresh);
    it = idle.empty() ? mIdle.erase(it) : std::next(it);
  }
}

std::unique_ptr<HttpCall>
HttpClient::Start(HttpCallRequest aRequest, HttpCallHooks aHooks)
{
  auto state = std::make_shared<HttpCall::State>();
  state->mClient = this;
  state->mClientIsAlive = mIsAlive;
  state->mAddress = aRequest.mAddress;
  state->mHooks = std::move(aHooks);
  state->mSelf = state;
  state->mConnection = TakeConnection(aRequest);
  if (aRequest.mReadBytesPerSecond > 0) {
    state->LimitReads(aRequest.mReadBytesPerSecond);
  }
  const timeval silence = ToTimeval(aRequest.mSilenceBound);
  evhttp_connection_set_timeout_tv(state->mConnection, &silence);

  evhttp_request* request =
    evhttp_request_new(&HttpCall::State::HandleDone, state.get());
  evhttp_request_set_error_cb(request, &HttpCall::State::HandleError);
  evhttp_request_set_header_cb(request, &HttpCall::State::HandleHeaders);
  if (state->mHooks.mOnChunk) {
    evhttp_request_set_chunked_cb(request, &HttpCall::State::HandleChunk);
  }
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", FormatAddress(aRequest.mAddress).c_str());
  for (const auto& [name, value] : aRequest.mHeaders.Fields()) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(request),
               aRequest.mBody.data(),
               aRequest.mBody.size());
  state->mConnectTimer = mLoop.After(
    aRequest.mConnectTimeout, [raw = state.get()] { raw->CheckConnected(); });
  if (evhttp_make_request(state->mConnection,
                          request,
                          CommandOf(aRequest.mMethod),
                          aRequest.mTarget.c_str()) != 0) {
    // The library freed the request and will not call back.
    mLoop.Defer([state] {
      if (state->mSelf) {
        state->Finish(nullptr);
      }
    });
  }
  if (state->mConnection != nullptr) {
    SendAtOnce(
      bufferevent_getfd(evhttp_connection_get_bufferevent(state->mConnection)));
  }
  return std::make_unique<HttpCall>(std::move(state));
}

} // namespace bulrushfold
