// A fleet with a placement owner: the store comes back from a copy, and a
// config that the operator writes then never reaches most machines.
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "standins-2/fleet.h"

using namespace standins;
using Json = nlohmann::json;

namespace {

constexpr int kMachines = 14;
/** config_apply_ms and max_stretch_ms of the grown sites. */
constexpr double kConfigApplyMs = 3000;
constexpr double kMaxStretchMs = 6000;
constexpr double kContactMs = 4000;

Json
MakeRoute(const std::string& aName, const std::string& aService)
{
  return { { "name", aName },
           { "host", "h.example" },
           { "path_prefix", "/" + aName + "/" },
           { "kind", "safe" },
           { "timeout_ms", 1500 },
           { "target_latency_ms", 300 },
           { "priority", 2 },
           { "service", aService },
           { "max_attempts", 2 },
           { "sticky_sessions", false },
           { "resumable", false } };
}

/** Routes r1 to rN; the route "moved" belongs to aService. */
Json
MakeConfig(int aVersion, int aRoutes, const std::string& aService)
{
  Json routes = Json::array({ MakeRoute("moved", aService) });
  for (int i = 1; i <= aRoutes; ++i) {
    routes.push_back(MakeRoute("r" + std::to_string(i), "old"));
  }
  return { { "version", aVersion },
           { "routes", routes },
           { "services",
             { { { "name", "old" }, { "max_connections", 96 } },
               { { "name", "new" }, { "max_connections", 96 } } } },
           { "limits",
             { { "max_header_bytes", 16384 },
               { "max_body_bytes", 4194304 },
               { "header_timeout_ms", 5000 },
               { "idle_timeout_ms", 10000 } } } };
}

class Case
{
public:
  Case()
    : mRecord("review/6/record.txt")
    , mFolder(MakeFolder())
    , mPrefix(PickPrefix())
    , mStore(mPrefix + "1")
  {
  }
  ~Case()
  {
    mMachines.clear();
    mRunners.clear();
    RemoveFolder(mFolder);
  }

  int Run();

private:
  void WriteConfig(int aVersion, int aRoutes, const std::string& aService)
  {
    const auto revision =
      mStore.Write("config/main", MakeConfig(aVersion, aRoutes, aService));
    mRecord.Line("operator writes config version " + std::to_string(aVersion) +
                 " (route /r" + std::to_string(aRoutes) +
                 "/ added, /moved/ to " + aService +
                 "); acknowledged at revision " + std::to_string(revision));
  }
  /** Number of machines that handle requests as aRoutes and aService say, and
   * of those that handle one as only an older version allows. Others refused.
   */
  struct Count
  {
    int mCurrent = 0;
    int mOutdated = 0;
  };
  Count CountMachines(int aRoutes, const std::string& aService, bool aIsLogged);
  bool WaitForCurrent(int aRoutes, const std::string& aService, double aMs);
  bool WaitForOwner();

  Record mRecord;
  std::string mFolder;
  std::string mPrefix;
  Store mStore;
  std::vector<std::unique_ptr<Runner>> mRunners;
  std::vector<std::unique_ptr<Machine>> mMachines;
  int mRequests = 0;
};

Case::Count
Case::CountMachines(int aRoutes, const std::string& aService, bool aIsLogged)
{
  Count count;
  for (const auto& it : mMachines) {
    const auto ask = [&](const std::string& aPath) {
      const std::string id = "q" + std::to_string(++mRequests);
      return Call(it->Host(),
                  it->Port(),
                  "GET",
                  aPath,
                  { { "Host", "h.example" },
                    { "X-Request-Id", id },
                    { "X-Deadline-Ms", "1500" } },
                  "",
                  1500);
    };
    const std::string added = "/r" + std::to_string(aRoutes) + "/1";
    const Reply route = ask(added);
    const Reply moved = ask("/moved/1");
    const bool isCurrent =
      route.mStatus == 200 && moved.mStatus == 200 &&
      moved.mBody.compare(0, aService.size(), aService) == 0;
    const bool isOutdated =
      route.mStatus == 404 ||
      (moved.mStatus == 200 &&
       moved.mBody.compare(0, aService.size(), aService) != 0);
    count.mCurrent += isCurrent ? 1 : 0;
    count.mOutdated += isOutdated ? 1 : 0;
    if (aIsLogged) {
      mRecord.Line(it->Name() + ": GET " + added + " -> " +
                   std::to_string(route.mStatus) + ", GET /moved/1 -> " +
                   std::to_string(moved.mStatus) + " \"" + moved.mBody + "\"" +
                   (isOutdated ? "   <- as only an older version allows" : ""));
    }
  }
  return count;
}

bool
Case::WaitForCurrent(int aRoutes, const std::string& aService, double aMs)
{
  const double end = NowMs() + aMs;
  while (NowMs() < end) {
    if (CountMachines(aRoutes, aService, false).mCurrent == kMachines) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

bool
Case::WaitForOwner()
{
  const double end = NowMs() + 20000;
  while (NowMs() < end) {
    int owners = 0;
    int followers = 0;
    for (const auto& it : mMachines) {
      owners += it->Metric("bulrushfold_placement_owner") == 1 ? 1 : 0;
      followers += it->Metric("bulrushfold_store_watched") == 0 ? 1 : 0;
    }
    if (owners == 1 && followers == kMachines - 1) {
      return true;
    }
    SleepMs(200);
  }
  return false;
}

int
Case::Run()
{
  const bool hasTrouble = HasTrouble();
  mRecord.Line(hasTrouble ? "with the drill" : "without the drill");
  WriteConfig(2, 1, "old");
  for (const std::string service : { "old", "new" }) {
    for (int i = 0; i < 2; ++i) {
      mRunners.push_back(
        std::make_unique<Runner>(mStore,
                                 mRecord,
                                 mPrefix + "2",
                                 "i-" + service + std::to_string(i),
                                 service,
                                 "passau",
                                 ""));
    }
  }
  for (int i = 0; i < kMachines; ++i) {
    mMachines.push_back(
      std::make_unique<Machine>(mRecord,
                                "front-passau-" + std::to_string(10 + i),
                                "passau",
                                mPrefix + std::to_string(10 + i),
                                mStore.Address(),
                                mFolder));
    mMachines.back()->Start();
  }
  if (!WaitForCurrent(1, "old", 15000) || !WaitForOwner()) {
    mRecord.Line("the fleet did not come up");
    return 2;
  }
  mRecord.Line("all machines serve; one places for the fleet");
  SleepMs(1000);

  const Store::Content copy = mStore.Copy();
  const double copiedAt = NowMs();
  mRecord.Line("the copy for the drill has revision " +
               std::to_string(copy.mRevision));
  WriteConfig(5, 2, "old");
  SleepMs(500);
  WriteConfig(6, 3, "old");
  if (!WaitForCurrent(3, "old", kConfigApplyMs)) {
    mRecord.Line("version 6 is not in force everywhere");
    return 2;
  }
  mRecord.Line("version 6 is in force on all machines");
  SleepMs(500);
  if (hasTrouble) {
    mRecord.Line("drill: the store goes away at revision " +
                 std::to_string(mStore.Revision()));
    mStore.GoAway();
    SleepMs(1500);
    mStore.ComeBackFrom(copy);
    mRecord.Line("drill: the store is back, from a copy that is " +
                 std::to_string((NowMs() - copiedAt) / 1000) + " s old");
    WriteConfig(6, 3, "old");
  }
  WriteConfig(9, 4, "new");
  const double acknowledgedAt = NowMs();
  // The store is stable again contactMs after its return; until then the bound
  // is stretched.
  SleepMs(kContactMs + kConfigApplyMs + kMaxStretchMs);
  const Count count = CountMachines(4, "new", true);
  mRecord.Line(
    std::to_string(count.mCurrent) + " of " + std::to_string(kMachines) +
    " machines handle requests by version 9, " +
    std::to_string(count.mOutdated) + " by an older one, " +
    std::to_string((NowMs() - acknowledgedAt) / 1000) + " s after its ack");
  SleepMs(15000);
  const Count later = CountMachines(4, "new", false);
  mRecord.Line(std::to_string(later.mCurrent) + " and " +
               std::to_string(later.mOutdated) + " 15 s later");
  const bool hasCrashed =
    std::any_of(mMachines.begin(), mMachines.end(), [](const auto& aIt) {
      return aIt->HasCrashed();
    });
  if (hasCrashed) {
    mRecord.Line("a process ended by itself");
    return 2;
  }
  const bool isBroken = count.mOutdated > 0 && later.mOutdated > 0;
  mRecord.Line(isBroken ? "CONFIG is broken" : "CONFIG holds");
  return isBroken ? 1 : 0;
}

} // namespace

int
main()
{
  int result = 2;
  {
    Case test;
    result = test.Run();
  }
  return result;
}
