#include "Net/HttpServer.h"

#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

#include <event2/listener.h>

#include "Net/HttpServerConnection.h"
#include "Net/SocketOptions.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr int kBacklog = 1024;
} // namespace

HttpServer::HttpServer(EventLoop& aLoop,
                       HttpServerLimits aLimits,
                       Handler aHandler)
  : mLoop(aLoop)
  , mLimits(aLimits)
  , mHandler(std::move(aHandler))
{
}

HttpServer::~HttpServer()
{
  *mIsAlive = false;
  StopListening();
}

absl::Status
HttpServer::Listen(const SocketAddress& aAddress)
{
  const auto address = ToSockaddr(aAddress);
  if (!address) {
    return absl::InvalidArgumentError(
      absl::StrCat(FormatAddress(aAddress), " is no IPv4 address"));
  }
  mListener = evconnlistener_new_bind(
    mLoop.Base(),
    [](evconnlistener*,
       evutil_socket_t aSocket,
       sockaddr* aCaller,
       int,
       void* aSelf) {
      static_cast<HttpServer*>(aSelf)->Accept(aSocket, FormatHost(*aCaller));
    },
    this,
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
    kBacklog,
    reinterpret_cast<const sockaddr*>(&*address),
    sizeof(*address));
  if (mListener == nullptr) {
    return absl::UnavailableError(absl::StrCat(
      "cannot listen at ", FormatAddress(aAddress), ": ", strerror(errno)));
  }
  return absl::OkStatus();
}

void
HttpServer::StopListening()
{
  if (mListener != nullptr) {
    evconnlistener_free(std::exchange(mListener, nullptr));
  }
}

void
HttpServer::Accept(int aSocket, std::string aCaller)
{
  const std::uint64_t id = mNextId++;
  mConnections[id] = std::make_unique<HttpServerConnection>(
    mLoop, aSocket, std::move(aCaller), *this, [this, id] { Forget(id); });
  if (mConnections.size() >= mLimits.mMaxConnections) {
    mIsAccepting = false;
    evconnlistener_disable(mListener);
  }
}

void
HttpServer::Forget(std::uint64_t aId)
{
  // The connection may be running a callback.
  mLoop.Defer([this, aId, alive = mIsAlive] {
    if (!*alive) {
      return;
    }
    mConnections.erase(aId);
    if (!mIsAccepting && mListener != nullptr &&
        mConnections.size() < mLimits.mMaxConnections) {
      mIsAccepting = true;
      evconnlistener_enable(mListener);
    }
  });
}

void
HttpServer::CloseIdle()
{
  for (const auto& [id, connection] : mConnections) {
    if (connection->IsIdle()) {
      connection->Close();
    }
  }
}

void
HttpServer::Handle(std::shared_ptr<HttpExchange> aExchange)
{
  mHandler(std::move(aExchange));
}

void
HttpServer::NoteRefused(const HttpRefusal& aRefusal)
{
  if (mRefusalHook) {
    mRefusalHook(aRefusal);
  }
}

} // namespace bulrushfold
