#include <algorithm>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "Base/Random.h"
#include "PlatformFixture.h"
#include "RepeatedGet.h"
#include "RouterProcess.h"
#include "Routing/OwnerSelector.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kService = "app";
const std::string kConfigKey = "config/main";
const std::string kDaemonPrefix = "bulrushfold-daemons/";
constexpr int kServers = 3;
constexpr Duration kHeartbeat = milliseconds(1200);
constexpr Duration kCopyInterval = milliseconds(500);
/** Configs that the last return loses; more than are written after it. */
constexpr int kLostConfigs = 4;
/** Copies that are kept, the oldest 3 s old. */
constexpr std::size_t kCopies = 6;
constexpr Duration kStartTime = seconds(15);
constexpr Duration kFaultTime = seconds(12);
/** contact_ms and config_apply_ms, for the last config. */
constexpr Duration kApplyTime = seconds(3) + seconds(2);
/** Time in which all daemons have written their entries again. */
constexpr Duration kRewriteTime = seconds(10);
/** Objects on one page of the platform's store, about. */
constexpr std::size_t kPageSize = 500;
/** Interval at which the state of each router is asked for. */
constexpr Duration kProbePause = milliseconds(100);

/** Number in the environment, for long runs by hand. */
std::uint64_t
NumberOf(const char* aVariable, std::uint64_t aDefault)
{
  const char* text = std::getenv(aVariable);
  return text == nullptr ? aDefault : std::stoull(text);
}

/** A config with the routes r1 to rN, N being its version. */
Json
ConfigOf(int aVersion)
{
  Json routes = Json::array();
  for (int i = 1; i <= aVersion; ++i) {
    routes.push_back(MakeRoute("r" + std::to_string(i), "safe", kService));
  }
  return { { "version", aVersion },
           { "routes", routes },
           { "services", { { { "name", kService } } } } };
}

/** Calls in aCalls beyond those in aEarlier. */
std::size_t
CountCalls(const std::map<std::string, std::size_t>& aCalls,
           const std::map<std::string, std::size_t>& aEarlier)
{
  std::size_t count = 0;
  for (const auto& [kind, n] : aCalls) {
    const auto it = aEarlier.find(kind);
    count += n - (it == aEarlier.end() ? 0 : it->second);
  }
  return count;
}

/** Asks a router again and again for the route that the newest config has added
 * as far as the router is known to have it, and for the next one. */
class ConfigProbe
{
public:
  ConfigProbe(EventLoop& aLoop, RouterProcess& aRouter)
    : mRouter(aRouter)
    , mGet(aLoop,
           "p",
           kProbePause,
           { [this] { return Next(); },
             [this](const std::string& aAnswer) { HandleAnswer(aAnswer); } })
  {
  }

  /** Newest version that the router has shown since its start. */
  int Version() const { return mVersion; }
  /** Answers that only an older version allows. */
  int mRegressions = 0;

  void OnRestart()
  {
    mVersion = 0;
    mGet.Restart();
  }

private:
  RepeatedGet::Target Next()
  {
    mAsked = mIsNext || mVersion == 0 ? mVersion + 1 : mVersion;
    mIsNext = !mIsNext;
    return { mRouter.CallerAddress(), "/r" + std::to_string(mAsked) + "/1" };
  }
  void HandleAnswer(const std::string& aAnswer)
  {
    if (aAnswer.find("HTTP/1.1 200") == 0) {
      // The next version is asked for at once.
      mIsNext = mIsNext || mAsked > mVersion;
      mVersion = std::max(mVersion, mAsked);
    } else if (aAnswer.find("HTTP/1.1 404") == 0 && mAsked <= mVersion) {
      ++mRegressions;
    }
  }

  RouterProcess& mRouter;
  int mVersion = 0;
  int mAsked = 0;
  bool mIsNext = true;
  RepeatedGet mGet;
};

/** Routers, servers and an operator, and a store that comes back from copies
 * while routers are killed and configs written. */
class ReturnScenario
{
public:
  ReturnScenario(std::uint64_t aSeed, std::size_t aRouters)
    : mRandom(aSeed)
  {
    WriteConfig();
    for (int i = 0; i < kServers; ++i) {
      mServers.push_back(std::make_unique<RawEndpoint>(
        mLoop, "i-" + std::to_string(i), std::string()));
      RawEndpoint& server = *mServers.back();
      server.OnRequest([&server](const RawRequest& aRequest) {
        server.Send(
          aRequest.mConnection,
          RawEndpoint::Answer(200, RawEndpoint::Proof(aRequest), "fine"));
      });
    }
    WriteHeartbeats();
    mHeartbeats = mLoop.Every(kHeartbeat, [this] { WriteHeartbeats(); });
    mEntryTimer = mLoop.Every(milliseconds(5), [this] { ObserveEntries(); });
    mCopyTimer = mLoop.Every(kCopyInterval, [this] { KeepCopy(); });
    for (std::size_t i = 0; i < aRouters; ++i) {
      mRouters.push_back(std::make_unique<RouterProcess>(
        "front-" + std::to_string(i), mStore.Address()));
      mRouters.back()->Start();
      mProbes.push_back(std::make_unique<ConfigProbe>(mLoop, *mRouters.back()));
    }
  }

  bool WaitForVersion(Duration aLimit)
  {
    return WaitFor(aLimit, [this] {
      return std::all_of(
        mProbes.begin(), mProbes.end(), [this](const auto& aIt) {
          return aIt->Version() >= mVersion;
        });
    });
  }
  /** The store has the entries of the present processes of all routers, and the
   * key is the first one. */
  bool WaitForEntries(Duration aLimit)
  {
    return WaitFor(aLimit, [this] {
      return Key() == mFirstKey &&
             std::all_of(
               mRouters.begin(), mRouters.end(), [this](const auto& aIt) {
                 const std::string incarnation = IncarnationOf(*aIt);
                 return !incarnation.empty() &&
                        incarnation == mLastIncarnations[aIt->Name()];
               });
    });
  }
  /** Waits for the key that the routers share, and for their entries. */
  bool WaitForStart(Duration aLimit)
  {
    const bool hasKey = WaitFor(aLimit, [this] { return Key().is_object(); });
    mFirstKey = Key();
    return hasKey && WaitForEntries(aLimit) && WaitForVersion(aLimit);
  }
  void RunFaults(Duration aSpan)
  {
    const Instant end = mClock.Now() + aSpan;
    while (mClock.Now() < end) {
      AddFault();
      Wait(milliseconds(200 + mRandom.UniformBelow(1500)));
    }
    // The last config gets a revision that was assigned before.
    Wait(kCopyInterval);
    const StoreContent copy = mStore.Copy();
    for (int i = 0; i < kLostConfigs; ++i) {
      WriteConfig();
      Wait(milliseconds(300));
    }
    ReturnStore(copy);
    WriteConfig();
  }
  /** The store goes away for a moment and comes back from aCopy. */
  void ReturnStore(const StoreContent& aCopy)
  {
    if (mRandom.Bernoulli(0.7)) {
      mStore.SetFault(mRandom.Bernoulli(0.5) ? StoreFault::Reset
                                             : StoreFault::Unavailable);
      Wait(milliseconds(mRandom.UniformBelow(1500)));
      mStore.SetFault(StoreFault::None);
    }
    mStore.ReturnFrom(aCopy);
    mCallsAtReturn = mStore.CallsByKind();
    ++mReturns;
    mCopies.assign(1, mStore.Copy());
    // The operator writes its last version again.
    mStore.Write(kConfigKey, ConfigOf(mVersion));
  }
  void Wait(Duration aSpan) { RunFor(mLoop, aSpan); }

  std::vector<std::unique_ptr<RouterProcess>> mRouters;
  std::vector<std::unique_ptr<ConfigProbe>> mProbes;
  FakePlatformStore& Store() { return mStore; }
  int Returns() const { return mReturns; }
  using Calls = std::map<std::string, std::size_t>;
  /** Calls by kind at the moment of the last return. */
  const Calls& CallsAtReturn() const { return mCallsAtReturn; }

private:
  /** Incarnation in the entry of aRouter; empty if there is no entry. */
  std::string IncarnationOf(const RouterProcess& aRouter) const
  {
    const Json entry = mStore.Spec(kDaemonPrefix + aRouter.Name());
    return entry.is_object() ? entry.value("incarnation", "") : std::string();
  }
  /** Incarnations are ordered by their start. */
  void ObserveEntries()
  {
    for (const auto& it : mRouters) {
      std::string& last = mLastIncarnations[it->Name()];
      last = std::max(last, IncarnationOf(*it));
    }
  }
  Json Key() const { return mStore.Spec(kDaemonPrefix + "shared-key"); }
  bool WaitFor(Duration aLimit, const std::function<bool()>& aCondition)
  {
    return RunUntil(mLoop, aCondition, aLimit);
  }
  void WriteConfig() { mStore.Write(kConfigKey, ConfigOf(++mVersion)); }
  void WriteHeartbeats()
  {
    for (std::size_t i = 0; i < mServers.size(); ++i) {
      const std::string key = "servers/i-" + std::to_string(i);
      const Json entry = Json::parse(mServers[i]->RegistryEntry(kService));
      if (mStore.Spec(key) != entry) {
        mStore.Write(key, entry);
      }
    }
  }
  void KeepCopy()
  {
    mCopies.push_back(mStore.Copy());
    if (mCopies.size() > kCopies) {
      mCopies.pop_front();
    }
  }
  void AddFault()
  {
    const double choice = mRandom.UniformReal();
    if (choice < 0.4) {
      WriteConfig();
    } else if (choice < 0.7 && !mCopies.empty()) {
      ReturnStore(StoreContent(mCopies[mRandom.UniformBelow(mCopies.size())]));
    } else {
      const std::size_t i = mRandom.UniformBelow(mRouters.size());
      mRouters[i]->Kill();
      Wait(milliseconds(mRandom.UniformBelow(500)));
      mRouters[i]->Start();
      mProbes[i]->OnRestart();
    }
  }

  Random mRandom;
  EventLoop mLoop;
  SystemClock mClock;
  FakePlatformStore mStore{ mLoop };
  std::vector<std::unique_ptr<RawEndpoint>> mServers;
  std::deque<StoreContent> mCopies;
  EventHandle mHeartbeats;
  EventHandle mCopyTimer;
  EventHandle mEntryTimer;
  std::map<std::string, std::string> mLastIncarnations;
  int mVersion = 0;
  int mReturns = 0;
  Calls mCallsAtReturn;
  Json mFirstKey;
};
} // namespace

// Guards against routers that keep an old config, go back to one, end, or lose
// each other, because the store came back from copies beside kills and changes.
// STORE_RETURN_SEED and STORE_RETURN_SEEDS choose other runs.
TEST_CASE("Routers outlast a store that comes back from copies")
{
  const std::uint64_t first = NumberOf("STORE_RETURN_SEED", 1);
  const std::uint64_t count = NumberOf("STORE_RETURN_SEEDS", 2);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    CAPTURE(seed);
    ReturnScenario scenario(seed, seed % 2 == 0 ? 14 : 3);
    REQUIRE(scenario.WaitForStart(kStartTime));
    scenario.RunFaults(kFaultTime);
    CHECK(scenario.WaitForVersion(kApplyTime));
    CHECK(scenario.WaitForEntries(kRewriteTime));
    int regressions = 0;
    for (std::size_t i = 0; i < scenario.mRouters.size(); ++i) {
      regressions += scenario.mProbes[i]->mRegressions;
      CHECK(scenario.mRouters[i]->IsRunning());
    }
    CHECK(regressions == 0);
    CHECK(scenario.Returns() > 0);
    MESSAGE("seed ", seed, ": ", scenario.Returns(), " returns");
  }
}

// Guards against many calls at once when the store is back.
// STORE_RETURN_ROUTERS chooses the size of the fleet.
TEST_CASE("A fleet makes few calls to a store that has come back")
{
  // Each router lists the registry of routers at a random moment, after it has
  // written its entry, and twice more. The write is up to three calls.
  constexpr std::size_t kMaxLists = 4;
  constexpr std::size_t kMaxWriteCalls = 3;
  // Calls of the watches of a router that reads the store itself.
  constexpr std::size_t kWatchCalls = 10;
  const std::size_t routers = NumberOf("STORE_RETURN_ROUTERS", 14);
  ReturnScenario scenario(1, routers);
  FakePlatformStore& store = scenario.Store();
  store.SetPageSize(kPageSize);
  REQUIRE(scenario.WaitForStart(kStartTime));
  scenario.Wait(seconds(8));
  const auto started = store.CallsByKind();
  scenario.Wait(seconds(10));
  const std::size_t calm = CountCalls(store.CallsByKind(), started);
  // The copy lacks the entries of all routers.
  StoreContent copy = store.Copy();
  for (const auto& it : scenario.mRouters) {
    copy.Delete(kDaemonPrefix + it->Name());
  }
  scenario.ReturnStore(copy);
  scenario.Wait(seconds(1));
  const std::size_t firstSecond =
    CountCalls(store.CallsByKind(), scenario.CallsAtReturn());
  scenario.Wait(seconds(9));
  const std::size_t after =
    CountCalls(store.CallsByKind(), scenario.CallsAtReturn());
  MESSAGE(routers,
          " routers: ",
          calm,
          " calls in 10 s before the return, ",
          firstSecond,
          " in the first second and ",
          after,
          " in the 10 s after it");
  for (const auto& [kind, n] : store.CallsByKind()) {
    MESSAGE(kind, ": ", CountCalls({ { kind, n } }, scenario.CallsAtReturn()));
  }
  const std::size_t readers = routers < OwnerSelector::kMinFleet ? routers : 1;
  CHECK(after <=
        routers * (kMaxLists + kMaxWriteCalls) + readers * kWatchCalls + calm);
}

} // namespace bulrushfold
