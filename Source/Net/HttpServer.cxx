#include "Net/HttpServer.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "Net/SocketOptions.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

constexpr int kStatusNotImplemented = 501;
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;

/** Owns one buffer of the event library. */
class Buffer
{
public:
  explicit Buffer(std::string_view aData)
    : mBuffer(evbuffer_new())
  {
    evbuffer_add(mBuffer, aData.data(), aData.size());
  }
  Buffer(const Buffer&) = delete;
  Buffer& operator=(const Buffer&) = delete;
  ~Buffer() { evbuffer_free(mBuffer); }
  evbuffer* Get() const { return mBuffer; }

private:
  evbuffer* mBuffer;
};

std::optional<HttpMethod>
MethodOf(evhttp_request* aRequest)
{
  switch (evhttp_request_get_command(aRequest)) {
    case EVHTTP_REQ_GET:
      return HttpMethod::Get;
    case EVHTTP_REQ_POST:
      return HttpMethod::Post;
    case EVHTTP_REQ_PUT:
      return HttpMethod::Put;
    case EVHTTP_REQ_DELETE:
      return HttpMethod::Delete;
    default:
      return std::nullopt;
  }
}

std::string
DecodedPath(const evhttp_uri* aUri)
{
  const char* path = aUri != nullptr ? evhttp_uri_get_path(aUri) : nullptr;
  if (path == nullptr) {
    return "/";
  }
  std::size_t n = 0;
  char* decoded = evhttp_uridecode(path, 0, &n);
  std::string result = decoded != nullptr ? std::string(decoded, n) : "/";
  std::free(decoded);
  return result;
}

std::vector<HttpParameter>
ParseQuery(const evhttp_uri* aUri)
{
  std::vector<HttpParameter> parameters;
  const char* query = aUri != nullptr ? evhttp_uri_get_query(aUri) : nullptr;
  evkeyvalq fields{};
  if (query == nullptr || evhttp_parse_query_str(query, &fields) != 0) {
    return parameters;
  }
  for (const evkeyval* it = fields.tqh_first; it != nullptr;
       it = it->next.tqe_next) {
    parameters.push_back({ it->key, it->value });
  }
  evhttp_clear_headers(&fields);
  return parameters;
}

HttpRequest
CopyRequest(evhttp_request* aRequest, HttpMethod aMethod)
{
  HttpRequest message;
  message.mMethod = aMethod;
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(aRequest);
  message.mPath = DecodedPath(uri);
  message.mQuery = ParseQuery(uri);
  message.mHeaders = CopyHeaders(evhttp_request_get_input_headers(aRequest));
  evbuffer* body = evhttp_request_get_input_buffer(aRequest);
  message.mBody.resize(evbuffer_get_length(body));
  evbuffer_remove(body, message.mBody.data(), message.mBody.size());
  return message;
}

void
AddHeaders(evhttp_request* aRequest, const HttpHeaders& aHeaders)
{
  evkeyvalq* fields = evhttp_request_get_output_headers(aRequest);
  for (const auto& [name, value] : aHeaders.Fields()) {
    evhttp_add_header(fields, name.c_str(), value.c_str());
  }
}

/**
 * Lets the kernel probe a connection that carries no data, so that a caller
 * that vanished without closing is noticed while its answer is being made.
 */
void
DetectDeadConnection(int aSocket, Duration aLimit)
{
  constexpr int kProbes = 3;
  const auto limit =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLimit);
  const int isOn = 1;
  const int interval =
    std::max(1, static_cast<int>(limit.count() / 1000 / (kProbes + 1)));
  const int probes = kProbes;
  const auto userTimeout = static_cast<unsigned int>(limit.count());
  setsockopt(aSocket, SOL_SOCKET, SO_KEEPALIVE, &isOn, sizeof(isOn));
  SendAtOnce(aSocket);
  setsockopt(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, &interval, sizeof(interval));
  setsockopt(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
  setsockopt(aSocket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
  setsockopt(
    aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeout, sizeof(userTimeout));
}

bufferevent*
BuffereventOf(evhttp_request* aRequest)
{
  evhttp_connection* connection = evhttp_request_get_connection(aRequest);
  return connection == nullptr ? nullptr
                               : evhttp_connection_get_bufferevent(connection);
}

} // namespace

HttpExchange::HttpExchange(evhttp_request* aRequest,
                           HttpRequest aMessage,
                           std::shared_ptr<const bool> aServerIsAlive)
  : mRequest(aRequest)
  , mMessage(std::move(aMessage))
  , mServerIsAlive(std::move(aServerIsAlive))
{
}

HttpExchange::~HttpExchange()
{
  // A handler that forgets an exchange must not leave its caller waiting.
  if (*mServerIsAlive) {
    Abort();
  }
}

evhttp_request*
HttpExchange::Release()
{
  evhttp_request* request = std::exchange(mRequest, nullptr);
  mClosedHook = nullptr;
  evhttp_connection_set_closecb(
    evhttp_request_get_connection(request), nullptr, nullptr);
  return request;
}

void
HttpExchange::Reply(int aStatus,
                    const HttpHeaders& aHeaders,
                    std::string_view aBody)
{
  if (IsOver()) {
    return;
  }
  mStarted = true;
  evhttp_request* request = Release();
  AddHeaders(request, aHeaders);
  const Buffer body(aBody);
  evhttp_send_reply(request, aStatus, nullptr, body.Get());
}

void
HttpExchange::StartStream(int aStatus, const HttpHeaders& aHeaders)
{
  if (IsOver()) {
    return;
  }
  mStarted = true;
  AddHeaders(mRequest, aHeaders);
  evhttp_send_reply_start(mRequest, aStatus, nullptr);
}

void
HttpExchange::SendChunk(std::string_view aData)
{
  if (IsOver() || aData.empty()) {
    return;
  }
  const Buffer data(aData);
  evhttp_send_reply_chunk(mRequest, data.Get());
}

void
HttpExchange::EndStream()
{
  if (!IsOver()) {
    evhttp_send_reply_end(Release());
  }
}

void
HttpExchange::Abort()
{
  if (!IsOver()) {
    evhttp_request* request = Release();
    evhttp_connection_free(evhttp_request_get_connection(request));
  }
}

std::size_t
HttpExchange::PendingBytes() const
{
  bufferevent* bev = IsOver() ? nullptr : BuffereventOf(mRequest);
  return bev == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(bev));
}

void
HttpExchange::HandleClosed()
{
  // The library hands over the request of a connection that closed early. When
  // the server itself goes, it frees the request first.
  evhttp_request* request = std::exchange(mRequest, nullptr);
  if (*mServerIsAlive) {
    evhttp_request_free(request);
  }
  if (const auto hook = std::exchange(mClosedHook, nullptr); hook) {
    hook();
  }
}

HttpServer::HttpServer(EventLoop& aLoop,
                       HttpServerLimits aLimits,
                       Handler aHandler)
  : mHttp(evhttp_new(aLoop.Base()))
  , mLimits(aLimits)
  , mHandler(std::move(aHandler))
{
  evhttp_set_max_headers_size(mHttp,
                              static_cast<ev_ssize_t>(aLimits.mMaxHeaderBytes));
  evhttp_set_max_body_size(mHttp,
                           static_cast<ev_ssize_t>(aLimits.mMaxBodyBytes));
  const timeval tv = ToTimeval(aLimits.mReadTimeout);
  evhttp_set_timeout_tv(mHttp, &tv);
  evhttp_set_default_content_type(mHttp, nullptr);
  evhttp_set_gencb(mHttp, &HttpServer::HandleRequest, this);
}

HttpServer::~HttpServer()
{
  *mIsAlive = false;
  evhttp_free(mHttp);
}

absl::Status
HttpServer::Listen(const SocketAddress& aAddress)
{
  mSocket = evhttp_bind_socket_with_handle(
    mHttp, aAddress.mHost.c_str(), aAddress.mPort);
  if (mSocket == nullptr) {
    return absl::UnavailableError(absl::StrCat(
      "cannot listen at ", FormatAddress(aAddress), ": ", strerror(errno)));
  }
  return absl::OkStatus();
}

void
HttpServer::StopListening()
{
  if (mSocket != nullptr) {
    evhttp_del_accept_socket(mHttp, std::exchange(mSocket, nullptr));
  }
}

void
HttpServer::HandleRequest(evhttp_request* aRequest, void* aServer)
{
  static_cast<HttpServer*>(aServer)->Accept(aRequest);
}

void
HttpServer::PrepareForReply(evhttp_request* aRequest)
{
  bufferevent* bev = BuffereventOf(aRequest);
  // The library stops reading while a reply is owed and would not notice that
  // the other side closed. The read timeout must not run in that time.
  const timeval writeTimeout = ToTimeval(mLimits.mWriteTimeout);
  bufferevent_set_timeouts(bev, nullptr, &writeTimeout);
  // The library ends the process when bytes of a pipelined request reach its
  // read callback before the reply started, so they wait in the buffer.
  bufferevent_data_cb writeHook = nullptr;
  bufferevent_event_cb eventHook = nullptr;
  void* argument = nullptr;
  bufferevent_getcb(bev, nullptr, &writeHook, &eventHook, &argument);
  bufferevent_setcb(bev, nullptr, writeHook, eventHook, argument);
  bufferevent_setwatermark(bev, EV_READ, 0, kMaxPipelinedBytes);
  bufferevent_enable(bev, EV_READ);
  evhttp_request_set_on_complete_cb(
    aRequest, &HttpServer::HandleComplete, this);
  DetectDeadConnection(bufferevent_getfd(bev), mLimits.mWriteTimeout);
}

void
HttpServer::HandleComplete(evhttp_request* aRequest, void* aServer)
{
  const auto* server = static_cast<HttpServer*>(aServer);
  bufferevent* bev = BuffereventOf(aRequest);
  if (bev != nullptr) {
    const timeval readTimeout = ToTimeval(server->mLimits.mReadTimeout);
    bufferevent_set_timeouts(bev, &readTimeout, &readTimeout);
    bufferevent_setwatermark(bev, EV_READ, 0, 0);
  }
}

void
HttpServer::Accept(evhttp_request* aRequest)
{
  const auto method = MethodOf(aRequest);
  if (!method) {
    evhttp_send_error(aRequest, kStatusNotImplemented, nullptr);
    return;
  }
  auto exchange = std::make_shared<HttpExchange>(
    aRequest, CopyRequest(aRequest, *method), mIsAlive);
  PrepareForReply(aRequest);
  evhttp_connection_set_closecb(
    evhttp_request_get_connection(aRequest),
    [](evhttp_connection*, void* aExchange) {
      static_cast<HttpExchange*>(aExchange)->HandleClosed();
    },
    exchange.get());
  mHandler(std::move(exchange));
}

} // namespace bulrushfold
