#ifndef BULRUSHFOLD_TESTS_ADAPTER_PLATFORMFIXTURE_H
#define BULRUSHFOLD_TESTS_ADAPTER_PLATFORMFIXTURE_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "FakeEndpoint.h"
#include "FakePlatformStore.h"
#include "Net/LoopFixture.h"
#include "PlatformProtocol.h"
#include "PlatformStore.h"
#include "RawEndpoint.h"
#include "RegistryReader.h"
#include "Router/Router.h"

namespace bulrushfold {

inline nlohmann::json
MakeRoute(const std::string& aName,
          const std::string& aKind,
          const std::string& aService)
{
  return { { "name", aName },
           { "host", "h.example" },
           { "path_prefix", "/" + aName + "/" },
           { "kind", aKind },
           { "timeout_ms", 3000 },
           { "target_latency_ms", 300 },
           { "service", aService },
           { "max_attempts", 2 } };
}

inline nlohmann::json
MakeConfig(std::uint64_t aVersion)
{
  nlohmann::json resumable = MakeRoute("resumable", "streaming", "llm");
  resumable["resumable"] = true;
  return { { "version", aVersion },
           { "routes",
             { MakeRoute("safe", "safe", "app"),
               MakeRoute("unsafe", "unsafe", "app"),
               MakeRoute("stream", "streaming", "llm"),
               resumable } },
           { "services",
             { { { "name", "app" } },
               { { "name", "llm" },
                 { "engine",
                   { { "slots", 8 },
                     { "kv_capacity_tokens", 100000 },
                     { "hold_ms", 1000 } } } } } } };
}

/** A router, a fake store and fake endpoints on one event loop. */
class PlatformFixture
{
public:
  PlatformFixture()
  {
    mSettings.mName = "front-1";
    mSettings.mCallerAddress = FreeAddress();
    mSettings.mReadinessAddress = FreeAddress();
    mSettings.mPeerAddress = FreeAddress();
    mSettings.mStoreAddress = mFakeStore.Address();
    mSettings.mConfigPrefix = "config/";
    mSettings.mConfigKey = "config/main";
    mSettings.mEndpointPrefix = "servers/";
    mSettings.mDaemonPrefix = "bulrushfold-daemons/";
    mSettings.mOrderPrefix = "bulrushfold-orders/";
    mSettings.mRetryLimits.mBaseRetries = 50;
  }

  FakeEndpoint& AddEndpoint(const std::string& aId,
                            const std::string& aService,
                            const std::string& aStage = "")
  {
    auto& endpoint = mEndpoints[aId];
    endpoint = std::make_unique<FakeEndpoint>(mLoop, aId, aStage);
    mFakeStore.Write("servers/" + aId,
                     nlohmann::json::parse(endpoint->RegistryEntry(aService)));
    return *endpoint;
  }
  RawEndpoint& AddRawEndpoint(const std::string& aId,
                              const std::string& aService,
                              const std::string& aStage = "")
  {
    auto& endpoint = mRawEndpoints[aId];
    endpoint = std::make_unique<RawEndpoint>(mLoop, aId, aStage);
    mFakeStore.Write("servers/" + aId,
                     nlohmann::json::parse(endpoint->RegistryEntry(aService)));
    return *endpoint;
  }
  void StartRouter()
  {
    mRouter = std::make_unique<Router>(
      mLoop,
      mSettings,
      mClient,
      mStore,
      mProtocol,
      RegistryCodec{ &platform::ReadConfig, &platform::ReadEndpoint });
    REQUIRE(mRouter->Start().ok());
  }
  void Start(std::uint64_t aVersion = 3)
  {
    mFakeStore.Write("config/main", MakeConfig(aVersion));
    StartRouter();
    REQUIRE(WaitUntilReady());
  }
  /** Waits until the router is ready; false if it is not ready within 2 s. */
  bool WaitUntilReady()
  {
    for (int i = 0; i < 400; ++i) {
      if (IsReady()) {
        return true;
      }
    }
    return false;
  }
  bool IsReady()
  {
    return CallReadiness("/api/ready").find(" 200 ") != std::string::npos;
  }
  /** Sends a GET request to the readiness address, and returns what arrives in
   * 5 ms. */
  std::string CallReadiness(const std::string& aPath)
  {
    return CallReadiness(mSettings.mReadinessAddress, aPath);
  }
  std::string CallReadiness(const SocketAddress& aAddress,
                            const std::string& aPath)
  {
    RawClient client(aAddress);
    client.Send("GET " + aPath + " HTTP/1.1\r\nHost: x\r\n\r\n");
    bool isOver = false;
    const auto timer = mLoop.After(std::chrono::milliseconds(5), [&] {
      isOver = true;
      mLoop.Stop();
    });
    while (!isOver) {
      mLoop.Run();
    }
    return client.Received();
  }
  static std::string Request(const std::string& aPath,
                             const std::string& aId,
                             const std::string& aHeaders = "")
  {
    return "POST " + aPath +
           " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + aId +
           "\r\nX-Token-Count: 100,50\r\nX-Deadline-Ms: 60000\r\n" + aHeaders +
           "Content-Length: 4\r\n\r\nbody";
  }
  /** Sends a request on a new connection and waits for the whole answer. */
  std::string Call(const std::string& aPath,
                   const std::string& aId,
                   const std::string& aHeaders = "")
  {
    RawClient client(mSettings.mCallerAddress);
    client.Send(Request(aPath, aId, "Connection: close\r\n" + aHeaders));
    REQUIRE(RunUntil(mLoop, [&] { return client.IsClosedByServer(); }));
    return client.Received();
  }
  /** Calls aChange, which changes the store, while both of the router's watches
   * are open, and gives the router 5 ms to read the change. */
  void ChangeStore(const std::function<void()>& aChange)
  {
    REQUIRE(WaitUntil([this] { return mFakeStore.PendingWatches() == 2; }));
    aChange();
    CallReadiness("/");
  }
  bool WaitUntil(const std::function<bool()>& aCondition)
  {
    return RunUntil(mLoop, aCondition);
  }

  EventLoop mLoop;
  FakePlatformStore mFakeStore{ mLoop };
  /** A quarter of the smallest memory of the users' VMs, 88 MB. */
  static constexpr std::size_t kMaxReplyBytes = 22 * 1024 * 1024;
  HttpClient mClient{ mLoop, kMaxReplyBytes };
  platform::PlatformStore mStore{ mLoop, mClient, mFakeStore.Address() };
  platform::PlatformProtocol mProtocol;
  RouterSettings mSettings;
  std::map<std::string, std::unique_ptr<FakeEndpoint>> mEndpoints;
  std::map<std::string, std::unique_ptr<RawEndpoint>> mRawEndpoints;
  std::vector<EventHandle> mTimers;
  std::unique_ptr<Router> mRouter;
};

inline bool
HasStatus(const std::string& aAnswer, int aStatus)
{
  return aAnswer.compare(0, 12, "HTTP/1.1 " + std::to_string(aStatus)) == 0;
}

} // namespace bulrushfold

#endif
