#include "Net/HttpServer.h"

#include <memory>
#include <string>

#include <doctest/doctest.h>

#include "LoopFixture.h"

namespace bulrushfold {

namespace {

/** A server that keeps the exchange of each request for the test. */
class ManualServer
{
public:
  explicit ManualServer(HttpServerLimits aLimits = {})
    : mServer(mLoop,
              aLimits,
              [this](std::shared_ptr<HttpExchange> aExchange) {
                mExchange = std::move(aExchange);
              })
    , mAddress(FreeAddress())
  {
    REQUIRE(mServer.Listen(mAddress).ok());
  }
  /** Sends a request on aClient and waits until it has been read. */
  void Receive(RawClient& aClient)
  {
    aClient.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(RunUntil(mLoop, [&] { return mExchange != nullptr; }));
  }

  EventLoop mLoop;
  HttpServer mServer;
  SocketAddress mAddress;
  std::shared_ptr<HttpExchange> mExchange;
};

/** More than the socket buffers of both sides hold. */
const std::string kLargeBody(16 * 1024 * 1024, 'x');

} // namespace

// Guards against a stream whose last bytes are lost because its connection
// counts as idle as soon as the reply is complete in the output buffer.
TEST_CASE("A server that closes idle connections sends buffered replies first")
{
  ManualServer server;
  RawClient client(server.mAddress);
  server.Receive(client);
  server.mExchange->StartStream(200, {});

  SUBCASE("when the last event and the close fall into one loop iteration")
  {
    server.mServer.BeginDraining();
    server.mExchange->SendChunk("data: last\n\n");
    server.mExchange->EndStream();
    server.mServer.CloseIdle();
    REQUIRE(RunUntil(server.mLoop, [&] { return client.IsClosedByServer(); }));
    CHECK(CountOccurrences(client.Received(), "data: last") == 1);
    CHECK(CountOccurrences(client.Received(), "\r\n0\r\n\r\n") == 1);
  }
  SUBCASE("when the caller reads a large reply slowly")
  {
    server.mExchange->SendChunk(kLargeBody);
    server.mExchange->EndStream();
    server.mServer.CloseIdle();
    REQUIRE(RunUntil(server.mLoop, [&] { return client.IsClosedByServer(); }));
    CHECK(client.Received().size() > kLargeBody.size());
    CHECK(CountOccurrences(client.Received(), "\r\n0\r\n\r\n") == 1);
  }
}

// Guards against a reply that the idle timeout truncates, for example after a
// configuration with a shorter timeout.
TEST_CASE("The idle timeout starts when the reply is sent")
{
  HttpServerLimits limits;
  limits.mIdleTimeout = std::chrono::milliseconds(20);
  ManualServer server(limits);
  RawClient client(server.mAddress);
  server.Receive(client);

  SUBCASE("on a kept connection") {}
  SUBCASE("on a connection that closes after the reply")
  {
    server.mServer.BeginDraining();
  }
  server.mExchange->Reply(200, {}, kLargeBody);
  // The caller reads nothing for longer than the idle and the linger timeout.
  bool isOver = false;
  const auto timer =
    server.mLoop.After(std::chrono::milliseconds(1200), [&] { isOver = true; });
  REQUIRE(RunUntil(server.mLoop, [&] { return isOver; }));
  REQUIRE(RunUntil(server.mLoop, [&] { return client.IsClosedByServer(); }));
  CHECK(client.Received().size() > kLargeBody.size());
}

} // namespace bulrushfold
