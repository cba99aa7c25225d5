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

TEST_CASE("A router is ready once it knows configuration and endpoints")
{
  PlatformFixture platform;
  platform.StartRouter();
  CHECK_FALSE(platform.IsReady());
  // Guards against 404 for what a configuration may allow.
  const std::string early = platform.Call("/safe/1", "r1");
  CHECK(HasStatus(early, 503));
  CHECK(early.find("Retry-After") != std::string::npos);
  platform.mStore.Write("config/main", MakeConfig(3));
  CHECK(platform.BecomesReady());
  CHECK(HasStatus(platform.Call("/none/1", "r2"), 404));
}

TEST_CASE("Plain requests")
{
  PlatformFixture platform;
  StandInRunner& a = platform.Add("i-a", "app");
  StandInRunner& b = platform.Add("i-b", "app");
  platform.Start();
  const auto runs = [&] { return a.Ran().size() + b.Ran().size(); };
  const auto setModes = [&](RunnerMode aMode) {
    a.SetMode(aMode);
    b.SetMode(aMode);
  };

  SUBCASE("reach a runner unchanged, and its answer the caller")
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
  // Guards against a booking that runs twice, or is refused although it ran.
  SUBCASE("that may run once are never sent again after they may have run")
  {
    for (const auto mode :
         { RunnerMode::Lose, RunnerMode::NoProof, RunnerMode::OtherId }) {
      setModes(mode);
      const std::size_t before = runs();
      CHECK(HasStatus(platform.Call("/unsafe/1", "r1"), 502));
      CHECK(runs() == before + 1);
    }
  }
  SUBCASE("that may run again are")
  {
    setModes(RunnerMode::Lose);
    CHECK(HasStatus(platform.Call("/safe/1", "r1"), 502));
    CHECK(runs() == 2);
    setModes(RunnerMode::Error);
    CHECK(HasStatus(platform.Call("/safe/1", "r2"), 500));
    CHECK(runs() == 4);
  }
  SUBCASE("go elsewhere when a runner is full or another one")
  {
    a.SetMode(RunnerMode::Shed);
    for (int i = 0; i < 4; ++i) {
      CHECK(HasStatus(platform.Call("/unsafe/1", "r1"), 200));
    }
    CHECK(a.Ran().empty());
    a.SetMode(RunnerMode::Misdirect);
    for (int i = 0; i < 8; ++i) {
      CHECK(HasStatus(platform.Call("/unsafe/1", "r1"), 200));
    }
    CHECK(b.Ran().size() == 12);
  }
  SUBCASE("are refused truthfully when all are full")
  {
    setModes(RunnerMode::Shed);
    const std::string answer = platform.Call("/unsafe/1", "r1");
    CHECK(HasStatus(answer, 503));
    CHECK(answer.find("Retry-After") != std::string::npos);
    CHECK(runs() == 0);
  }
  // Guards against runners that work for callers that are gone.
  SUBCASE("of a caller that leaves are cancelled")
  {
    setModes(RunnerMode::Mute);
    RawClient client(platform.mSettings.mCallerAddress);
    client.Send(PlatformFixture::Request("/unsafe/1", "r1"));
    REQUIRE(platform.Wait([&] { return a.Open() + b.Open() == 1; }));
    client.Close();
    CHECK(platform.Wait([&] { return a.Dropped() + b.Dropped() == 1; }));
  }
  SUBCASE("get no runner that leaves or is gone")
  {
    platform.Announce([&] {
      platform.mStore.Write("servers/i-a",
                            Json::parse(a.Entry("app", "draining")));
    });
    for (int i = 0; i < 4; ++i) {
      CHECK(HasStatus(platform.Call("/unsafe/1", "r1"), 200));
    }
    CHECK(a.Received().empty());
    platform.Announce([&] { platform.mStore.Remove("servers/i-b"); });
    CHECK(HasStatus(platform.Call("/unsafe/1", "r1"), 503));
  }
  SUBCASE("are served while the store is away")
  {
    platform.mStore.SetFault(StoreFault::Silent);
    CHECK(HasStatus(platform.Call("/unsafe/1", "r1"), 200));
    CHECK(platform.IsReady());
  }
  SUBCASE("follow a new configuration and never an older one")
  {
    Json config = MakeConfig(9);
    config["routes"].push_back(MakeRoute("new", "safe", "app"));
    platform.Announce([&] { platform.mStore.Write("config/main", config); });
    CHECK(HasStatus(platform.Call("/new/1", "r1"), 200));
    platform.Announce(
      [&] { platform.mStore.Write("config/main", MakeConfig(5)); });
    CHECK(HasStatus(platform.Call("/new/1", "r1"), 200));
    // An unreadable one changes nothing either.
    platform.Announce([&] {
      platform.mStore.Write("config/main", Json{ { "version", 12 } });
    });
    CHECK(HasStatus(platform.Call("/new/1", "r1"), 200));
  }
  SUBCASE("that are no proper HTTP are refused and reach nobody")
  {
    RawClient client(platform.mSettings.mCallerAddress);
    client.Send("POST /unsafe/1 HTTP/1.1\r\nHost: h.example\r\n"
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\n\r\nGET /unsafe/2 HTTP/1.1\r\nHost: h.example\r\n\r\n");
    REQUIRE(platform.Wait([&] { return client.IsClosedByServer(); }));
    CHECK(HasStatus(client.Received(), 400));
    CHECK(runs() == 0);
  }
}

TEST_CASE("Streams")
{
  PlatformFixture platform;
  StandInRunner& prefill = platform.Add("i-p", "llm", "prefill");
  StandInRunner& a = platform.Add("i-a", "llm", "decode");
  StandInRunner& b = platform.Add("i-b", "llm", "decode");
  platform.Start();
  const auto events = [](const std::string& aAnswer) {
    return Count(aAnswer, "data: ");
  };

  SUBCASE("are prefilled once and decoded from the cache")
  {
    const std::string answer = platform.Call("/stream/1", "r1");
    CHECK(HasStatus(answer, 200));
    CHECK(events(answer) == 5);
    CHECK(Count(answer, "\r\n0\r\n\r\n") == 1);
    REQUIRE(prefill.Received().size() == 1);
    const StandInRunner& decode = a.Ran().empty() ? b : a;
    REQUIRE(decode.Received().size() == 1);
    CHECK(decode.Received()[0].mHeaders.Find("X-Kv-Source") ==
          FormatAddress(prefill.Address()) + "/hr1");
    CHECK(decode.Received()[0].mHeaders.Find("X-Kv-Hold") == "hold1");
  }
  // Guards against a cut answer that looks complete.
  SUBCASE("that break off break off towards the caller")
  {
    a.SetEvents(5, 2);
    b.SetEvents(5, 2);
    const std::string answer = platform.Call("/stream/1", "r1");
    CHECK(events(answer) == 2);
    CHECK(Count(answer, "\r\n0\r\n\r\n") == 0);
    CHECK(a.Ran().size() + b.Ran().size() == 1);
  }
  SUBCASE("that may be resumed go on without gap or repetition")
  {
    a.SetEvents(6, 3);
    b.SetEvents(6, 3);
    // The second run may break off too: it begins after event 3.
    const std::string answer = platform.Call("/resumable/1", "r1");
    CHECK(Count(answer, "data: 3") == 1);
    CHECK(a.Ran().size() == 1);
    CHECK(b.Ran().size() == 1);
    const HttpRequest& resumed = a.Received()[0].mHeaders.Find("Last-Event-Id")
                                   ? a.Received()[0]
                                   : b.Received()[0];
    CHECK(resumed.mHeaders.Find("Last-Event-Id") == "3");
  }
  // Guards against a second prefill of all prompts after daemons were killed:
  // the engines still have them, but no daemon knows which.
  SUBCASE("that a caller resumes go on at the engine that kept the prompt")
  {
    const std::string back = "Last-Event-Id: 3\r\nX-Prompt-Prefix: aa:10,";
    b.Keep("5c1e07a2", 90);
    const std::string answer =
      platform.Call("/resumable/1", "r1", back + "5c1e07a2:90\r\n");
    CHECK(HasStatus(answer, 200));
    CHECK(events(answer) == 2);
    CHECK(prefill.Received().empty());
    CHECK(a.Received().empty());
    REQUIRE(b.Received().size() == 1);
    CHECK_FALSE(b.Received()[0].mHeaders.Find("X-Kv-Source"));
    CHECK(b.Received()[0].mHeaders.Find("Last-Event-Id") == "3");
    CHECK(b.Lists() == 1);

    SUBCASE("and engines are not asked again for a while")
    {
      platform.Call("/resumable/1", "r2", back + "99:90\r\n");
      CHECK(prefill.Received().size() == 1);
      CHECK(b.Lists() == 1);
    }
  }
  SUBCASE("of a caller that leaves are cancelled at their engine")
  {
    a.SetEvents(100'000);
    b.SetEvents(100'000);
    RawClient client(platform.mSettings.mCallerAddress);
    client.Send(PlatformFixture::Request("/stream/1", "r1"));
    REQUIRE(platform.Wait([&] { return events(client.Received()) > 2; }));
    client.Close();
    CHECK(platform.Wait([&] { return a.Dropped() + b.Dropped() == 1; }));
  }
  SUBCASE("wait for an engine that has room")
  {
    a.SetMode(RunnerMode::Shed);
    b.SetMode(RunnerMode::Shed);
    RawClient client(platform.mSettings.mCallerAddress);
    client.Send(PlatformFixture::Request("/stream/1", "r1"));
    platform.Ask("/");
    CHECK(prefill.Received().empty());
    b.SetMode(RunnerMode::Answer);
    CHECK(platform.Wait([&] { return events(client.Received()) == 5; }));
    CHECK(a.Ran().empty());
  }
}

TEST_CASE("A planned stop cuts nothing")
{
  PlatformFixture platform;
  StandInRunner& runner = platform.Add("i-a", "app");
  platform.Start();
  RawClient kept(platform.mSettings.mCallerAddress);
  kept.Send(PlatformFixture::Request("/unsafe/1", "r1"));
  REQUIRE(
    platform.Wait([&] { return Count(kept.Received(), "HTTP/1.1 200") == 1; }));
  runner.SetMode(RunnerMode::Mute);
  RawClient open(platform.mSettings.mCallerAddress);
  open.Send(PlatformFixture::Request("/unsafe/2", "r2"));
  REQUIRE(platform.Wait([&] { return runner.Open() == 1; }));

  platform.mRouter->Stop();
  CHECK_FALSE(platform.IsReady());
  // The balancer has not noticed yet: requests still come and are served.
  runner.SetMode(RunnerMode::Answer);
  kept.Send(PlatformFixture::Request("/unsafe/3", "r3"));
  REQUIRE(
    platform.Wait([&] { return Count(kept.Received(), "HTTP/1.1 200") == 2; }));
  CHECK(Count(kept.Received(), "Connection: close") == 1);
  CHECK(HasStatus(platform.Call("/unsafe/4", "r4"), 200));
  CHECK_FALSE(open.IsClosedByServer());
}

} // namespace bulrushfold
