#include "Net/HttpClient.h"
#include "Net/HttpServer.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "LoopFixture.h"

namespace bulrushfold {

namespace {

/** A server socket of which a test writes every byte. */
class RawServer
{
public:
  RawServer()
    : mAddress(FreeAddress())
    , mListener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(mAddress.mPort);
    const int isOn = 1;
    setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof(isOn));
    REQUIRE(bind(mListener,
                 reinterpret_cast<sockaddr*>(&address),
                 sizeof(address)) == 0);
    REQUIRE(listen(mListener, 8) == 0);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;
  ~RawServer()
  {
    for (const int it : mSockets) {
      close(it);
    }
    close(mListener);
  }

  const SocketAddress& Address() const { return mAddress; }
  /** Accepts what waits; returns the number of connections so far. */
  std::size_t Accept()
  {
    const int fd = accept4(mListener, nullptr, nullptr, SOCK_NONBLOCK);
    if (fd >= 0) {
      mSockets.push_back(fd);
    }
    return mSockets.size();
  }
  /** True when bytes have arrived since the last Send. */
  bool HasReceived(std::size_t aConnection)
  {
    char buf[4096];
    if (recv(mSockets[aConnection], buf, sizeof(buf), 0) > 0) {
      mHasReceived[aConnection] = true;
    }
    return mHasReceived[aConnection];
  }
  void Send(std::size_t aConnection, const std::string& aData)
  {
    send(mSockets[aConnection], aData.data(), aData.size(), MSG_NOSIGNAL);
    mHasReceived[aConnection] = false;
  }
  void Close(std::size_t aConnection, bool aReset)
  {
    if (aReset) {
      const linger abort{ 1, 0 };
      setsockopt(
        mSockets[aConnection], SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    }
    close(mSockets[aConnection]);
    mSockets[aConnection] = -1;
  }

private:
  SocketAddress mAddress;
  int mListener;
  std::vector<int> mSockets;
  std::map<std::size_t, bool> mHasReceived;
};

const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

// Guards against bytes of one reply that are taken for another.
TEST_CASE("A client uses a connection only for clean replies")
{
  EventLoop loop;
  HttpClient client(loop);
  RawServer server;
  std::vector<HttpCallReply> replies;
  std::vector<std::unique_ptr<HttpCall>> calls;
  HttpCallRequest request;
  request.mAddress = server.Address();
  const auto start = [&] {
    HttpCallHooks hooks;
    hooks.mOnDone = [&](HttpCallReply aReply) {
      replies.push_back(std::move(aReply));
    };
    calls.push_back(client.Start(request, std::move(hooks)));
  };
  const auto reply = [&](std::size_t aConnection, const std::string& aData) {
    const std::size_t before = replies.size();
    REQUIRE(RunUntil(loop, [&] { return server.Accept() > aConnection; }));
    REQUIRE(RunUntil(loop, [&] { return server.HasReceived(aConnection); }));
    server.Send(aConnection, aData);
    return RunUntil(loop, [&] { return replies.size() > before; });
  };
  start();

  SUBCASE("a whole reply lets the connection serve the next call")
  {
    REQUIRE(reply(0, kOk));
    start();
    REQUIRE(reply(0, kOk));
    CHECK(replies[1].mIsReused);
    CHECK(client.Statistics().mOpened == 1);
    // Guards against the handle of a finished call that cancels a later one.
    SUBCASE("and the handle of a finished call does not end a later one")
    {
      start();
      calls[0].reset();
      CHECK(reply(0, kOk));
    }
    SUBCASE("but not a call that demands a new connection")
    {
      request.mMaxIdleTime = Duration::zero();
      start();
      REQUIRE(reply(1, kOk));
      CHECK_FALSE(replies[2].mIsReused);
    }
    SUBCASE("but not a call to another server at the same address")
    {
      request.mServer = "successor";
      start();
      REQUIRE(reply(1, kOk));
      CHECK_FALSE(replies[2].mIsReused);
    }
  }
  SUBCASE("bytes after a reply close it")
  {
    REQUIRE(reply(0, kOk + "HTTP/1.1 200 OK\r\n"));
    CHECK(replies[0].mResult == HttpCallResult::Complete);
    CHECK(replies[0].mBody == "ok");
    start();
    REQUIRE(reply(1, kOk));
  }
  SUBCASE("bytes that nobody asked for close it while it is idle")
  {
    REQUIRE(reply(0, kOk));
    server.Send(0, kOk);
    bool due = false;
    const auto timer =
      loop.After(std::chrono::milliseconds(50), [&] { due = true; });
    REQUIRE(RunUntil(loop, [&] { return due; }));
    start();
    REQUIRE(reply(1, kOk));
    CHECK_FALSE(replies[1].mIsReused);
  }
  SUBCASE("a reply that announces the end closes it")
  {
    REQUIRE(reply(
      0, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"));
    start();
    REQUIRE(reply(1, kOk));
  }
  SUBCASE("an idle time of zero seconds closes it")
  {
    REQUIRE(reply(0,
                  "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"
                  "Content-Length: 0\r\n\r\n"));
    start();
    REQUIRE(reply(1, kOk));
  }
  // A server may reply early and read the rest of the body later.
  SUBCASE("a reply before the body is sent closes it")
  {
    request.mBody = std::string(8'000'000, 'x');
    request.mMethod = HttpMethod::Post;
    start();
    REQUIRE(reply(1, kOk));
    CHECK(replies.back().mResult == HttpCallResult::Complete);
    start();
    REQUIRE(reply(2, kOk));
  }
  SUBCASE("a reply without length")
  {
    REQUIRE(RunUntil(loop, [&] { return server.Accept() == 1; }));
    server.Send(0, "HTTP/1.1 200 OK\r\n\r\npart");
    SUBCASE("is whole at an orderly end")
    {
      server.Close(0, false);
      REQUIRE(RunUntil(loop, [&] { return !replies.empty(); }));
      CHECK(replies[0].mResult == HttpCallResult::Complete);
      CHECK(replies[0].mBody == "part");
    }
    SUBCASE("is lost at a reset")
    {
      REQUIRE(RunUntil(loop, [&] { return server.HasReceived(0); }));
      server.Close(0, true);
      REQUIRE(RunUntil(loop, [&] { return !replies.empty(); }));
      CHECK(replies[0].mResult == HttpCallResult::ConnectionLost);
    }
  }
  SUBCASE("bytes that are no reply end the call")
  {
    REQUIRE(reply(0, "nonsense\r\n\r\n"));
    CHECK(replies[0].mResult == HttpCallResult::InvalidReply);
  }
}

TEST_CASE("A server treats kept connections with care")
{
  EventLoop loop;
  HttpServerLimits limits;
  limits.mHeaderTimeout = std::chrono::milliseconds(100);
  std::vector<std::shared_ptr<HttpExchange>> exchanges;
  HttpServer server(loop, limits, [&](std::shared_ptr<HttpExchange> aIt) {
    exchanges.push_back(std::move(aIt));
  });
  std::vector<int> refused;
  server.OnRefused(
    [&](const HttpRefusal& aIt) { refused.push_back(aIt.mStatus); });
  const auto address = FreeAddress();
  REQUIRE(server.Listen(address).ok());
  RawClient client(address);
  const auto received = [&](const std::string& aText) {
    return RunUntil(
      loop, [&] { return client.Received().find(aText) != std::string::npos; });
  };
  const std::string get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

  // Guards against a kept connection that closes under a crossing request.
  SUBCASE("a draining server announces the end with the next reply")
  {
    client.Send(get);
    REQUIRE(RunUntil(loop, [&] { return exchanges.size() == 1; }));
    exchanges[0]->Reply(200, {}, "one");
    REQUIRE(received("one"));
    server.BeginDraining();
    client.Send(get);
    REQUIRE(RunUntil(loop, [&] { return exchanges.size() == 2; }));
    exchanges[1]->Reply(200, {}, "two");
    REQUIRE(received("two"));
    CHECK(client.Received().find("Connection: close") != std::string::npos);
    CHECK(RunUntil(loop, [&] { return client.IsClosedByServer(); }));
  }
  SUBCASE("a stream that began before draining does not close unannounced")
  {
    client.Send(get);
    REQUIRE(RunUntil(loop, [&] { return exchanges.size() == 1; }));
    exchanges[0]->StartStream(200, {});
    server.BeginDraining();
    exchanges[0]->EndStream();
    REQUIRE(received("0\r\n\r\n"));
    client.Send(get);
    CHECK(RunUntil(loop, [&] { return exchanges.size() == 2; }));
  }
  SUBCASE("a request that takes too long is refused and counted")
  {
    client.Send("GET / HTTP/1.1\r\n");
    REQUIRE(received("HTTP/1.1 408 "));
    CHECK(RunUntil(loop, [&] { return client.IsClosedByServer(); }));
    CHECK(refused == std::vector<int>{ 408 });
  }
  // Guards against a reset that overtakes the refusal of a large request.
  SUBCASE("a refusal arrives although the body is still being sent")
  {
    client.Send(
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n" +
      std::string(100'000, 'x'));
    REQUIRE(received("HTTP/1.1 413 "));
    CHECK(refused == std::vector<int>{ 413 });
  }
  SUBCASE("a caller that waits for permission gets it")
  {
    client.Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
                "Expect: 100-continue\r\n\r\n");
    REQUIRE(received("HTTP/1.1 100 Continue\r\n\r\n"));
    client.Send("ok");
    REQUIRE(RunUntil(loop, [&] { return exchanges.size() == 1; }));
    CHECK(exchanges[0]->Request().mBody == "ok");
  }
  // Guards against a broken stream that looks complete.
  SUBCASE("an aborted stream ends without its last chunk")
  {
    client.Send(get);
    REQUIRE(RunUntil(loop, [&] { return exchanges.size() == 1; }));
    exchanges[0]->StartStream(200, {});
    exchanges[0]->SendChunk("part");
    exchanges[0]->Abort();
    REQUIRE(RunUntil(loop, [&] { return client.IsClosedByServer(); }));
    CHECK(client.Received().find("part") != std::string::npos);
    CHECK(client.Received().find("0\r\n\r\n") == std::string::npos);
  }
  SUBCASE("idle connections can be closed")
  {
    client.Send(get);
    REQUIRE(RunUntil(loop, [&] { return exchanges.size() == 1; }));
    server.CloseIdle();
    exchanges[0]->Reply(200, {}, "one");
    REQUIRE(received("one"));
    server.CloseIdle();
    CHECK(RunUntil(loop, [&] { return client.IsClosedByServer(); }));
  }
}

} // namespace bulrushfold
