#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "PlatformFixture.h"
#include "RawAnswers.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;
} // namespace

// Guards against memory that grows, and calls that last, as long as bytes
// arrive.
TEST_CASE("Bytes without end from an endpoint end the call")
{
  PlatformFixture platform;
  /** Maximum bytes of one answer, with those in the socket buffers. */
  constexpr std::size_t kMaxBytes = 24 * 1024 * 1024;
  std::string start;
  std::string endless;
  Duration interval{};
  bool isBounded = true;

  SUBCASE("in the answer to a plain request")
  {
    RawEndpoint& endpoint = platform.AddRawEndpoint("i-a", "app");
    SUBCASE("in a head")
    {
      start = "HTTP/1.1 200 OK\r\n";
      endless = Repeat("X-A: b\r\n");
    }
    SUBCASE("in interim answers")
    {
      endless = "HTTP/1.1 100 Continue\r\n\r\n";
      interval = milliseconds(1);
    }
    SUBCASE("in a chunk extension")
    {
      start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;";
      endless = Repeat("a");
      isBounded = false; // nothing is stored
    }
    SUBCASE("in a trailer")
    {
      start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
      endless = Repeat("A: b\r\n");
    }
    SUBCASE("in a body without a length")
    {
      start =
        "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: r1\r\n\r\n";
      endless = std::string(16'384, 'x');
    }
    SUBCASE("in a chunked body")
    {
      start = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: r1\r\n"
              "Transfer-Encoding: chunked\r\n\r\n";
      endless = "4000\r\n" + std::string(16'384, 'x') + "\r\n";
    }
    SUBCASE("in a body that drips")
    {
      start =
        "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: r1\r\n\r\n";
      endless = "x";
      interval = milliseconds(50);
    }
    endpoint.OnRequest([&](const RawRequest& aRequest) {
      endpoint.Send(aRequest.mConnection, start);
      endpoint.SendWithoutEnd(aRequest.mConnection, endless, interval);
    });
    platform.Start();
    const std::string answer = platform.Call("/unsafe/1", "r1");
    CHECK((HasStatus(answer, 502) || HasStatus(answer, 504)));
    CHECK(endpoint.Requests().size() == 1);
    CHECK(platform.WaitUntil([&] { return endpoint.IsClosed(0); }));
    if (isBounded) {
      CHECK(endpoint.EndlessBytes(0) < kMaxBytes);
    }
  }
  SUBCASE("in the answer to a stream")
  {
    platform.AddEndpoint("i-p", "llm", "prefill");
    RawEndpoint& decode = platform.AddRawEndpoint("i-d", "llm", "decode");
    std::string fields;
    int status = 200;
    SUBCASE("in an error answer")
    {
      status = 500;
    }
    SUBCASE("in one event")
    {
      fields = kStreamType;
    }
    SUBCASE("in bytes that are no events") {}
    decode.OnRequest([&](const RawRequest& aRequest) {
      decode.Send(aRequest.mConnection,
                  UnframedHead(aRequest, status, fields) + "data: ");
      decode.SendWithoutEnd(aRequest.mConnection, std::string(16'384, 'x'));
    });
    platform.Start();
    const std::string answer = platform.Call("/stream/1", "r1");
    CHECK_FALSE(IsEndedStream(answer));
    CHECK_FALSE(HasStatus(answer, 500));
    REQUIRE(decode.Requests().size() == 1);
    const std::size_t connection = decode.Requests()[0].mConnection;
    CHECK(platform.WaitUntil([&] { return decode.IsClosed(connection); }));
    CHECK(decode.EndlessBytes(connection) < kMaxBytes);
  }
  SUBCASE("in the answers to a prefill and a reservation")
  {
    RawEndpoint& prefill = platform.AddRawEndpoint("i-p", "llm", "prefill");
    RawEndpoint& decode = platform.AddRawEndpoint("i-d", "llm", "decode");
    const auto answerWithoutEnd = [](RawEndpoint& aEndpoint) {
      return [&aEndpoint](const RawRequest& aRequest) {
        aEndpoint.Send(aRequest.mConnection, UnframedHead(aRequest, 200));
        aEndpoint.SendWithoutEnd(aRequest.mConnection,
                                 std::string(16'384, ' '));
      };
    };
    RawEndpoint* endless = &prefill;
    SUBCASE("of a prefill")
    {
      prefill.OnRequest(answerWithoutEnd(prefill));
    }
    SUBCASE("of a reservation")
    {
      endless = &decode;
      decode.OnReservation(answerWithoutEnd(decode));
    }
    platform.Start();
    RawClient client(platform.mSettings.mCallerAddress);
    client.Send(PlatformFixture::Request("/stream/1", "r1"));
    REQUIRE(platform.WaitUntil([&] { return endless->ConnectionCount() > 0; }));
    REQUIRE(platform.WaitUntil([&] { return endless->IsClosed(0); }));
    CHECK(endless->EndlessBytes(0) < kMaxBytes);
  }
  SUBCASE("in the list of cached prompts, which drips")
  {
    platform.AddEndpoint("i-p", "llm", "prefill");
    RawEndpoint& decode = platform.AddRawEndpoint("i-d", "llm", "decode");
    decode.OnRequest([&](const RawRequest& aRequest) {
      if (aRequest.mPath == "/api/kv-list") {
        decode.Send(aRequest.mConnection, UnframedHead(aRequest, 200));
        decode.SendWithoutEnd(aRequest.mConnection, " ", milliseconds(20));
      }
    });
    platform.Start();
    RawClient client(platform.mSettings.mCallerAddress);
    client.Send(PlatformFixture::Request(
      "/resumable/1",
      "r1",
      "Last-Event-Id: 3\r\nX-Prompt-Prefix: aa:10,5c1e07a2:90\r\n"));
    REQUIRE(platform.WaitUntil([&] { return !decode.Requests().empty(); }));
    REQUIRE(decode.Requests()[0].mPath == "/api/kv-list");
    CHECK(platform.WaitUntil(
      [&] { return decode.IsClosed(decode.Requests()[0].mConnection); }));
  }
}

// Guards against a process that runs out of memory because a faulty endpoint
// answers many calls without end, each within the limits of one call. The
// requests of other callers ended with it.
TEST_CASE("Many answers without end do not use up the memory of the daemon")
{
  constexpr std::size_t kCalls = 30;
  /** Bytes that each connection may read until the limit is enforced. */
  constexpr std::size_t kReadBytes = 64 * 1024;
  PlatformFixture platform;
  platform.AddEndpoint("i-p", "llm", "prefill");
  platform.AddEndpoint("i-d", "llm", "decode");
  RawEndpoint& endless = platform.AddRawEndpoint("i-a", "app");
  std::string start = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n";
  std::string data = std::string(16'384, 'x');
  SUBCASE("in bodies without a length")
  {
    start += "\r\n";
  }
  SUBCASE("in bodies with a length")
  {
    start += "Content-Length: 8000000\r\n\r\n";
  }
  SUBCASE("in chunked bodies")
  {
    start += "Transfer-Encoding: chunked\r\n\r\n";
    data = "4000\r\n" + data + "\r\n";
  }
  SUBCASE("in chunk extensions")
  {
    start += "Transfer-Encoding: chunked\r\n\r\n";
    data = "1;" + std::string(16'000, 'a') + "\r\nx\r\n";
  }
  SUBCASE("in heads")
  {
    data = Repeat("X-A: b\r\n");
  }
  SUBCASE("in interim answers")
  {
    start.clear();
    data = Repeat("HTTP/1.1 100 Continue\r\n\r\n");
  }
  endless.OnRequest([&](const RawRequest& aRequest) {
    endless.Send(aRequest.mConnection, start);
    endless.SendWithoutEnd(aRequest.mConnection, data);
  });
  platform.Start();
  std::vector<std::unique_ptr<RawClient>> callers;
  std::vector<std::unique_ptr<RawClient>> others;
  const auto call = [&](auto& aClients, const std::string& aPath) {
    aClients.push_back(
      std::make_unique<RawClient>(platform.mSettings.mCallerAddress));
    aClients.back()->Send(
      PlatformFixture::Request(aPath,
                               "r" + std::to_string(callers.size()) + "-" +
                                 std::to_string(others.size()),
                               "Connection: close\r\n"));
  };
  for (std::size_t i = 0; i < kCalls; ++i) {
    call(callers, "/unsafe/1");
    if (i % 5 == 0) {
      call(others, "/stream/1");
    }
  }
  std::size_t peak = 0;
  const auto areClosed = [&](const auto& aClients) {
    peak = std::max(peak, platform.mClient.ReplyBytes());
    return std::all_of(aClients.begin(), aClients.end(), [](const auto& aIt) {
      return aIt->IsClosedByServer();
    });
  };
  REQUIRE(platform.WaitUntil([&] { return areClosed(callers); }));
  REQUIRE(platform.WaitUntil([&] { return areClosed(others); }));
  for (const auto& it : callers) {
    // The service's only endpoint is avoided after its first failures.
    CHECK((HasStatus(it->Received(), 502) || HasStatus(it->Received(), 503) ||
           HasStatus(it->Received(), 504)));
  }
  for (const auto& it : others) {
    CHECK(HasStatus(it->Received(), 200));
    CHECK(IsEndedStream(it->Received()));
  }
  CHECK(peak < PlatformFixture::kMaxReplyBytes + kCalls * kReadBytes);
}

} // namespace bulrushfold
