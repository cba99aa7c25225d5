#include "Net/HttpClient.h"

#include <utility>
#include <vector>

#include "Base/EnumNames.h"
#include "Net/HttpClientConnection.h"

namespace bulrushfold {

namespace {

constexpr std::size_t kMaxIdlePerServer = 64;
/** Interval at which connections that were idle too long are closed. */
constexpr Duration kSweepInterval = std::chrono::seconds(1);

constexpr EnumNames<HttpCallResult, 5> kResultNames{ {
  { HttpCallResult::Complete, "complete" },
  { HttpCallResult::ConnectFailed, "connect_failed" },
  { HttpCallResult::ReadTimeout, "silent" },
  { HttpCallResult::ConnectionLost, "connection_lost" },
  { HttpCallResult::InvalidReply, "invalid_reply" },
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
    connection->Cancel(mNumber);
  }
}

void
HttpCall::SetReading(bool aIsReading)
{
  if (const auto connection = mConnection.lock(); connection) {
    connection->SetReading(mNumber, aIsReading);
  }
}

HttpClient::HttpClient(EventLoop& aLoop)
  : mLoop(aLoop)
{
}

std::unique_ptr<HttpCall>
HttpClient::Start(HttpCallRequest aRequest, HttpCallHooks aHooks)
{
  std::shared_ptr<HttpClientConnection> connection = TakeIdle(aRequest);
  if (connection) {
    ++mStatistics.mReused;
  } else {
    ++mStatistics.mOpened;
    connection = std::make_shared<HttpClientConnection>(mLoop, *this);
  }
  mBusy[connection.get()] = connection;
  const std::uint64_t number =
    connection->Start(std::move(aRequest), std::move(aHooks));
  return std::make_unique<HttpCall>(connection, number);
}

std::shared_ptr<HttpClientConnection>
HttpClient::TakeIdle(const HttpCallRequest& aRequest)
{
  const auto it = mIdle.find({ aRequest.mAddress, aRequest.mServer });
  if (it == mIdle.end() || aRequest.mReadBytesPerSecond > 0) {
    return nullptr;
  }
  const Instant now = mClock.Now();
  while (!it->second.empty()) {
    auto connection = it->second.back();
    if (now - connection->IdleSince() >= aRequest.mMaxIdleTime) {
      return nullptr; // the others were idle for longer
    }
    it->second.pop_back();
    if (now < connection->ExpiresAt()) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

void
HttpClient::GiveBack(HttpClientConnection& aConnection)
{
  const auto connection = aConnection.shared_from_this();
  mBusy.erase(&aConnection);
  auto& idle = mIdle[{ aConnection.Address(), aConnection.Server() }];
  idle.push_back(connection);
  if (idle.size() > kMaxIdlePerServer) {
    idle.front()->Close();
  }
  ArmSweep();
}

void
HttpClient::Forget(HttpClientConnection& aConnection)
{
  const auto connection = aConnection.shared_from_this();
  mBusy.erase(&aConnection);
  const auto it = mIdle.find({ aConnection.Address(), aConnection.Server() });
  if (it != mIdle.end()) {
    it->second.remove(connection);
  }
  // It may be running a callback of the library.
  mLoop.Defer([connection] {});
}

void
HttpClient::CloseIdle(const SocketAddress& aAddress)
{
  std::vector<std::shared_ptr<HttpClientConnection>> dropped;
  for (const auto& [key, idle] : mIdle) {
    if (key.first == aAddress) {
      dropped.insert(dropped.end(), idle.begin(), idle.end());
    }
  }
  for (const auto& it : dropped) {
    it->Close();
  }
}

void
HttpClient::ArmSweep()
{
  if (!std::exchange(mIsSweepArmed, true)) {
    mSweepTimer = mLoop.After(kSweepInterval, [this] {
      mIsSweepArmed = false;
      CloseStaleIdle();
    });
  }
}

void
HttpClient::CloseStaleIdle()
{
  const Instant now = mClock.Now();
  std::vector<std::shared_ptr<HttpClientConnection>> stale;
  for (const auto& [key, idle] : mIdle) {
    for (const auto& it : idle) {
      if (now >= it->ExpiresAt()) {
        stale.push_back(it);
      }
    }
  }
  for (const auto& it : stale) {
    it->Close();
  }
  for (auto it = mIdle.begin(); it != mIdle.end();) {
    it = it->second.empty() ? mIdle.erase(it) : std::next(it);
  }
  if (!mIdle.empty()) {
    ArmSweep();
  }
}

} // namespace bulrushfold
