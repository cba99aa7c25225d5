#include <chrono>
#include <string>

#include <doctest/doctest.h>

#include "PlatformFixture.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
} // namespace

// Guards against requests to an endpoint that refused one and asked for none
// until a later time, also when it is the only endpoint.
TEST_CASE("A plain endpoint that refuses with Retry-After")
{
  PlatformFixture platform;
  FakeEndpoint& a = platform.AddEndpoint("i-a", "app");
  platform.Start();
  a.SetMode(FakeEndpointMode::Refuse);
  a.SetRetryAfter("0.8");
  const auto start = steady_clock::now();
  const std::string answer = platform.Call("/unsafe/1", "r1");
  CHECK(HasStatus(answer, 503));
  // The caller learns when the endpoint accepts requests again.
  CHECK((answer.find("Retry-After: 0.8") != std::string::npos ||
         answer.find("Retry-After: 0.7") != std::string::npos));
  a.SetMode(FakeEndpointMode::Answer);

  SUBCASE("gets no request before that time, and requests after it")
  {
    int refusals = 0;
    while (HasStatus(platform.Call("/unsafe/1", "r2"), 503)) {
      ++refusals;
    }
    CHECK(steady_clock::now() - start >= milliseconds(800));
    CHECK(refusals > 0);
    CHECK(a.Received().size() == 2);
  }
  SUBCASE("gets no request while another endpoint serves them")
  {
    platform.ChangeStore([&] { platform.AddEndpoint("i-b", "app"); });
    for (int i = 0; i < 10; ++i) {
      CHECK(HasStatus(platform.Call("/unsafe/1", "r2"), 200));
    }
    CHECK(a.Received().size() == 1);
  }
}

// Guards against reservations and prefills at engines that asked for none, and
// against streams that wait although no engine accepts them in time.
TEST_CASE("Engines that refuse with Retry-After")
{
  PlatformFixture platform;
  FakeEndpoint& prefill = platform.AddEndpoint("i-p", "llm", "prefill");
  FakeEndpoint& a = platform.AddEndpoint("i-a", "llm", "decode");
  platform.Start();

  SUBCASE("get no reservation before that time, and streams are refused")
  {
    a.SetMode(FakeEndpointMode::Refuse);
    a.SetRetryAfter("1.5");
    const auto start = steady_clock::now();
    const std::string answer = platform.Call("/stream/1", "r1");
    CHECK(HasStatus(answer, 503));
    CHECK(steady_clock::now() - start < milliseconds(500));
    CHECK((answer.find("Retry-After: 1.5") != std::string::npos ||
           answer.find("Retry-After: 1.4") != std::string::npos));
    CHECK(HasStatus(platform.Call("/stream/1", "r2"), 503));
    CHECK(a.ReserveCalls() == 1);
  }
  SUBCASE("get waiting streams as soon as the time has passed")
  {
    Json config = MakeConfig(9);
    config["routes"][2]["target_latency_ms"] = 2500;
    platform.ChangeStore(
      [&] { platform.mFakeStore.Write("config/main", config); });
    a.SetMode(FakeEndpointMode::Refuse);
    a.SetRetryAfter("0.3");
    RawClient client(platform.mSettings.mCallerAddress);
    client.Send(PlatformFixture::Request("/stream/1", "r1"));
    REQUIRE(platform.WaitUntil([&] { return a.ReserveCalls() == 1; }));
    a.SetMode(FakeEndpointMode::Answer);
    CHECK(platform.WaitUntil(
      [&] { return CountOccurrences(client.Received(), "data: ") == 5; }));
    CHECK(a.ReserveCalls() == 2);
  }
  SUBCASE("get no prefill before that time")
  {
    prefill.SetMode(FakeEndpointMode::Refuse);
    prefill.SetRetryAfter("30");
    for (int i = 0; i < 5; ++i) {
      CHECK(HasStatus(platform.Call("/stream/1", "r1"), 200));
    }
    CHECK(prefill.Received().size() == 1);
  }
}

} // namespace bulrushfold
