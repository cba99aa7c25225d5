#include <string>

#include <doctest/doctest.h>

#include "PlatformFixture.h"
#include "RawAnswers.h"

namespace bulrushfold {

namespace {
nlohmann::json
MakeWorkspaceConfig(std::uint64_t aVersion,
                    const std::vector<std::string>& aKeys)
{
  nlohmann::json config = MakeConfig(aVersion);
  nlohmann::json open = MakeRoute("open", "safe", "app");
  open["public"] = true;
  config["routes"].push_back(open);
  config["tenants"] = { { { "name", "ws-1" }, { "api_keys", aKeys } },
                        { { "name", "ws-2" }, { "api_keys", { "other" } } } };
  return config;
}

std::string
Bearer(const std::string& aKey)
{
  return "Authorization: Bearer " + aKey + "\r\n";
}
} // namespace

// Guards against callers that run requests without a key or for another
// workspace, and against keys that reach an endpoint.
TEST_CASE("Requests in a configuration with workspaces")
{
  PlatformFixture platform;
  RawEndpoint& app = platform.AddRawEndpoint("i-a", "app");
  app.OnRequest([&](const RawRequest& aRequest) {
    app.Send(aRequest.mConnection,
             RawEndpoint::Answer(200, RawEndpoint::Proof(aRequest), "fine"));
  });
  platform.mFakeStore.Write("config/main", MakeWorkspaceConfig(3, { "k-1" }));
  platform.StartRouter();
  REQUIRE(platform.WaitUntilReady());

  SUBCASE("a known key is replaced by the name of its workspace")
  {
    CHECK(HasStatus(
      platform.Call("/unsafe/1", "r1", Bearer("k-1") + "X-Tenant-Id: ws-2\r\n"),
      200));
    REQUIRE(app.Requests().size() == 1);
    const std::string& sent = app.Requests()[0].mBytes;
    CHECK(CountOccurrences(sent, "X-Tenant-Id: ws-1\r\n") == 1);
    CHECK(CountOccurrences(sent, "X-Tenant-Id") == 1);
    CHECK(CountOccurrences(sent, "Authorization") == 0);
    CHECK(CountOccurrences(sent, "k-1") == 0);
  }
  SUBCASE("a key that is unknown, missing or unreadable is refused")
  {
    const std::vector<std::string> headers{ "",
                                            Bearer("k-9"),
                                            Bearer(""),
                                            Bearer("k-1 k-1"),
                                            Bearer("k-1") + Bearer("k-1"),
                                            Bearer("k-1") + Bearer("other"),
                                            "Authorization: Basic k-1\r\n",
                                            "Authorization: k-1\r\n",
                                            "X-Tenant-Id: ws-1\r\n" };
    for (const auto& it : headers) {
      const std::string answer = platform.Call("/safe/1", "r1", it);
      CHECK(HasStatus(answer, 401));
      CHECK(answer.find("WWW-Authenticate: Bearer") != std::string::npos);
    }
    CHECK(app.Requests().empty());
  }
  SUBCASE("a public route needs no key and passes none on")
  {
    CHECK(HasStatus(platform.Call("/open/1", "r1"), 200));
    CHECK(HasStatus(platform.Call("/open/1", "r2", Bearer("k-9")), 200));
    CHECK(HasStatus(platform.Call("/open/1", "r3", Bearer("k-1")), 200));
    REQUIRE(app.Requests().size() == 3);
    CHECK(CountOccurrences(app.Requests()[1].mBytes, "k-9") == 0);
    CHECK(CountOccurrences(app.Requests()[1].mBytes, "X-Tenant-Id") == 0);
    CHECK(CountOccurrences(app.Requests()[2].mBytes, "X-Tenant-Id: ws-1") == 1);
  }
  SUBCASE("keys come and go with versions")
  {
    platform.ChangeStore([&] {
      platform.mFakeStore.Write("config/main",
                                MakeWorkspaceConfig(4, { "k-2" }));
    });
    CHECK(HasStatus(platform.Call("/safe/1", "r1", Bearer("k-1")), 401));
    CHECK(HasStatus(platform.Call("/safe/1", "r2", Bearer("k-2")), 200));
  }
  SUBCASE("a daemon that cannot read the newest keys refuses without 401")
  {
    platform.mFakeStore.SetFault(StoreFault::Reset);
    platform.mFakeStore.CloseWatches();
    std::string answer;
    for (int i = 0; i < 100 && !HasStatus(answer, 503); ++i) {
      answer = platform.Call("/safe/1", "r1", Bearer("k-9"));
    }
    CHECK(HasStatus(answer, 503));
    CHECK(answer.find("Retry-After") != std::string::npos);
    CHECK(HasStatus(platform.Call("/safe/1", "r2", Bearer("k-1")), 200));
  }
}

TEST_CASE("Every step of a stream names the workspace and not the key")
{
  PlatformFixture platform;
  RawEndpoint& prefill = platform.AddRawEndpoint("i-p", "llm", "prefill");
  RawEndpoint& decode = platform.AddRawEndpoint("i-d", "llm", "decode");
  prefill.OnRequest([&](const RawRequest& aRequest) {
    prefill.Send(aRequest.mConnection,
                 Handle(aRequest, RawEndpoint::Proof(aRequest)));
  });
  decode.OnRequest([&](const RawRequest& aRequest) {
    decode.Send(aRequest.mConnection,
                RawEndpoint::Answer(200,
                                    RawEndpoint::Proof(aRequest) + kStreamType,
                                    Events(1, 3)));
  });
  platform.mFakeStore.Write("config/main", MakeWorkspaceConfig(3, { "k-1" }));
  platform.StartRouter();
  REQUIRE(platform.WaitUntilReady());
  CHECK(HasStatus(platform.Call("/stream/1", "r1", Bearer("k-1")), 200));
  for (const RawEndpoint* it : { &prefill, &decode }) {
    REQUIRE(it->Requests().size() == 1);
    const std::string& sent = it->Requests()[0].mBytes;
    CHECK(CountOccurrences(sent, "X-Tenant-Id: ws-1\r\n") == 1);
    CHECK(CountOccurrences(sent, "k-1") == 0);
  }
}

TEST_CASE("Without workspaces the headers of callers are passed on")
{
  PlatformFixture platform;
  RawEndpoint& app = platform.AddRawEndpoint("i-a", "app");
  app.OnRequest([&](const RawRequest& aRequest) {
    app.Send(aRequest.mConnection,
             RawEndpoint::Answer(200, RawEndpoint::Proof(aRequest), "fine"));
  });
  platform.Start();
  CHECK(HasStatus(platform.Call("/safe/1", "r1", Bearer("k-1")), 200));
  REQUIRE(app.Requests().size() == 1);
  CHECK(CountOccurrences(app.Requests()[0].mBytes, "Bearer k-1") == 1);
}

} // namespace bulrushfold
