#include <string>

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

} // namespace bulrushfold
