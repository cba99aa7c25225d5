#include "Net/HttpServer.h"

#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "LoopFixture.h"

namespace bulrushfold {

namespace {
constexpr std::size_t kBodyBytes = 512 * 1024;

std::string
Request(std::size_t aBytes)
{
  return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(aBytes) + "\r\n\r\n" + std::string(aBytes, 'x');
}

/** A server that has memory for one large body. It keeps the requests, and
 * answers them when the test says so. */
struct BodyMemoryServer
{
  BodyMemoryServer()
  {
    HttpServerLimits limits;
    limits.mMaxBodyMemory = 2 * kBodyBytes + kBodyBytes / 2;
    mServer = std::make_unique<HttpServer>(
      mLoop, limits, [this](std::shared_ptr<HttpExchange> aExchange) {
        mExchanges.push_back(std::move(aExchange));
      });
    mServer->OnRefused([this](const HttpRefusal& aRefusal) {
      mRefusals.emplace_back(aRefusal.mReason);
    });
    REQUIRE(mServer->Listen(mAddress).ok());
  }
  /** Sends aText in parts, while the server reads. */
  void Send(RawClient& aClient, const std::string& aText)
  {
    constexpr std::size_t kPart = 64 * 1024;
    for (std::size_t at = 0; at < aText.size(); at += kPart) {
      aClient.Send(aText.substr(at, kPart));
      RunFor(mLoop, std::chrono::milliseconds(3));
    }
  }
  bool HasExchanges(std::size_t aCount)
  {
    return RunUntil(mLoop, [&] { return mExchanges.size() == aCount; });
  }

  EventLoop mLoop;
  SocketAddress mAddress = FreeAddress();
  std::vector<std::shared_ptr<HttpExchange>> mExchanges;
  std::vector<std::string> mRefusals;
  std::unique_ptr<HttpServer> mServer;
};
} // namespace

TEST_CASE("A server reads a large body only when there is memory for it")
{
  BodyMemoryServer server;
  RawClient first(server.mAddress);
  server.Send(first, Request(kBodyBytes));
  REQUIRE(server.HasExchanges(1));
  CHECK(server.mServer->BodyBytes() >= 2 * kBodyBytes);
  RawClient second(server.mAddress);
  second.Send(Request(kBodyBytes).substr(0, kBodyBytes / 4));
  RunFor(server.mLoop, std::chrono::milliseconds(50));

  SUBCASE("and goes on when another request has ended")
  {
    server.mExchanges.front()->Reply(200, {}, "");
    server.mExchanges.clear();
    server.Send(second, Request(kBodyBytes).substr(kBodyBytes / 4));
    REQUIRE(server.HasExchanges(1));
    CHECK(server.mExchanges.front()->Request().mBody.size() == kBodyBytes);
    server.mExchanges.clear();
    CHECK(server.mServer->BodyBytes() == 0);
  }
  SUBCASE("and a small one without waiting")
  {
    RawClient third(server.mAddress);
    third.Send(Request(1000));
    CHECK(server.HasExchanges(2));
  }
  SUBCASE("and refuses it when none is freed")
  {
    REQUIRE(RunUntil(server.mLoop, [&] { return second.IsClosedByServer(); }));
    CHECK(second.Received().find("HTTP/1.1 503") == 0);
    CHECK(second.Received().find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(server.mRefusals == std::vector<std::string>{ "no_body_memory" });
    CHECK(server.mExchanges.size() == 1);
  }
  SUBCASE("and ends with requests in memory and waiting")
  {
    server.mServer.reset();
  }
}

TEST_CASE("A server ends a body that stands still for one that waits")
{
  BodyMemoryServer server;
  RawClient still(server.mAddress);
  server.Send(still, Request(kBodyBytes).substr(0, kBodyBytes));
  RawClient waiting(server.mAddress);
  server.Send(waiting, Request(kBodyBytes));
  REQUIRE(server.HasExchanges(1));
  REQUIRE(RunUntil(server.mLoop, [&] { return still.IsClosedByServer(); }));
  CHECK(still.Received().find("HTTP/1.1 503") == 0);
}

} // namespace bulrushfold
