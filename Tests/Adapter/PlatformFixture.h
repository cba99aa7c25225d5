#ifndef BULRUSHFOLD_TESTS_ADAPTER_PLATFORMFIXTURE_H
#define BULRUSHFOLD_TESTS_ADAPTER_PLATFORMFIXTURE_H

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "Net/LoopFixture.h"
#include "PlatformStore.h"
#include "RegistryReader.h"
#include "Router/Router.h"
#include "RunnerProtocol.h"
#include "StandInRunner.h"
#include "StandInStore.h"

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

/** A router with a store and runners, all on one loop. */
class PlatformFixture
{
public:
  PlatformFixture()
  {
    mSettings.mName = "front-1";
    mSettings.mCallerAddress = FreeAddress();
    mSettings.mReadinessAddress = FreeAddress();
    mSettings.mPeerAddress = FreeAddress();
    mSettings.mStoreAddress = mStore.Address();
    mSettings.mConfigPrefix = "config/";
    mSettings.mConfigKey = "config/main";
    mSettings.mEndpointPrefix = "servers/";
    mSettings.mDaemonPrefix = "bulrushfold-daemons/";
    mSettings.mOrderPrefix = "bulrushfold-orders/";
    mSettings.mRetryLimits.mBaseRetries = 50;
  }

  StandInRunner& Add(const std::string& aId,
                     const std::string& aService,
                     const std::string& aStage = "")
  {
    auto& runner = mRunners[aId];
    runner = std::make_unique<StandInRunner>(mLoop, aId, aStage);
    mStore.Write("servers/" + aId,
                 nlohmann::json::parse(runner->Entry(aService)));
    return *runner;
  }
  void StartRouter()
  {
    mRouter = std::make_unique<Router>(
      mLoop,
      mSettings,
      mClient,
      mPlatformStore,
      mProtocol,
      RegistryCodec{ &platform::ReadConfig, &platform::ReadRunner });
    REQUIRE(mRouter->Start().ok());
  }
  void Start(std::uint64_t aVersion = 3)
  {
    mStore.Write("config/main", MakeConfig(aVersion));
    StartRouter();
    REQUIRE(BecomesReady());
  }
  /** Waits until the router is ready; false when it is not in 2 s. */
  bool BecomesReady()
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
    return Ask("/api/ready").find(" 200 ") != std::string::npos;
  }
  /** Answer of the readiness address. */
  std::string Ask(const std::string& aPath)
  {
    RawClient client(mSettings.mReadinessAddress);
    client.Send("GET " + aPath + " HTTP/1.1\r\nHost: x\r\n\r\n");
    bool due = false;
    const auto timer = mLoop.After(std::chrono::milliseconds(5), [&] {
      due = true;
      mLoop.Stop();
    });
    while (!due) {
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
  /** Changes the store while the router watches, and lets it notice. */
  void Announce(const std::function<void()>& aChange)
  {
    REQUIRE(Wait([this] { return mStore.WaitingWatches() == 2; }));
    aChange();
    Ask("/");
  }
  bool Wait(const std::function<bool()>& aCondition)
  {
    return RunUntil(mLoop, aCondition);
  }

  EventLoop mLoop;
  StandInStore mStore{ mLoop };
  HttpClient mClient{ mLoop };
  platform::PlatformStore mPlatformStore{ mLoop, mClient, mStore.Address() };
  platform::RunnerProtocol mProtocol;
  RouterSettings mSettings;
  std::map<std::string, std::unique_ptr<StandInRunner>> mRunners;
  std::unique_ptr<Router> mRouter;
};

inline bool
HasStatus(const std::string& aAnswer, int aStatus)
{
  return aAnswer.compare(0, 12, "HTTP/1.1 " + std::to_string(aStatus)) == 0;
}

} // namespace bulrushfold

#endif
