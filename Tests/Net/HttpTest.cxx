#include "Net/HttpClient.h"
#include "Net/HttpServer.h"

#include <algorithm>

#include <doctest/doctest.h>

#include "LoopFixture.h"

namespace bulrushfold {

namespace {
const std::string kGet = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

TEST_CASE("HTTP server")
{
  EventLoop loop;
  HttpServerLimits limits;
  limits.mMaxHeaderBytes = 2048;
  limits.mMaxBodyBytes = 200'000;
  limits.mReadTimeout = std::chrono::milliseconds(200);
  limits.mHeaderTimeout = limits.mReadTimeout;
  limits.mIdleTimeout = limits.mReadTimeout;
  std::vector<std::shared_ptr<HttpExchange>> exchanges;
  HttpServer server(loop, limits, [&](std::shared_ptr<HttpExchange> aExchange) {
    exchanges.push_back(std::move(aExchange));
  });
  const auto address = FreeAddress();
  REQUIRE(server.Listen(address).ok());
  RawClient client(address);

  // Guards against engine memory that stays allocated for a caller that has
  // disconnected.
  SUBCASE(
    "the server detects a caller that closes before the reply is complete")
  {
    client.Send(kGet);
    REQUIRE(RunUntil(loop, [&] { return exchanges.size() == 1; }));
    bool closed = false;
    exchanges[0]->OnClosed([&] { closed = true; });
    SUBCASE("before any byte of the reply is sent") {}
    SUBCASE("in the middle of a streamed reply")
    {
      exchanges[0]->StartStream(200, {});
      exchanges[0]->SendChunk("first");
      REQUIRE(RunUntil(loop, [&] {
        return client.Received().find("first") != std::string::npos;
      }));
    }
    client.Close();
    CHECK(RunUntil(loop, [&] { return closed; }));
    CHECK(exchanges[0]->IsFinished());
    exchanges[0]->SendChunk("ignored");
    exchanges[0]->EndStream();
  }

  // Guards against an abort in the HTTP library when bytes arrive while a reply
  // is pending, and against the loss of the requests that follow.
  SUBCASE("pipelined requests are answered one after the other")
  {
    client.Send(kGet + kGet + kGet);
    for (std::size_t i = 0; i < 3; ++i) {
      REQUIRE(RunUntil(loop, [&] { return exchanges.size() == i + 1; }));
      client.Send("");
      exchanges[i]->Reply(200, {}, "answer");
    }
    CHECK(RunUntil(loop, [&] {
      return CountOccurrences(client.Received(), "answer") == 3;
    }));
  }

  // Guards against a read timeout that aborts a request whose reply is pending.
  SUBCASE("a reply may take longer than the read timeout")
  {
    client.Send(kGet);
    REQUIRE(RunUntil(loop, [&] { return exchanges.size() == 1; }));
    bool due = false;
    const auto timer = loop.After(2 * limits.mReadTimeout, [&] { due = true; });
    REQUIRE(RunUntil(loop, [&] { return due; }));
    exchanges[0]->Reply(200, {}, "late answer");
    CHECK(RunUntil(loop, [&] {
      return CountOccurrences(client.Received(), "late answer") == 1;
    }));

    SUBCASE("the idle connection is closed after the reply")
    {
      CHECK(RunUntil(loop, [&] { return client.IsClosedByServer(); }));
    }
    SUBCASE("the same connection accepts a request with a large body")
    {
      client.Send(
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 150000\r\n\r\n" +
        std::string(150'000, 'b'));
      REQUIRE(RunUntil(loop, [&] { return exchanges.size() == 2; }));
      CHECK(exchanges[1]->Request().mBody.size() == 150'000);
    }
  }

  SUBCASE("invalid input gets an error or is closed, and the server continues")
  {
    std::string bad;
    SUBCASE("not HTTP")
    {
      bad = "nonsense\r\n\r\n";
    }
    SUBCASE("headers too large")
    {
      bad = "GET / HTTP/1.1\r\nA: " + std::string(5000, 'a') + "\r\n\r\n";
    }
    SUBCASE("body too large")
    {
      bad = "POST / HTTP/1.1\r\nContent-Length: 900000\r\n\r\n";
    }
    SUBCASE("negative length")
    {
      bad = "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n";
    }
    SUBCASE("unknown method")
    {
      bad = "BREW / HTTP/1.1\r\n\r\n";
    }
    SUBCASE("incomplete request line")
    {
      bad = "GET / HT";
    }
    client.Send(bad);
    CHECK(RunUntil(loop, [&] {
      return client.IsClosedByServer() ||
             CountOccurrences(client.Received(), "HTTP/1.1") > 0;
    }));
    RawClient second(address);
    second.Send(kGet);
    CHECK(RunUntil(loop, [&] { return exchanges.size() == 1; }));
  }

  // Guards against a caller that waits forever for the reply to a dropped
  // request.
  SUBCASE("a connection closes when the handler drops its exchange")
  {
    client.Send(kGet);
    REQUIRE(RunUntil(loop, [&] { return exchanges.size() == 1; }));
    exchanges.clear();
    CHECK(RunUntil(loop, [&] { return client.IsClosedByServer(); }));
  }
}

TEST_CASE("HTTP client")
{
  EventLoop loop;
  HttpClient client(loop);
  std::vector<std::shared_ptr<HttpExchange>> exchanges;
  HttpServer server(loop, {}, [&](std::shared_ptr<HttpExchange> aExchange) {
    exchanges.push_back(std::move(aExchange));
  });
  HttpCallRequest request;
  request.mAddress = FreeAddress();
  request.mMethod = HttpMethod::Post;
  request.mTarget = "/path?a=b%20c";
  request.mBody = "body";
  request.mReadTimeout = std::chrono::milliseconds(200);
  std::vector<HttpCallReply> replies;
  HttpCallHooks hooks;
  hooks.mOnDone = [&](HttpCallReply aReply) {
    replies.push_back(std::move(aReply));
  };

  // Guards against a request that is reported as not run although the server
  // received bytes of it, and the reverse.
  SUBCASE(
    "the result distinguishes failed and lost connections and read timeouts")
  {
    SUBCASE("no server listens at the address")
    {
      const auto call = client.Start(request, hooks);
      REQUIRE(RunUntil(loop, [&] { return !replies.empty(); }));
      CHECK(replies[0].mResult == HttpCallResult::ConnectFailed);
    }
    SUBCASE("the server closes without a reply")
    {
      REQUIRE(server.Listen(request.mAddress).ok());
      const auto call = client.Start(request, hooks);
      REQUIRE(RunUntil(loop, [&] { return exchanges.size() == 1; }));
      exchanges.clear();
      REQUIRE(RunUntil(loop, [&] { return !replies.empty(); }));
      CHECK(replies[0].mResult == HttpCallResult::ConnectionLost);
    }
    SUBCASE("the server sends no byte of a reply")
    {
      REQUIRE(server.Listen(request.mAddress).ok());
      const auto call = client.Start(request, hooks);
      REQUIRE(RunUntil(loop, [&] { return !replies.empty(); }));
      CHECK(replies[0].mResult == HttpCallResult::ReadTimeout);
    }
  }

  SUBCASE("requests and replies are received completely")
  {
    REQUIRE(server.Listen(request.mAddress).ok());
    const auto call = client.Start(request, hooks);
    REQUIRE(RunUntil(loop, [&] { return exchanges.size() == 1; }));
    const auto& message = exchanges[0]->Request();
    CHECK(message.mPath == "/path");
    CHECK(message.Parameter("a") == "b c");
    CHECK(message.mBody == "body");
    exchanges[0]->Reply(201, { { "ETag", "7" } }, "reply");
    REQUIRE(RunUntil(loop, [&] { return !replies.empty(); }));
    CHECK(replies[0].mResult == HttpCallResult::Complete);
    CHECK(replies[0].mStatus == 201);
    CHECK(replies[0].mHeaders.Find("etag") == "7");
    CHECK(replies[0].mBody == "reply");
  }

  SUBCASE("a streamed reply is received in parts")
  {
    REQUIRE(server.Listen(request.mAddress).ok());
    std::string body;
    hooks.mOnChunk = [&](std::string_view aData) { body.append(aData); };
    const auto call = client.Start(request, hooks);
    REQUIRE(RunUntil(loop, [&] { return exchanges.size() == 1; }));
    exchanges[0]->StartStream(200, {});
    exchanges[0]->SendChunk("one ");
    REQUIRE(RunUntil(loop, [&] { return body == "one "; }));
    exchanges[0]->SendChunk("two");

    SUBCASE("and is complete at its end")
    {
      exchanges[0]->EndStream();
      REQUIRE(RunUntil(loop, [&] { return !replies.empty(); }));
      CHECK(replies[0].mResult == HttpCallResult::Complete);
      CHECK(body == "one two");
    }
    // Guards against a use after free: the last chunk and the end of the
    // reply are read in one iteration of the loop, and the hook for the chunk
    // destroys the call.
    SUBCASE("and the hook for the last chunk destroys the call")
    {
      std::unique_ptr<HttpCall> second;
      HttpCallHooks destroying;
      bool destroyed = false;
      destroying.mOnChunk = [&](std::string_view) {
        second.reset();
        destroyed = true;
      };
      destroying.mOnDone = hooks.mOnDone;
      second = client.Start(request, destroying);
      REQUIRE(RunUntil(loop, [&] { return exchanges.size() == 2; }));
      exchanges[1]->StartStream(200, {});
      exchanges[1]->SendChunk("last");
      exchanges[1]->EndStream();
      REQUIRE(RunUntil(loop, [&] { return destroyed; }));
      exchanges[0]->EndStream();
      REQUIRE(RunUntil(loop, [&] { return !replies.empty(); }));
      CHECK(replies.size() == 1);
    }
    // Guards against a truncated stream that looks complete.
    SUBCASE("and is lost when the server aborts it")
    {
      exchanges[0]->Abort();
      REQUIRE(RunUntil(loop, [&] { return !replies.empty(); }));
      CHECK(replies[0].mResult == HttpCallResult::ConnectionLost);
    }
    SUBCASE("and times out when the server sends no more chunks")
    {
      REQUIRE(RunUntil(loop, [&] { return !replies.empty(); }));
      CHECK(replies[0].mResult == HttpCallResult::ReadTimeout);
    }
  }

  // Guards against a rate limit without effect, and against one that remains on
  // a connection in the pool.
  SUBCASE("a call with a read rate limit receives the reply in small parts")
  {
    constexpr std::size_t kBytes = 20'000;
    REQUIRE(server.Listen(request.mAddress).ok());
    request.mReadBytesPerSecond = 10 * kBytes;
    std::vector<std::size_t> parts;
    std::size_t total = 0;
    hooks.mOnChunk = [&](std::string_view aData) {
      parts.push_back(aData.size());
      total += aData.size();
    };
    const auto call = client.Start(request, hooks);
    REQUIRE(RunUntil(loop, [&] { return exchanges.size() == 1; }));
    exchanges[0]->Reply(200, {}, std::string(kBytes, 'x'));
    REQUIRE(RunUntil(loop, [&] { return !replies.empty(); }));
    CHECK(replies[0].mResult == HttpCallResult::Complete);
    CHECK(total == kBytes);
    CHECK(parts.size() > 1);
    CHECK(*std::max_element(parts.begin(), parts.end()) <= kBytes / 2);
  }

  // Guards against an endpoint that continues to work for a caller that has
  // disconnected.
  SUBCASE("destroying a call closes its connection")
  {
    REQUIRE(server.Listen(request.mAddress).ok());
    auto call = client.Start(request, hooks);
    REQUIRE(RunUntil(loop, [&] { return exchanges.size() == 1; }));
    bool closed = false;
    exchanges[0]->OnClosed([&] { closed = true; });
    call.reset();
    CHECK(RunUntil(loop, [&] { return closed; }));
    CHECK(replies.empty());
  }
}

} // namespace bulrushfold
