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

} // namespace bulrushfold
