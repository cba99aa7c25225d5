#include "Router/Router.h"

#include <string>

#include <doctest/doctest.h>

#include "PlatformFixture.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

TEST_CASE("A router is ready once it has read configuration and endpoints")
{
  PlatformFixture platform;
  platform.StartRouter();
  CHECK_FALSE(platform.IsReady());
  // Guards against answering 404 before the router has read the configuration,
  // which may contain the route.
  const std::string answer = platform.Call("/safe/1", "r1");
  CHECK(HasStatus(answer, 503));
  CHECK(answer.find("Retry-After") != std::string::npos);
  platform.mFakeStore.Write("config/main", MakeConfig(3));
  CHECK(platform.WaitUntilReady());
  CHECK(HasStatus(platform.Call("/none/1", "r2"), 404));
}

TEST_CASE("Plain requests")
{
  PlatformFixture platform;
  FakeEndpoint& a = platform.AddEndpoint("i-a", "app");
  FakeEndpoint& b = platform.AddEndpoint("i-b", "app");
  platform.Start();
  const auto runs = [&] { return a.RunIds().size() + b.RunIds().size(); };
  const auto setModes = [&](FakeEndpointMode aMode) {
    a.SetMode(aMode);
    b.SetMode(aMode);
  };

  SUBCASE("reach an endpoint unchanged, and its answer reaches the caller")
  {
    const std::string answer = platform.Call("/unsafe/1?q=1", "r1");
    CHECK(HasStatus(answer, 200));
    CHECK(answer.find("ran r1 body") != std::string::npos);
    CHECK(answer.find("X-Server-Stamp: stamp.") != std::string::npos);
    CHECK(runs() == 1);
    const HttpRequest& request =
      a.Received().empty() ? b.Received()[0] : a.Received()[0];
    CHECK(request.mTarget == "/unsafe/1?q=1");
    CHECK(std::stoi(*request.mHeaders.Find("X-Deadline-Ms")) <= 3000);
  }
  // Guards against a booking that runs twice, or that is reported as not run
  // although it ran.
  SUBCASE("that are not idempotent are not repeated if they may have run")
  {
    for (const auto mode : { FakeEndpointMode::Disconnect,
                             FakeEndpointMode::NoStamp,
                             FakeEndpointMode::WrongRequestId }) {
      setModes(mode);
      const std::size_t before = runs();
      CHECK(HasStatus(platform.Call("/unsafe/1", "r1"), 502));
      CHECK(runs() == before + 1);
    }
  }
  SUBCASE("that are idempotent are repeated")
  {
    setModes(FakeEndpointMode::Disconnect);
    CHECK(HasStatus(platform.Call("/safe/1", "r1"), 502));
    CHECK(runs() == 2);
    setModes(FakeEndpointMode::InternalError);
    CHECK(HasStatus(platform.Call("/safe/1", "r2"), 500));
    CHECK(runs() == 4);
  }
  SUBCASE("are repeated elsewhere after a refusal or a 421")
  {
    a.SetMode(FakeEndpointMode::Refuse);
    for (int i = 0; i < 4; ++i) {
      CHECK(HasStatus(platform.Call("/unsafe/1", "r1"), 200));
    }
    CHECK(a.RunIds().empty());
    a.SetMode(FakeEndpointMode::Misdirected);
    for (int i = 0; i < 8; ++i) {
      CHECK(HasStatus(platform.Call("/unsafe/1", "r1"), 200));
    }
    CHECK(b.RunIds().size() == 12);
  }
  SUBCASE("are refused without a run when all endpoints are full")
  {
    setModes(FakeEndpointMode::Refuse);
    const std::string answer = platform.Call("/unsafe/1", "r1");
    CHECK(HasStatus(answer, 503));
    CHECK(answer.find("Retry-After") != std::string::npos);
    CHECK(runs() == 0);
  }
  // Guards against endpoints that run requests of callers that disconnected.
  SUBCASE("are cancelled when their caller disconnects")
  {
    setModes(FakeEndpointMode::NeverAnswer);
    RawClient client(platform.mSettings.mCallerAddress);
    client.Send(PlatformFixture::Request("/unsafe/1", "r1"));
    REQUIRE(platform.WaitUntil(
      [&] { return a.OpenRequests() + b.OpenRequests() == 1; }));
    client.Close();
    CHECK(
      platform.WaitUntil([&] { return a.Cancelled() + b.Cancelled() == 1; }));
  }
  SUBCASE("are not sent to draining or removed endpoints")
  {
    platform.ChangeStore([&] {
      platform.mFakeStore.Write(
        "servers/i-a", Json::parse(a.RegistryEntry("app", "draining")));
    });
    for (int i = 0; i < 4; ++i) {
      CHECK(HasStatus(platform.Call("/unsafe/1", "r1"), 200));
    }
    CHECK(a.Received().empty());
    platform.ChangeStore([&] { platform.mFakeStore.Remove("servers/i-b"); });
    CHECK(HasStatus(platform.Call("/unsafe/1", "r1"), 503));
  }
  SUBCASE("are served while the store does not answer")
  {
    platform.mFakeStore.SetFault(StoreFault::NoAnswer);
    CHECK(HasStatus(platform.Call("/unsafe/1", "r1"), 200));
    CHECK(platform.IsReady());
  }
  SUBCASE("are routed by the newest valid configuration")
  {
    Json config = MakeConfig(9);
    config["routes"].push_back(MakeRoute("new", "safe", "app"));
    platform.ChangeStore(
      [&] { platform.mFakeStore.Write("config/main", config); });
    CHECK(HasStatus(platform.Call("/new/1", "r1"), 200));
    platform.ChangeStore(
      [&] { platform.mFakeStore.Write("config/main", MakeConfig(5)); });
    CHECK(HasStatus(platform.Call("/new/1", "r1"), 200));
    // A configuration that cannot be parsed does not replace the current one.
    platform.ChangeStore([&] {
      platform.mFakeStore.Write("config/main", Json{ { "version", 12 } });
    });
    CHECK(HasStatus(platform.Call("/new/1", "r1"), 200));
  }
  SUBCASE("that are invalid HTTP are refused and not forwarded")
  {
    RawClient client(platform.mSettings.mCallerAddress);
    client.Send("POST /unsafe/1 HTTP/1.1\r\nHost: h.example\r\n"
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\n\r\nGET /unsafe/2 HTTP/1.1\r\nHost: h.example\r\n\r\n");
    REQUIRE(platform.WaitUntil([&] { return client.IsClosedByServer(); }));
    CHECK(HasStatus(client.Received(), 400));
    CHECK(runs() == 0);
  }
}

TEST_CASE("Streams")
{
  PlatformFixture platform;
  FakeEndpoint& prefill = platform.AddEndpoint("i-p", "llm", "prefill");
  FakeEndpoint& a = platform.AddEndpoint("i-a", "llm", "decode");
  FakeEndpoint& b = platform.AddEndpoint("i-b", "llm", "decode");
  platform.Start();
  const auto events = [](const std::string& aAnswer) {
    return CountOccurrences(aAnswer, "data: ");
  };

  SUBCASE("are prefilled once and decoded from the prefilled KV cache")
  {
    const std::string answer = platform.Call("/stream/1", "r1");
    CHECK(HasStatus(answer, 200));
    CHECK(events(answer) == 5);
    CHECK(CountOccurrences(answer, "\r\n0\r\n\r\n") == 1);
    REQUIRE(prefill.Received().size() == 1);
    const FakeEndpoint& decode = a.RunIds().empty() ? b : a;
    REQUIRE(decode.Received().size() == 1);
    CHECK(decode.Received()[0].mHeaders.Find("X-Kv-Source") ==
          FormatAddress(prefill.Address()) + "/hr1");
    CHECK(decode.Received()[0].mHeaders.Find("X-Kv-Hold") == "hold1");
  }
  // Guards against a truncated answer that ends like a complete one.
  SUBCASE("that an engine aborts are aborted at the caller")
  {
    a.SetEventCount(5, 2);
    b.SetEventCount(5, 2);
    const std::string answer = platform.Call("/stream/1", "r1");
    CHECK(events(answer) == 2);
    CHECK(CountOccurrences(answer, "\r\n0\r\n\r\n") == 0);
    CHECK(a.RunIds().size() + b.RunIds().size() == 1);
  }
  SUBCASE("that are resumable continue without a gap or repetition")
  {
    a.SetEventCount(6, 3);
    b.SetEventCount(6, 3);
    // The second run continues after event 3 and may be aborted too.
    const std::string answer = platform.Call("/resumable/1", "r1");
    CHECK(CountOccurrences(answer, "data: 3") == 1);
    CHECK(a.RunIds().size() == 1);
    CHECK(b.RunIds().size() == 1);
    const HttpRequest& resumed = a.Received()[0].mHeaders.Find("Last-Event-Id")
                                   ? a.Received()[0]
                                   : b.Received()[0];
    CHECK(resumed.mHeaders.Find("Last-Event-Id") == "3");
  }
  // Guards against a second prefill of all prompts after all daemons were
  // killed. The prefix caches of the engines still contain the prompts, but the
  // new daemons have no record of which engine has which prompt.
  SUBCASE("that a caller resumes continue at the engine with the cached prompt")
  {
    const std::string resumeHeaders =
      "Last-Event-Id: 3\r\nX-Prompt-Prefix: aa:10,";
    b.AddCachedPart("5c1e07a2", 90);
    const std::string answer =
      platform.Call("/resumable/1", "r1", resumeHeaders + "5c1e07a2:90\r\n");
    CHECK(HasStatus(answer, 200));
    CHECK(events(answer) == 2);
    CHECK(prefill.Received().empty());
    CHECK(a.Received().empty());
    REQUIRE(b.Received().size() == 1);
    CHECK_FALSE(b.Received()[0].mHeaders.Find("X-Kv-Source"));
    CHECK(b.Received()[0].mHeaders.Find("Last-Event-Id") == "3");
    CHECK(b.CacheListCalls() == 1);

    SUBCASE("and the lists of cached prompts are not read again soon after")
    {
      platform.Call("/resumable/1", "r2", resumeHeaders + "99:90\r\n");
      CHECK(prefill.Received().size() == 1);
      CHECK(b.CacheListCalls() == 1);
    }
  }
  SUBCASE("are cancelled at their engine when their caller disconnects")
  {
    a.SetEventCount(100'000);
    b.SetEventCount(100'000);
    RawClient client(platform.mSettings.mCallerAddress);
    client.Send(PlatformFixture::Request("/stream/1", "r1"));
    REQUIRE(platform.WaitUntil([&] { return events(client.Received()) > 2; }));
    client.Close();
    CHECK(
      platform.WaitUntil([&] { return a.Cancelled() + b.Cancelled() == 1; }));
  }
  SUBCASE("wait until an engine can reserve memory")
  {
    a.SetMode(FakeEndpointMode::Refuse);
    b.SetMode(FakeEndpointMode::Refuse);
    RawClient client(platform.mSettings.mCallerAddress);
    client.Send(PlatformFixture::Request("/stream/1", "r1"));
    platform.CallReadiness("/");
    CHECK(prefill.Received().empty());
    b.SetMode(FakeEndpointMode::Answer);
    CHECK(platform.WaitUntil([&] { return events(client.Received()) == 5; }));
    CHECK(a.RunIds().empty());
  }
}

TEST_CASE("A graceful shutdown aborts no requests")
{
  PlatformFixture platform;
  FakeEndpoint& endpoint = platform.AddEndpoint("i-a", "app");
  platform.Start();
  RawClient keepAlive(platform.mSettings.mCallerAddress);
  keepAlive.Send(PlatformFixture::Request("/unsafe/1", "r1"));
  REQUIRE(platform.WaitUntil([&] {
    return CountOccurrences(keepAlive.Received(), "HTTP/1.1 200") == 1;
  }));
  endpoint.SetMode(FakeEndpointMode::NeverAnswer);
  RawClient pending(platform.mSettings.mCallerAddress);
  pending.Send(PlatformFixture::Request("/unsafe/2", "r2"));
  REQUIRE(platform.WaitUntil([&] { return endpoint.OpenRequests() == 1; }));

  platform.mRouter->Stop();
  CHECK_FALSE(platform.IsReady());
  // Requests that arrive before the load balancer reads the readiness state
  // are still served.
  endpoint.SetMode(FakeEndpointMode::Answer);
  keepAlive.Send(PlatformFixture::Request("/unsafe/3", "r3"));
  REQUIRE(platform.WaitUntil([&] {
    return CountOccurrences(keepAlive.Received(), "HTTP/1.1 200") == 2;
  }));
  CHECK(CountOccurrences(keepAlive.Received(), "Connection: close") == 1);
  CHECK(HasStatus(platform.Call("/unsafe/4", "r4"), 200));
  CHECK_FALSE(pending.IsClosedByServer());
}

} // namespace bulrushfold
