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

/** A server socket with which a test sends raw bytes. */
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
    AllowReuse(mListener);
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
  /** Accepts a pending connection, if any; returns the number of connections
   * accepted so far. */
  std::size_t Accept()
  {
    const int fd = accept4(mListener, nullptr, nullptr, SOCK_NONBLOCK);
    if (fd >= 0) {
      mSockets.push_back(fd);
    }
    return mSockets.size();
  }
  /** Reads the available bytes; true when a byte was received since the last
   * Send on the connection. */
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

// Guards against bytes of one reply that are parsed as part of the reply to the
// next call on the same connection.
TEST_CASE("An HTTP client reuses a connection only if the last reply allows it")
{
  EventLoop loop;
  HttpClient client(loop);
  RawServer server;
  std::vector<HttpCallReply> replies;
  std::map<std::size_t, HttpCallResult> results;
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

  SUBCASE("a connection is reused after a complete reply")
  {
    REQUIRE(reply(0, kOk));
    start();
    REQUIRE(reply(0, kOk));
    CHECK(replies[1].mIsReused);
    CHECK(client.Statistics().mOpenedConnections == 1);
    // Guards against a handle that cancels a later call on the same connection.
    SUBCASE("destroying the handle of a finished call does not cancel another")
    {
      start();
      calls[0].reset();
      CHECK(reply(0, kOk));
    }
    SUBCASE("a call with a maximum idle age of zero opens a new connection")
    {
      request.mMaxIdleTime = Duration::zero();
      start();
      REQUIRE(reply(1, kOk));
      CHECK_FALSE(replies[2].mIsReused);
    }
    SUBCASE(
      "a call to another server at the same address opens a new connection")
    {
      request.mServer = "successor";
      start();
      REQUIRE(reply(1, kOk));
      CHECK_FALSE(replies[2].mIsReused);
    }
  }
  // Guards against an error reply that the server sends once more and that is
  // taken for the reply to a later call.
  SUBCASE("an error reply excludes calls that need an unambiguous reply")
  {
    REQUIRE(reply(0, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"));
    SUBCASE("until the caller has confirmed the reply")
    {
      calls[0]->ConfirmReply();
      request.mNeedsUnambiguousReply = true;
      start();
      REQUIRE(reply(0, kOk));
    }
    SUBCASE("and no others")
    {
      start();
      REQUIRE(reply(0, kOk));
      request.mNeedsUnambiguousReply = true;
      start();
      REQUIRE(reply(1, kOk));
      CHECK_FALSE(replies[2].mIsReused);
    }
  }
  // Guards against a server that keeps a call open by sending a byte before
  // each read timeout.
  SUBCASE("a call ends after its total timeout, even while bytes arrive")
  {
    REQUIRE(reply(0, kOk));
    request.mTotalTimeout = std::chrono::milliseconds(150);
    start();
    REQUIRE(RunUntil(loop, [&] { return server.HasReceived(0); }));
    const auto drip = loop.Every(std::chrono::milliseconds(20), [&] {
      server.Send(0, "HTTP/1.1 100 X\r\n\r\n");
    });
    REQUIRE(RunUntil(loop, [&] { return replies.size() == 2; }));
    CHECK(replies[1].mResult == HttpCallResult::TotalTimeout);
    SUBCASE("and a call that has ended does not end the next one")
    {
      request.mTotalTimeout = Duration::zero();
      start();
      REQUIRE(reply(1, kOk));
      CHECK(replies[2].mResult == HttpCallResult::Complete);
    }
  }
  // Guards against a process that runs out of memory because the limits of all
  // its calls together exceed it.
  SUBCASE("the largest reply ends when all replies exceed the memory limit")
  {
    constexpr std::size_t kLimit = 100'000;
    HttpClient limited(loop, kLimit);
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n";
    const auto startLimited = [&](std::size_t aConnection) {
      HttpCallHooks hooks;
      hooks.mOnDone = [&, aConnection](const HttpCallReply& aReply) {
        results[aConnection] = aReply.mResult;
      };
      calls.push_back(limited.Start(request, std::move(hooks)));
      REQUIRE(RunUntil(loop, [&] { return server.Accept() > aConnection; }));
      REQUIRE(RunUntil(loop, [&] { return server.HasReceived(aConnection); }));
    };
    startLimited(1);
    startLimited(2);
    server.Send(1, head + std::string(80'000, 'x'));
    REQUIRE(RunUntil(loop, [&] { return limited.ReplyBytes() == 80'000; }));
    server.Send(2, head + std::string(30'000, 'x'));
    REQUIRE(RunUntil(loop, [&] { return results.count(1) > 0; }));
    CHECK(results[1] == HttpCallResult::MemoryLimit);
    REQUIRE(RunUntil(loop, [&] { return limited.ReplyBytes() == 30'000; }));
    server.Send(2, std::string(60'000, 'x'));
    REQUIRE(RunUntil(loop, [&] { return results.count(2) > 0; }));
    CHECK(results[2] == HttpCallResult::Complete);
    CHECK(limited.ReplyBytes() == 0);
  }
  SUBCASE("bytes after the end of a reply close the connection")
  {
    REQUIRE(reply(0, kOk + "HTTP/1.1 200 OK\r\n"));
    CHECK(replies[0].mResult == HttpCallResult::Complete);
    CHECK(replies[0].mBody == "ok");
    start();
    REQUIRE(reply(1, kOk));
  }
  SUBCASE("unsolicited bytes on an idle connection close it")
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
  SUBCASE("a reply with Connection: close closes the connection")
  {
    REQUIRE(reply(
      0, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"));
    start();
    REQUIRE(reply(1, kOk));
  }
  SUBCASE("a Keep-Alive timeout of zero closes the connection")
  {
    REQUIRE(reply(0,
                  "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"
                  "Content-Length: 0\r\n\r\n"));
    start();
    REQUIRE(reply(1, kOk));
  }
  // A server may reply before it has read the whole request body. The rest of
  // the body would then be sent ahead of the next request.
  SUBCASE("a reply before the request body is sent closes the connection")
  {
    request.mBody = std::string(8'000'000, 'x');
    request.mMethod = HttpMethod::Post;
    start();
    REQUIRE(reply(1, kOk));
    CHECK(replies.back().mResult == HttpCallResult::Complete);
    start();
    REQUIRE(reply(2, kOk));
  }
  SUBCASE("a reply without a length")
  {
    REQUIRE(RunUntil(loop, [&] { return server.Accept() == 1; }));
    server.Send(0, "HTTP/1.1 200 OK\r\n\r\npart");
    SUBCASE("is complete when the server closes the connection")
    {
      server.Close(0, false);
      REQUIRE(RunUntil(loop, [&] { return !replies.empty(); }));
      CHECK(replies[0].mResult == HttpCallResult::Complete);
      CHECK(replies[0].mBody == "part");
    }
    SUBCASE("is incomplete when the server resets the connection")
    {
      REQUIRE(RunUntil(loop, [&] { return server.HasReceived(0); }));
      server.Close(0, true);
      REQUIRE(RunUntil(loop, [&] { return !replies.empty(); }));
      CHECK(replies[0].mResult == HttpCallResult::ConnectionLost);
    }
  }
  SUBCASE("bytes that are not an HTTP reply end the call")
  {
    REQUIRE(reply(0, "nonsense\r\n\r\n"));
    CHECK(replies[0].mResult == HttpCallResult::InvalidReply);
  }
}

TEST_CASE("HTTP server: closing of connections and refused requests")
{
  EventLoop loop;
  HttpServerLimits limits;
  limits.mHeaderTimeout = std::chrono::milliseconds(100);
  std::vector<std::shared_ptr<HttpExchange>> exchanges;
  HttpServer server(loop, limits, [&](std::shared_ptr<HttpExchange> aExchange) {
    exchanges.push_back(std::move(aExchange));
  });
  std::vector<int> refused;
  server.OnRefused(
    [&](const HttpRefusal& aRefusal) { refused.push_back(aRefusal.mStatus); });
  const auto address = FreeAddress();
  REQUIRE(server.Listen(address).ok());
  RawClient client(address);
  const auto received = [&](const std::string& aText) {
    return RunUntil(
      loop, [&] { return client.Received().find(aText) != std::string::npos; });
  };
  const std::string get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

  // Guards against a lost request: the caller sends it on a keep-alive
  // connection while the server closes that connection.
  SUBCASE("a draining server sends Connection: close with the next reply")
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
  SUBCASE("a stream that started before draining leaves its connection open")
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
  SUBCASE("a request whose head arrives too slowly is refused and reported")
  {
    client.Send("GET / HTTP/1.1\r\n");
    REQUIRE(received("HTTP/1.1 408 "));
    CHECK(RunUntil(loop, [&] { return client.IsClosedByServer(); }));
    CHECK(refused == std::vector<int>{ 408 });
  }
  // Guards against a connection reset that makes the caller lose the refusal of
  // a large request: closing a socket with unread input resets the connection.
  SUBCASE("a caller that is still sending the body receives the refusal")
  {
    client.Send(
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n" +
      std::string(100'000, 'x'));
    REQUIRE(received("HTTP/1.1 413 "));
    CHECK(refused == std::vector<int>{ 413 });
  }
  SUBCASE("a request with Expect: 100-continue gets an interim reply")
  {
    client.Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
                "Expect: 100-continue\r\n\r\n");
    REQUIRE(received("HTTP/1.1 100 Continue\r\n\r\n"));
    client.Send("ok");
    REQUIRE(RunUntil(loop, [&] { return exchanges.size() == 1; }));
    CHECK(exchanges[0]->Request().mBody == "ok");
  }
  // Guards against a truncated stream that looks complete.
  SUBCASE("an aborted stream ends without the terminating chunk")
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
  SUBCASE("CloseIdle closes only connections without a request")
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
