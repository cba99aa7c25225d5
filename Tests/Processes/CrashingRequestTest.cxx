#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "PlatformFixture.h"
#include "RepeatedGet.h"
#include "RouterProcess.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kService = "app";
const std::string kDeadlyPath = "/lookup/deadly";
constexpr int kRouters = 3;
constexpr int kServers = 4;
constexpr int kOrdinaryCallers = 8;
/** Time after which a server that has crashed is up again. */
constexpr Duration kRestartTime = milliseconds(1500);
constexpr Duration kCallerPause = milliseconds(20);
constexpr Duration kDeadlyPause = milliseconds(150);
constexpr Duration kRunTime = seconds(14);
/** contact_ms: the time for which daemons may not know of a crash yet. */
constexpr Duration kContactTime = seconds(3);
/** Crashes after which a request must be stopped, and sends that may follow
 * later than kContactTime after them: the rule BUDGET. */
constexpr std::size_t kMaxCrashes = 3;
constexpr std::size_t kMaxLateSends = 3;

Json
LookupConfig(const std::string& aKind)
{
  return { { "version", 3 },
           { "routes", { MakeRoute("lookup", aKind, kService) } },
           { "services", { { { "name", kService } } } } };
}

/** A server that a deadly request crashes, with all its connections. */
class CrashingServer
{
public:
  CrashingServer(EventLoop& aLoop, FakePlatformStore& aStore, std::string aId)
    : mLoop(aLoop)
    , mStore(aStore)
    , mId(std::move(aId))
    , mEndpoint(aLoop, mId, "")
  {
    mEndpoint.OnRequest(
      [this](const RawRequest& aRequest) { Handle(aRequest); });
    Register();
  }

  /** Times of the deadly requests that arrived, and of the crashes. */
  std::vector<Instant> mDeadlyArrivals;
  std::vector<Instant> mCrashes;
  bool IsUp() const { return mIsUp; }

private:
  void Register()
  {
    Json entry = Json::parse(mEndpoint.RegistryEntry(kService));
    entry["born"] = 1000 + mCrashes.size();
    mStore.Write("servers/" + mId, entry);
  }
  void Handle(const RawRequest& aRequest)
  {
    const bool isDeadly = aRequest.mPath == kDeadlyPath;
    if (isDeadly) {
      mDeadlyArrivals.push_back(mClock.Now());
    }
    if (!mIsUp) {
      mEndpoint.Close(aRequest.mConnection, RawClose::Orderly);
    } else if (isDeadly) {
      Crash();
    } else {
      mEndpoint.Send(
        aRequest.mConnection,
        RawEndpoint::Answer(200, RawEndpoint::Proof(aRequest), "fine"));
    }
  }
  void Crash()
  {
    mIsUp = false;
    mCrashes.push_back(mClock.Now());
    for (std::size_t i = 0; i < mEndpoint.ConnectionCount(); ++i) {
      if (!mEndpoint.IsClosed(i)) {
        mEndpoint.Close(i, RawClose::Reset);
      }
    }
    mTimer = mLoop.After(kRestartTime, [this] {
      mIsUp = true;
      Register();
    });
  }

  EventLoop& mLoop;
  FakePlatformStore& mStore;
  std::string mId;
  RawEndpoint mEndpoint;
  SystemClock mClock;
  bool mIsUp = true;
  EventHandle mTimer;
};

/** A caller that repeats one request, at one router after the other. */
class RepeatingCaller
{
public:
  using Routers = std::vector<std::unique_ptr<RouterProcess>>;

  RepeatingCaller(EventLoop& aLoop,
                  const Routers& aRouters,
                  std::string aName,
                  std::string aPath,
                  Duration aPause)
    : mRouters(aRouters)
    , mPath(std::move(aPath))
    , mGet(aLoop,
           std::move(aName),
           aPause,
           { [this] { return Next(); },
             [this](const std::string& aAnswer) { Count(aAnswer); } })
  {
  }

  std::size_t mServed = 0;
  std::size_t mSuspected = 0;
  std::size_t mOther = 0;
  std::string mLastAnswer;

private:
  RepeatedGet::Target Next()
  {
    return { mRouters[++mCalls % mRouters.size()]->CallerAddress(), mPath };
  }
  void Count(const std::string& aAnswer)
  {
    mLastAnswer = aAnswer;
    if (aAnswer.find("HTTP/1.1 200") == 0) {
      ++mServed;
    } else if (aAnswer.find("crash_suspect") != std::string::npos) {
      ++mSuspected;
    } else {
      ++mOther;
    }
  }

  const Routers& mRouters;
  std::string mPath;
  std::size_t mCalls = 0;
  RepeatedGet mGet;
};
} // namespace

// Guards against a deadly request that goes on crashing servers, and against
// ordinary callers who are refused because they repeat a request beside it.
TEST_CASE("Three routers stop a deadly request and serve ordinary callers")
{
  std::string kind;
  SUBCASE("that may be repeated")
  {
    kind = "safe";
  }
  SUBCASE("that runs once at most")
  {
    kind = "unsafe";
  }
  EventLoop loop;
  FakePlatformStore store(loop);
  store.Write("config/main", LookupConfig(kind));
  std::vector<std::unique_ptr<CrashingServer>> servers;
  servers.reserve(kServers);
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(
      std::make_unique<CrashingServer>(loop, store, "i-" + std::to_string(i)));
  }
  RepeatingCaller::Routers routers;
  for (int i = 0; i < kRouters; ++i) {
    routers.push_back(std::make_unique<RouterProcess>(
      "front-" + std::to_string(i), store.Address()));
    routers.back()->Start();
  }
  std::vector<std::unique_ptr<RepeatingCaller>> ordinary;
  ordinary.reserve(kOrdinaryCallers);
  for (int i = 0; i < kOrdinaryCallers; ++i) {
    ordinary.push_back(
      std::make_unique<RepeatingCaller>(loop,
                                        routers,
                                        "o" + std::to_string(i),
                                        "/lookup/" + std::to_string(i),
                                        kCallerPause));
  }
  REQUIRE(RunUntil(loop, [&] {
    return std::all_of(ordinary.begin(), ordinary.end(), [](const auto& aIt) {
      return aIt->mServed > 0;
    });
  }));
  // The daemons find each other.
  RunFor(loop, seconds(2));

  RepeatingCaller deadly(loop, routers, "d", kDeadlyPath, kDeadlyPause);
  RunFor(loop, kRunTime);
  std::vector<Instant> crashes;
  std::vector<Instant> arrivals;
  for (const auto& it : servers) {
    crashes.insert(crashes.end(), it->mCrashes.begin(), it->mCrashes.end());
    arrivals.insert(
      arrivals.end(), it->mDeadlyArrivals.begin(), it->mDeadlyArrivals.end());
    CHECK(it->IsUp());
  }
  std::sort(crashes.begin(), crashes.end());
  REQUIRE(crashes.size() >= kMaxCrashes);
  const Instant known = crashes[kMaxCrashes - 1] + kContactTime;
  const auto late = static_cast<std::size_t>(
    std::count_if(arrivals.begin(), arrivals.end(), [&](const Instant& aIt) {
      return aIt > known;
    }));
  CHECK(late <= kMaxLateSends);
  CHECK(deadly.mServed == 0);
  CHECK(deadly.mLastAnswer.find("crash_suspect") != std::string::npos);

  std::size_t served = 0;
  std::size_t other = 0;
  for (const auto& it : ordinary) {
    CHECK(it->mSuspected == 0);
    CHECK(it->mLastAnswer.find("HTTP/1.1 200") == 0);
    served += it->mServed;
    other += it->mOther;
  }
  MESSAGE(kind,
          ": ",
          crashes.size(),
          " crashes, ",
          arrivals.size(),
          " deadly sends, ",
          late,
          " late; ordinary: ",
          served,
          " served, ",
          other,
          " not");
  for (const auto& it : routers) {
    CHECK(it->IsRunning());
  }
}

} // namespace bulrushfold
