#include <string>
#include <utility>

#include <doctest/doctest.h>

#include "PlatformFixture.h"
#include "RawAnswers.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;

/** A head that ends before the blank line. */
std::string
PartialHead(const RawRequest& aRequest)
{
  return "HTTP/1.1 200 OK\r\n" + RawEndpoint::Proof(aRequest) +
         "Content-Length: 0\r\n";
}
} // namespace

// Guards against a success with an empty or short body for an answer whose head
// broke off.
TEST_CASE("An answer that ends inside its head is no success")
{
  PlatformFixture platform;
  RawClose end = RawClose::Orderly;
  std::size_t sends = 1;
  std::string path;
  SUBCASE("for a plain request")
  {
    path = "/unsafe/1";
    SUBCASE("after an orderly end") {}
    SUBCASE("after a reset")
    {
      end = RawClose::Reset;
    }
  }
  SUBCASE("for a plain request that may run again")
  {
    path = "/safe/1";
    sends = 2;
  }
  SUBCASE("for a stream")
  {
    path = "/stream/1";
    SUBCASE("after an orderly end") {}
    SUBCASE("after a reset")
    {
      end = RawClose::Reset;
    }
  }
  SUBCASE("for a stream that may be resumed")
  {
    path = "/resumable/1";
    sends = 2;
  }
  const bool isStream = path != "/unsafe/1" && path != "/safe/1";
  platform.AddEndpoint("i-p", "llm", "prefill");
  const std::string service = isStream ? "llm" : "app";
  const std::string stage = isStream ? "decode" : "";
  RawEndpoint& a = platform.AddRawEndpoint("i-a", service, stage);
  RawEndpoint& b = platform.AddRawEndpoint("i-b", service, stage);
  for (RawEndpoint* it : { &a, &b }) {
    it->OnRequest([&platform, it, end](const RawRequest& aRequest) {
      it->Send(aRequest.mConnection, PartialHead(aRequest));
      const std::size_t connection = aRequest.mConnection;
      platform.mTimers.push_back(
        platform.mLoop.After(milliseconds(30), [it, connection, end] {
          it->Close(connection, end);
        }));
    });
  }
  platform.Start();
  const std::string answer = platform.Call(path, "r1");
  CHECK(HasStatus(answer, 502));
  CHECK(a.Requests().size() + b.Requests().size() == sends);
}

// Guards against the text or the head of an error in the middle of a stream,
// and against a stream that ends as if it were complete.
TEST_CASE("A stream that breaks off is not continued by an error answer")
{
  PlatformFixture platform;
  platform.AddEndpoint("i-p", "llm", "prefill");
  RawEndpoint& a = platform.AddRawEndpoint("i-a", "llm", "decode");
  RawEndpoint& b = platform.AddRawEndpoint("i-b", "llm", "decode");
  std::string error;
  SUBCASE("with a length")
  {
    error = "Content-Length: 10\r\n\r\nerror text";
  }
  SUBCASE("with neither a length nor chunks")
  {
    error = "\r\nerror text";
  }
  SUBCASE("that is itself an event stream")
  {
    error = kStreamType + "\r\nid: 4\ndata: error text\n\n";
  }
  SUBCASE("whose head breaks off") {}
  bool isFirst = true;
  for (RawEndpoint* it : { &a, &b }) {
    it->OnRequest([&, it](const RawRequest& aRequest) {
      const std::size_t connection = aRequest.mConnection;
      const bool breaksOff = std::exchange(isFirst, false);
      it->Send(connection,
               breaksOff
                 ? UnframedHead(aRequest, 200, kStreamType) + Events(1, 3)
                 : "HTTP/1.1 500 x\r\n" + RawEndpoint::Proof(aRequest) + error);
      platform.mTimers.push_back(
        platform.mLoop.After(milliseconds(30), [it, connection, breaksOff] {
          it->Close(connection,
                    breaksOff ? RawClose::Reset : RawClose::Orderly);
        }));
    });
  }
  platform.Start();
  const std::string answer = platform.Call("/resumable/1", "r1");
  CHECK(HasStatus(answer, 200));
  CHECK_FALSE(IsEndedStream(answer));
  CHECK(CountOccurrences(answer, "data: ") == 3);
  CHECK(answer.find("error text") == std::string::npos);
  CHECK(CountOccurrences(answer, "HTTP/1.1") == 1);
  CHECK(a.Requests().size() + b.Requests().size() == 2);
}

// Guards against an answer that stops for good when its caller has read slowly.
TEST_CASE("A stream goes on when a slow caller has caught up")
{
  // More than the buffers of the sockets and of the router hold.
  constexpr std::size_t kBytes = 40'000'000;
  std::string events;
  while (events.size() < 1'000'000) {
    events += "data: " + std::string(10'000, 'x') + "\n\n";
  }
  PlatformFixture platform;
  platform.AddEndpoint("i-p", "llm", "prefill");
  RawEndpoint& engine = platform.AddRawEndpoint("i-d", "llm", "decode");
  engine.OnRequest([&](const RawRequest& aRequest) {
    engine.Send(aRequest.mConnection, UnframedHead(aRequest, 200, kStreamType));
    engine.SendWithoutEnd(aRequest.mConnection, events);
  });
  platform.Start();
  RawClient client(platform.mSettings.mCallerAddress);
  client.Send(PlatformFixture::Request("/stream/1", "r1"));
  bool isOver = false;
  const auto timer =
    platform.mLoop.After(milliseconds(500), [&] { isOver = true; });
  REQUIRE(platform.WaitUntil([&] { return isOver; }));
  CHECK(platform.WaitUntil([&] { return client.Received().size() > kBytes; }));
}

} // namespace bulrushfold
