#include "Net/HttpClient.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Base/EnumNames.h"
#include "Net/HttpClientConnection.h"

namespace bulrushfold {

namespace {

constexpr std::size_t kMaxIdlePerServer = 64;
/** Interval at which expired idle connections are closed. */
constexpr Duration kSweepInterval = std::chrono::seconds(1);

constexpr EnumNames<HttpCallResult, 7> kResultNames{ {
  { HttpCallResult::Complete, "complete" },
  { HttpCallResult::ConnectFailed, "connect_failed" },
  { HttpCallResult::ReadTimeout, "silent" },
  { HttpCallResult::ConnectionLost, "connection_lost" },
  { HttpCallResult::InvalidReply, "invalid_reply" },
  { HttpCallResult::TotalTimeout, "total_timeout" },
  { HttpCallResult::MemoryLimit, "memory_limit" },
} };

} // namespace

std::string_view
HttpCallResultName(HttpCallResult aResult)
{
  return FindEnumName(kResultNames, aResult);
}

HttpCall::~HttpCall()
{
  if (const auto connection = mConnection.lock(); connection) {
    connection->Cancel(mCallId);
  }
}

void
HttpCall::SetReading(bool aIsReading)
{
  if (const auto connection = mConnection.lock(); connection) {
    connection->SetReading(mCallId, aIsReading);
  }
}

void
HttpCall::SetKeptBytes(std::size_t aBytes)
{
  if (const auto connection = mConnection.lock(); connection) {
    connection->SetKeptBytes(mCallId, aBytes);
  }
}

void
HttpCall::ConfirmReply()
{
  if (const auto connection = mConnection.lock(); connection) {
    connection->ConfirmReply(mCallId);
  }
}

bool
HttpCall::IsConnected() const
{
  const auto connection = mConnection.lock();
  return connection == nullptr || connection->IsConnected();
}

HttpClient::HttpClient(EventLoop& aLoop, std::size_t aMaxReplyBytes)
  : mLoop(aLoop)
  , mMaxReplyBytes(aMaxReplyBytes)
{
}

std::unique_ptr<HttpCall>
HttpClient::Start(HttpCallRequest aRequest, HttpCallHooks aHooks)
{
  std::shared_ptr<HttpClientConnection> connection = AcquireIdle(aRequest);
  const bool isReused = connection != nullptr;
  if (isReused) {
    ++mStatistics.mReusedConnections;
  } else {
    ++mStatistics.mOpenedConnections;
    connection = std::make_shared<HttpClientConnection>(mLoop, *this);
  }
  mBusyConnections[connection.get()] = connection;
  const std::uint64_t callId =
    connection->Start(std::move(aRequest), std::move(aHooks));
  return std::make_unique<HttpCall>(connection, callId, isReused);
}

std::shared_ptr<HttpClientConnection>
HttpClient::AcquireIdle(const HttpCallRequest& aRequest)
{
  const auto it =
    mIdleConnections.find({ aRequest.mAddress, aRequest.mServer });
  if (it == mIdleConnections.end() || aRequest.mReadBytesPerSecond > 0) {
    return nullptr;
  }
  const Instant now = mClock.Now();
  ConnectionList& idle = it->second;
  for (auto at = idle.end(); at != idle.begin();) {
    auto connection = *--at;
    if (now - connection->IdleSince() >= aRequest.mMaxIdleTime) {
      return nullptr; // the remaining connections have been idle even longer
    }
    if (aRequest.mNeedsUnambiguousReply && connection->HasUnconfirmedError()) {
      continue;
    }
    at = idle.erase(at);
    if (now < connection->ExpiresAt()) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

void
HttpClient::ReturnToPool(HttpClientConnection& aConnection)
{
  const auto connection = aConnection.shared_from_this();
  mBusyConnections.erase(&aConnection);
  auto& idle =
    mIdleConnections[{ aConnection.Address(), aConnection.Server() }];
  idle.push_back(connection);
  if (idle.size() > kMaxIdlePerServer) {
    idle.front()->Close();
  }
  ScheduleSweep();
}

void
HttpClient::RemoveConnection(HttpClientConnection& aConnection)
{
  const auto connection = aConnection.shared_from_this();
  mBusyConnections.erase(&aConnection);
  const auto it =
    mIdleConnections.find({ aConnection.Address(), aConnection.Server() });
  if (it != mIdleConnections.end()) {
    it->second.remove(connection);
  }
  // A libevent callback of the connection may be running, so the connection is
  // destroyed in a later iteration of the loop.
  mLoop.Defer([connection] {});
}

void
HttpClient::OnReplyBytes(std::size_t aOld, std::size_t aNew)
{
  mReplyBytes = mReplyBytes - aOld + aNew;
  // The connection is reading, and its call may be the one to end.
  if (mReplyBytes > mMaxReplyBytes &&
      !std::exchange(mIsLimitCheckScheduled, true)) {
    mLoop.Defer([this] {
      mIsLimitCheckScheduled = false;
      EndLargestReplies();
    });
  }
}

void
HttpClient::EndLargestReplies()
{
  while (mReplyBytes > mMaxReplyBytes && !mBusyConnections.empty()) {
    const auto largest = std::max_element(
      mBusyConnections.begin(),
      mBusyConnections.end(),
      [](const auto& aLeft, const auto& aRight) {
        return aLeft.first->ReplyBytes() < aRight.first->ReplyBytes();
      });
    // The reference keeps the connection alive while its call ends.
    const std::shared_ptr<HttpClientConnection> connection = largest->second;
    connection->EndForMemoryLimit();
  }
}

void
HttpClient::CloseIdle(const SocketAddress& aAddress)
{
  std::vector<std::shared_ptr<HttpClientConnection>> dropped;
  for (const auto& [key, idle] : mIdleConnections) {
    if (key.first == aAddress) {
      dropped.insert(dropped.end(), idle.begin(), idle.end());
    }
  }
  for (const auto& it : dropped) {
    it->Close();
  }
}

void
HttpClient::ScheduleSweep()
{
  if (!std::exchange(mIsSweepScheduled, true)) {
    mSweepTimer = mLoop.After(kSweepInterval, [this] {
      mIsSweepScheduled = false;
      CloseExpiredIdle();
    });
  }
}

void
HttpClient::CloseExpiredIdle()
{
  const Instant now = mClock.Now();
  std::vector<std::shared_ptr<HttpClientConnection>> expired;
  for (const auto& [key, idle] : mIdleConnections) {
    for (const auto& it : idle) {
      if (now >= it->ExpiresAt()) {
        expired.push_back(it);
      }
    }
  }
  for (const auto& it : expired) {
    it->Close();
  }
  for (auto it = mIdleConnections.begin(); it != mIdleConnections.end();) {
    it = it->second.empty() ? mIdleConnections.erase(it) : std::next(it);
  }
  if (!mIdleConnections.empty()) {
    ScheduleSweep();
  }
}

} // namespace bulrushfold
