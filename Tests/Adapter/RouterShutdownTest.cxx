#include "Router/Router.h"

#include <string>

#include <doctest/doctest.h>

#include "PlatformFixture.h"

namespace bulrushfold {

namespace {
using std::chrono::milliseconds;

/** Runs the event loop until the router ends it, as its process does. */
void
RunUntilRouterEnds(PlatformFixture& aPlatform)
{
  bool isOver = false;
  const auto limit = aPlatform.mLoop.After(std::chrono::seconds(20), [&] {
    isOver = true;
    aPlatform.mLoop.Stop();
  });
  aPlatform.mLoop.Run();
  REQUIRE_FALSE(isOver);
}
} // namespace

// Guards against a stop that ends while a request is being received: the
// request was passed on and cut when the process ended.
TEST_CASE("A graceful shutdown waits for a request that is being received")
{
  PlatformFixture platform;
  FakeEndpoint& endpoint = platform.AddEndpoint("i-a", "app");
  platform.Start();
  RawClient client(platform.mSettings.mCallerAddress);
  const std::string request = PlatformFixture::Request("/unsafe/1", "r1");
  platform.mRouter->Stop();
  // The first part arrives within the route's timeout of 3 s, the last byte
  // after the time at which an idle daemon ends.
  const auto firstTimer = platform.mLoop.After(milliseconds(1500), [&] {
    client.Send(request.substr(0, request.size() - 1));
  });
  const auto lastTimer = platform.mLoop.After(milliseconds(3300), [&] {
    client.Send(request.substr(request.size() - 1));
  });
  RunUntilRouterEnds(platform);
  CHECK(HasStatus(client.Received(), 200));
  CHECK(endpoint.RunIds().size() == 1);
}

// Guards against callers that get neither an answer nor a refusal because their
// request is still open when the stop time is over.
TEST_CASE("A graceful shutdown answers the requests that it cannot finish")
{
  PlatformFixture platform;
  platform.mSettings.mStopTimeout = milliseconds(2200);
  FakeEndpoint& service = platform.AddEndpoint("i-a", "app");
  FakeEndpoint& prefill = platform.AddEndpoint("i-p", "llm", "prefill");
  FakeEndpoint& decode = platform.AddEndpoint("i-d", "llm", "decode");
  platform.Start();
  RawClient client(platform.mSettings.mCallerAddress);

  SUBCASE("with 502 when a plain request may have run")
  {
    service.SetMode(FakeEndpointMode::NeverAnswer);
    client.Send(PlatformFixture::Request("/unsafe/1", "r1"));
    REQUIRE(platform.WaitUntil([&] { return service.OpenRequests() == 1; }));
    platform.mRouter->Stop();
    RunUntilRouterEnds(platform);
    CHECK(HasStatus(client.Received(), 502));
  }
  SUBCASE("with 503 when a stream has not run")
  {
    prefill.SetPrefillTime(std::chrono::seconds(60));
    client.Send(PlatformFixture::Request("/stream/1", "r1"));
    REQUIRE(platform.WaitUntil([&] { return !prefill.Received().empty(); }));
    platform.mRouter->Stop();
    RunUntilRouterEnds(platform);
    CHECK(HasStatus(client.Received(), 503));
    CHECK(client.Received().find("Retry-After") != std::string::npos);
    CHECK(decode.RunIds().empty());
  }
  SUBCASE("with 502 when a stream may have run")
  {
    decode.SetMode(FakeEndpointMode::NeverAnswer);
    client.Send(PlatformFixture::Request("/stream/1", "r1"));
    REQUIRE(platform.WaitUntil([&] { return decode.OpenRequests() == 1; }));
    platform.mRouter->Stop();
    RunUntilRouterEnds(platform);
    CHECK(HasStatus(client.Received(), 502));
  }
  SUBCASE("with a visible end when a stream has started")
  {
    decode.SetEventCount(100'000);
    decode.SetEventInterval(milliseconds(20));
    client.Send(PlatformFixture::Request("/stream/1", "r1"));
    REQUIRE(platform.WaitUntil(
      [&] { return CountOccurrences(client.Received(), "data:") > 2; }));
    platform.mRouter->Stop();
    RunUntilRouterEnds(platform);
    CHECK(HasStatus(client.Received(), 200));
    CHECK(client.IsClosedByServer());
    CHECK(CountOccurrences(client.Received(), "\r\n0\r\n\r\n") == 0);
  }
}

} // namespace bulrushfold
