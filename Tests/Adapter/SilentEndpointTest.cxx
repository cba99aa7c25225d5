#include <functional>
#include <string>

#include <doctest/doctest.h>

#include "PlatformFixture.h"
#include "RawAnswers.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;

/** Longer than the stall timeout of a stream. */
constexpr Duration kSilence = milliseconds(1600);

bool
IsCompleteStream(const std::string& aAnswer)
{
  return HasStatus(aAnswer, 200) && IsEndedStream(aAnswer) &&
         CountOccurrences(aAnswer, "data: 1\n") == 1 &&
         CountOccurrences(aAnswer, "data: 4\n") == 1;
}
} // namespace

// Guards against an answer that is cut because its engine is silent for a
// second and then goes on.
TEST_CASE("A stream is complete although its engine was silent")
{
  PlatformFixture platform;
  platform.AddEndpoint("i-p", "llm", "prefill");
  RawEndpoint& engine = platform.AddRawEndpoint("i-d", "llm", "decode");
  engine.OnRequest([&](const RawRequest& aRequest) {
    engine.Send(aRequest.mConnection,
                UnframedHead(aRequest, 200, kStreamType) + Events(1, 2));
    platform.mTimers.push_back(
      platform.mLoop.After(kSilence, [&, connection = aRequest.mConnection] {
        if (!engine.IsClosed(connection)) {
          engine.Send(connection, Events(3, 4));
          engine.Close(connection, RawClose::Orderly);
        }
      }));
  });
  platform.Start();
  std::string path = "/stream/1";
  std::function<void()> event = [] {};
  SUBCASE("on a route that allows no further run")
  {
    SUBCASE("on a calm day") {}
    SUBCASE("beside a change of the configuration")
    {
      event = [&] { platform.mFakeStore.Write("config/main", MakeConfig(9)); };
    }
    SUBCASE("in a stop of the daemon")
    {
      event = [&] { platform.mRouter->Stop(); };
    }
  }
  SUBCASE("on a resumable route, while there is no other engine")
  {
    path = "/resumable/1";
  }
  RawClient client(platform.mSettings.mCallerAddress);
  client.Send(PlatformFixture::Request(path, "r1", "Connection: close\r\n"));
  REQUIRE(platform.WaitUntil(
    [&] { return CountOccurrences(client.Received(), "data: 2\n") == 1; }));
  event();
  REQUIRE(platform.WaitUntil([&] { return client.IsClosedByServer(); }));
  CHECK(IsCompleteStream(client.Received()));
  CHECK(engine.Requests().size() == 1);
}

// Guards against a stream that ends with its silent engine although another one
// could continue it, and against events that both engines send.
TEST_CASE("Another engine continues a stream whose engine stays silent")
{
  PlatformFixture platform;
  platform.AddEndpoint("i-p", "llm", "prefill");
  RawEndpoint& first = platform.AddRawEndpoint("i-d", "llm", "decode");
  RawEndpoint& second = platform.AddRawEndpoint("i-e", "llm", "decode");
  std::size_t decodes = 0;
  const auto decodeAt = [&decodes](RawEndpoint& aEngine) {
    return [&](const RawRequest& aRequest) {
      const bool isFirst = ++decodes == 1;
      aEngine.Send(aRequest.mConnection,
                   UnframedHead(aRequest, 200, kStreamType) +
                     (isFirst ? Events(1, 2) : Events(3, 4)));
      if (!isFirst) {
        CHECK(CountOccurrences(aRequest.mBytes, "Last-Event-Id: 2") == 1);
        aEngine.Close(aRequest.mConnection, RawClose::Orderly);
      }
    };
  };
  first.OnRequest(decodeAt(first));
  second.OnRequest(decodeAt(second));
  platform.Start();
  const std::string answer = platform.Call("/resumable/1", "r1");
  CHECK(IsCompleteStream(answer));
  CHECK(decodes == 2);
  RawEndpoint& silent = first.Requests().empty() ? second : first;
  REQUIRE_FALSE(silent.Requests().empty());
  RawEndpoint& resumed = &silent == &first ? second : first;
  CHECK(resumed.Requests().size() == 1);
  CHECK(platform.WaitUntil([&] {
    return first.IsClosed(first.Requests()[0].mConnection) &&
           second.IsClosed(second.Requests()[0].mConnection);
  }));
}

} // namespace bulrushfold
