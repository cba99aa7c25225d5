#include "Net/HttpServer.h"

#include <algorithm>
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
/** Minimum time between two timed decisions on bodies that wait. */
constexpr Duration kMinDecisionInterval = std::chrono::milliseconds(1);
} // namespace

HttpServer::HttpServer(EventLoop& aLoop,
                       HttpServerLimits aLimits,
                       Handler aHandler)
  : mLoop(aLoop)
  , mLimits(aLimits)
  , mHandler(std::move(aHandler))
  , mBodyMemory(std::make_shared<BodyMemory>(aLimits.mMaxBodyMemory,
                                             [this, alive = mIsAlive] {
                                               if (*alive) {
                                                 ScheduleBodyDecision();
                                               }
                                             }))
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
      absl::StrCat(FormatAddress(aAddress), " is not an IPv4 address"));
  }
  mListener = evconnlistener_new_bind(
    mLoop.Base(),
    [](evconnlistener*,
       evutil_socket_t aSocket,
       sockaddr* aCallerAddress,
       int,
       void* aSelf) {
      static_cast<HttpServer*>(aSelf)->Accept(aSocket,
                                              FormatHost(*aCallerAddress));
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
HttpServer::Accept(int aSocket, std::string aCallerAddress)
{
  const std::uint64_t connectionId = mNextConnectionId++;
  mConnections[connectionId] = std::make_unique<HttpServerConnection>(
    mLoop, aSocket, std::move(aCallerAddress), *this, [this, connectionId] {
      RemoveConnection(connectionId);
    });
  if (mConnections.size() >= mLimits.mMaxConnections) {
    mIsAccepting = false;
    evconnlistener_disable(mListener);
  }
}

void
HttpServer::RemoveConnection(std::uint64_t aConnectionId)
{
  // A callback of the connection may be running, so the connection is destroyed
  // in a later iteration of the loop.
  mLoop.Defer([this, aConnectionId, alive = mIsAlive] {
    if (!*alive) {
      return;
    }
    mConnections.erase(aConnectionId);
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
  for (const auto& [connectionId, connection] : mConnections) {
    connection->CloseWhenSent();
  }
}

HttpServerWork
HttpServer::UnfinishedWork() const
{
  HttpServerWork work;
  for (const auto& [connectionId, connection] : mConnections) {
    work.mBusyConnections += connection->IsBusy() ? 1 : 0;
    work.mUnsentBytes += connection->PendingBytes();
  }
  return work;
}

void
HttpServer::SetLimits(const HttpServerLimits& aLimits)
{
  mLimits = aLimits;
  mBodyMemory->SetLimit(aLimits.mMaxBodyMemory);
}

BodyTicket
HttpServer::AddBody(BodyMemory::DecisionHook aHook)
{
  const auto body = mBodyMemory->Add(std::move(aHook), mClock.Now());
  return { mBodyMemory, body };
}

void
HttpServer::ScheduleBodyDecision()
{
  if (std::exchange(mIsDecisionScheduled, true)) {
    return;
  }
  mLoop.Defer([this, alive = mIsAlive] {
    if (*alive) {
      mIsDecisionScheduled = false;
      DecideOnBodies();
    }
  });
}

void
HttpServer::DecideOnBodies()
{
  const Instant now = mClock.Now();
  mBodyMemory->Decide(now);
  mBodyTimer = EventHandle();
  if (const auto next = mBodyMemory->NextWake(); next) {
    mBodyTimer = mLoop.After(std::max(*next - now, kMinDecisionInterval),
                             [this] { ScheduleBodyDecision(); });
  }
}

void
HttpServer::HandleExchange(std::shared_ptr<HttpExchange> aExchange)
{
  mHandler(std::move(aExchange));
}

void
HttpServer::ReportRefusal(const HttpRefusal& aRefusal)
{
  if (mRefusalHook) {
    mRefusalHook(aRefusal);
  }
}

} // namespace bulrushfold
