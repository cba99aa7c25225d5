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
  HttpServer server(loop, limits, [&](std::shared_ptr<HttpExchange> aIt) {
    exchanges.push_back(std::move(aIt));
  });
  const auto address = FreeAddress();
  REQUIRE(server.Listen(address).ok());
  RawClient client(address);

  // Guards against engine memory held for a caller that is gone.
  SUBCASE("a caller that closes before the reply is noticed")
  {
    client.Send(kGet);
    REQUIRE(RunUntil(loop, [&] { return exchanges.size() == 1; }));
    bool closed = false;
    exchanges[0]->OnClosed([&] { closed = true; });
    SUBCASE("while nothing was sent yet") {}
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

  // Guards against the library's abort on bytes that arrive while a reply is
  // owed, and against requests lost after it.
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

  // Guards against the read timeout cutting a request that is being served.
  SUBCASE("a slow reply outlives the read timeout")
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

    SUBCASE("and an idle connection is closed afterwards")
    {
      CHECK(RunUntil(loop, [&] { return client.IsClosedByServer(); }));
    }
    SUBCASE("and a large body is accepted on the same connection")
    {
      client.Send(
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 150000\r\n\r\n" +
        std::string(150'000, 'b'));
      REQUIRE(RunUntil(loop, [&] { return exchanges.size() == 2; }));
      CHECK(exchanges[1]->Request().mBody.size() == 150'000);
    }
  }

  SUBCASE("bad input gets an error or is closed, and the server goes on")
  {
    std::string bad;
    SUBCASE("no HTTP at all")
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
    SUBCASE("a request that never ends")
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

  // Guards against a caller that waits for ever for a dropped request.
  SUBCASE("an exchange that its handler drops closes the connection")
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
  HttpServer server(loop, {}, [&](std::shared_ptr<HttpExchange> aIt) {
    exchanges.push_back(std::move(aIt));
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

  // Guards against "not run" after bytes were sent, and the reverse.
  SUBCASE("a refused connection is told apart from a lost one")
  {
    SUBCASE("nobody listens")
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
    SUBCASE("the server stays silent")
    {
      REQUIRE(server.Listen(request.mAddress).ok());
      const auto call = client.Start(request, hooks);
      REQUIRE(RunUntil(loop, [&] { return !replies.empty(); }));
      CHECK(replies[0].mResult == HttpCallResult::ReadTimeout);
    }
  }

  SUBCASE("requests and replies arrive whole")
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

  SUBCASE("a streamed reply arrives in parts")
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

    SUBCASE("to its end")
    {
      exchanges[0]->EndStream();
      REQUIRE(RunUntil(loop, [&] { return !replies.empty(); }));
      CHECK(replies[0].mResult == HttpCallResult::Complete);
      CHECK(body == "one two");
    }
    // Guards against a use after free: the last chunk and the end of the
    // reply are read in one turn, and the call is gone between them.
    SUBCASE("to its end, with the call destroyed by the last chunk")
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
    // Guards against a cut stream that looks complete.
    SUBCASE("or breaks")
    {
      exchanges[0]->Abort();
      REQUIRE(RunUntil(loop, [&] { return !replies.empty(); }));
      CHECK(replies[0].mResult == HttpCallResult::ConnectionLost);
    }
    SUBCASE("or goes silent")
    {
      REQUIRE(RunUntil(loop, [&] { return !replies.empty(); }));
      CHECK(replies[0].mResult == HttpCallResult::ReadTimeout);
    }
  }

  // Guards against a slow reader that reads as fast as the server sends, or
  // whose limit stays on a connection of the pool.
  SUBCASE("a limited reader takes the reply in small parts")
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

  // Guards against an endpoint that works on for a caller that is gone.
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
