#include <chrono>
#include <string>

#include <doctest/doctest.h>

#include "PlatformFixture.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;
using std::chrono::milliseconds;

/** Registry entry of aEndpoint as a process that started at aStartTime. */
Json
Entry(const FakeEndpoint& aEndpoint,
      const std::string& aService,
      std::int64_t aStartTime = 1700000000000)
{
  return Json::parse(aEndpoint.RegistryEntry(aService, "ready", aStartTime));
}
} // namespace

// Guards against requests to an endpoint that announced in an answer that it
// leaves, while its registry entry still said that it is ready.
TEST_CASE("A plain endpoint whose answers state that it leaves")
{
  PlatformFixture platform;
  FakeEndpoint& a = platform.AddEndpoint("i-a", "app");
  FakeEndpoint& b = platform.AddEndpoint("i-b", "app");
  platform.Start();
  a.SetLeaving(true);
  const auto callUntilReceived = [&] {
    for (int i = 0; i < 50 && a.Received().empty(); ++i) {
      platform.Call("/unsafe/1", "r1");
    }
    REQUIRE(a.Received().size() == 1);
  };

  SUBCASE("gets no request after such an answer")
  {
    callUntilReceived();
    for (int i = 0; i < 20; ++i) {
      CHECK(HasStatus(platform.Call("/unsafe/1", "r2"), 200));
    }
    CHECK(a.Received().size() == 1);

    SUBCASE("also after a heartbeat of the same process that says ready")
    {
      Json entry = Entry(a, "app");
      entry["sequence"] = 4;
      platform.ChangeStore(
        [&] { platform.mFakeStore.Write("servers/i-a", entry); });
      for (int i = 0; i < 20; ++i) {
        platform.Call("/unsafe/1", "r3");
      }
      CHECK(a.Received().size() == 1);
    }
    SUBCASE("until another process runs under the same id")
    {
      a.SetLeaving(false);
      platform.ChangeStore([&] {
        platform.mFakeStore.Write("servers/i-a",
                                  Entry(a, "app", 1700000009000));
      });
      for (int i = 0; i < 50 && a.Received().size() == 1; ++i) {
        platform.Call("/unsafe/1", "r3");
      }
      CHECK(a.Received().size() == 2);
    }
  }
  SUBCASE("gets no request after such a refusal")
  {
    a.SetMode(FakeEndpointMode::Refuse);
    callUntilReceived();
    a.SetMode(FakeEndpointMode::Answer);
    for (int i = 0; i < 20; ++i) {
      CHECK(HasStatus(platform.Call("/unsafe/1", "r2"), 200));
    }
    CHECK(a.Received().size() == 1);
  }
  SUBCASE("leaves the request to the caller when all endpoints leave")
  {
    b.SetLeaving(true);
    for (int i = 0; i < 50 && a.Received().size() + b.Received().size() < 2;
         ++i) {
      platform.Call("/unsafe/1", "r1");
    }
    const std::string answer = platform.Call("/unsafe/1", "r2");
    CHECK(HasStatus(answer, 503));
    CHECK(answer.find("Retry-After") != std::string::npos);
    CHECK(a.Received().size() == 1);
    CHECK(b.Received().size() == 1);
  }
  SUBCASE("is not announced by a caller")
  {
    a.SetLeaving(false);
    platform.Call("/unsafe/1", "r1", "Server-Leaving: 1\r\n");
    const HttpRequest& request =
      a.Received().empty() ? b.Received()[0] : a.Received()[0];
    CHECK_FALSE(request.mHeaders.Find("Server-Leaving"));
  }
}

// Guards against new streams at an engine that announced that it leaves, and
// against the loss of the streams that already run there.
TEST_CASE("An engine whose answers state that it leaves")
{
  PlatformFixture platform;
  FakeEndpoint& prefill = platform.AddEndpoint("i-p", "llm", "prefill");
  FakeEndpoint& a = platform.AddEndpoint("i-a", "llm", "decode");
  platform.Start();
  const auto events = [](const std::string& aAnswer) {
    return CountOccurrences(aAnswer, "data: ");
  };
  const auto addDecode = [&]() -> FakeEndpoint& {
    FakeEndpoint* endpoint = nullptr;
    platform.ChangeStore(
      [&] { endpoint = &platform.AddEndpoint("i-b", "llm", "decode"); });
    return *endpoint;
  };

  SUBCASE("in the head of a stream keeps that stream and gets no other")
  {
    a.SetEventCount(400);
    // The prefill separates the answer to the reservation, which has no header,
    // from the head of the stream.
    prefill.SetPrefillTime(milliseconds(100));
    RawClient running(platform.mSettings.mCallerAddress);
    running.Send(PlatformFixture::Request("/stream/1", "r1"));
    REQUIRE(platform.WaitUntil([&] { return a.ReserveCalls() == 1; }));
    a.SetLeaving(true);
    REQUIRE(platform.WaitUntil([&] { return events(running.Received()) > 2; }));
    FakeEndpoint& b = addDecode();
    CHECK(events(platform.Call("/stream/1", "r2")) == 5);
    CHECK(a.RunIds().size() == 1);
    CHECK(a.ReserveCalls() == 1);
    CHECK(b.RunIds().size() == 1);
    CHECK(
      platform.WaitUntil([&] { return events(running.Received()) == 400; }));
  }
  SUBCASE("in the answer to a reservation gets no stream")
  {
    a.SetLeaving(true);
    FakeEndpoint& b = addDecode();
    for (int i = 0; i < 20 && a.ReserveCalls() == 0; ++i) {
      CHECK(events(platform.Call("/stream/1", "r1")) == 5);
    }
    CHECK(events(platform.Call("/stream/1", "r2")) == 5);
    CHECK(a.ReserveCalls() == 1);
    CHECK(a.RunIds().empty());
    // Each stream is prefilled once.
    CHECK(prefill.Received().size() == b.RunIds().size());
  }
  SUBCASE("in the answer to a prefill serves its KV cache and no other prefill")
  {
    prefill.SetLeaving(true);
    CHECK(events(platform.Call("/stream/1", "r1")) == 5);
    REQUIRE(a.Received().size() == 1);
    CHECK(a.Received()[0].mHeaders.Find("X-Kv-Source"));
    CHECK(events(platform.Call("/stream/1", "r2")) == 5);
    CHECK(prefill.Received().size() == 1);
  }
  SUBCASE("in its list of cached prompts gets no stream")
  {
    a.SetLeaving(true);
    FakeEndpoint& b = addDecode();
    const std::string answer = platform.Call(
      "/resumable/1", "r1", "Last-Event-Id: 3\r\nX-Prompt-Prefix: aa:10\r\n");
    CHECK(events(answer) == 2);
    CHECK(a.CacheListCalls() == 1);
    CHECK(a.ReserveCalls() == 0);
    CHECK(b.RunIds().size() == 1);
  }
  SUBCASE("leaves streams to the callers when all engines leave")
  {
    a.SetLeaving(true);
    platform.Call("/stream/1", "r1");
    const auto start = std::chrono::steady_clock::now();
    const std::string answer = platform.Call("/stream/1", "r2");
    // Guards against waiting in the queue, which takes 2.5 s.
    CHECK(std::chrono::steady_clock::now() - start < milliseconds(500));
    CHECK(HasStatus(answer, 503));
    CHECK(answer.find("Retry-After") != std::string::npos);
    CHECK(a.ReserveCalls() == 1);
  }
}

} // namespace bulrushfold
