// The store comes back from a copy while machines are rolled: the next holder
// sends orders to a runner with a fence number that another one has used, or a
// lower one.
#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standins-2/fleet.h"

using namespace standins;
using Json = nlohmann::json;

namespace {

constexpr int kMachines = 3;
/** Time between the stops of two machines, as the site has it. */
constexpr double kRollGapMs = 1000;
/** Time from the first stop to the load that needs an order. */
constexpr double kLoadDelayMs = 1500;
/** Streams that the clients keep open at the same time. */
constexpr int kClients = 6;
/** The copy is some seconds old. */
constexpr double kMaxCopyAgeMs = 6000;
constexpr double kAwayMs = 1000;

Json
MakeRoute(const std::string& aName)
{
  return { { "name", aName },
           { "host", "h.example" },
           { "path_prefix", "/" + aName + "/" },
           { "kind", "streaming" },
           { "timeout_ms", 14000 },
           { "target_latency_ms", 900 },
           { "priority", 1 },
           { "service", "llm" },
           { "max_attempts", 2 },
           { "sticky_sessions", true },
           { "resumable", true },
           { "gap_aim_ms", 300 } };
}

Json
MakeConfig()
{
  return { { "version", 2 },
           { "routes", { MakeRoute("answers"), MakeRoute("prompts") } },
           { "services",
             { { { "name", "llm" },
                 { "max_connections", 360 },
                 { "engine",
                   { { "slots", 64 },
                     { "kv_capacity_tokens", 107085 },
                     { "handle_ttl_s", 1 } } } } } } };
}

/** What the clients ask for. */
struct Load
{
  std::string mRoute;
  int mPromptTokens;
  /** Events of an answer, and the time between them. */
  int mEvents;
  double mIntervalMs;
};
// The site's prompts have 11,300 tokens at most, its answers 70 on average.
const Load kLongAnswers{ "answers", 1000, 70, 50 };
const Load kLongPrompts{ "prompts", 5000, 10, 20 };

class Case
{
public:
  Case()
    : mRecord("review/7/record.txt")
    , mFolder(MakeFolder())
    , mPrefix(PickPrefix())
    , mStore(mPrefix + "1")
  {
    mStore.mOnSystemWrite = [this](const std::string& aNote) {
      mRecord.Line("system: " + aNote);
    };
  }
  ~Case()
  {
    mIsEnding = true;
    for (auto& it : mClients) {
      it.join();
    }
    mMachines.clear();
    mRunners.clear();
    RemoveFolder(mFolder);
  }

  int Run();

private:
  void AddRunner(const std::string& aId,
                 const std::string& aZone,
                 const std::string& aStage)
  {
    mRunners.push_back(std::make_unique<Runner>(
      mStore, mRecord, mPrefix + "2", aId, "llm", aZone, aStage));
  }
  void RunClient(int aNumber);
  void StartLoad(const Load& aLoad, int aMachine);
  bool WaitForReady();
  /** Waits until some runner has more than aCount orders. */
  bool WaitForOrders(std::size_t aCount, double aMs);
  std::size_t OrderCount();
  /** True if some runner has got two orders. */
  bool HasPair();
  /** True if orders to one runner break the rule. */
  bool Judge();

  Record mRecord;
  std::string mFolder;
  std::string mPrefix;
  Store mStore;
  std::vector<std::unique_ptr<Runner>> mRunners;
  std::vector<std::unique_ptr<Machine>> mMachines;
  std::vector<std::thread> mClients;
  std::atomic<const Load*> mLoad{ nullptr };
  std::atomic<int> mMachine{ 0 };
  std::atomic<bool> mIsEnding{ false };
  std::atomic<int> mServed{ 0 };
  std::atomic<int> mNotServed{ 0 };
};

void
Case::RunClient(int aNumber)
{
  int count = 0;
  while (!mIsEnding) {
    const Load* load = mLoad;
    if (load == nullptr) {
      SleepMs(20);
      continue;
    }
    const std::string id =
      "c" + std::to_string(aNumber) + "n" + std::to_string(++count);
    const Machine& machine = *mMachines[static_cast<std::size_t>(mMachine)];
    const std::string tokens = std::to_string(load->mPromptTokens);
    const Reply reply = Call(machine.Host(),
                             machine.Port(),
                             "POST",
                             "/" + load->mRoute + "/1",
                             { { "Host", "h.example" },
                               { "X-Request-Id", id },
                               { "X-Model-Id", "m" },
                               { "X-Token-Count", tokens + ",80" },
                               { "X-Prompt-Prefix", id + ":" + tokens },
                               { "X-Deadline-Ms", "14000" } },
                             "",
                             14000);
    ++(reply.mStatus == 200 ? mServed : mNotServed);
    if (reply.mStatus != 200) {
      SleepMs(300);
    }
  }
}

void
Case::StartLoad(const Load& aLoad, int aMachine)
{
  for (const auto& it : mRunners) {
    it->SetEvents(aLoad.mEvents, aLoad.mIntervalMs);
  }
  mMachine = aMachine;
  mLoad = &aLoad;
  mRecord.Line(std::to_string(kClients) + " clients send streams of " +
               std::to_string(aLoad.mPromptTokens) + " prompt tokens to " +
               mMachines[static_cast<std::size_t>(aMachine)]->Name());
}

bool
Case::WaitForReady()
{
  const double end = NowMs() + 10000;
  while (NowMs() < end) {
    if (std::all_of(mMachines.begin(), mMachines.end(), [](const auto& aIt) {
          return aIt->IsReady();
        })) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

std::size_t
Case::OrderCount()
{
  std::size_t count = 0;
  for (const auto& it : mRunners) {
    count += it->Orders().size();
  }
  return count;
}

bool
Case::HasPair()
{
  return std::any_of(mRunners.begin(), mRunners.end(), [](const auto& aIt) {
    return aIt->Orders().size() > 1;
  });
}

bool
Case::WaitForOrders(std::size_t aCount, double aMs)
{
  const double end = NowMs() + aMs;
  while (NowMs() < end && OrderCount() <= aCount) {
    SleepMs(10);
  }
  return OrderCount() > aCount;
}

bool
Case::Judge()
{
  bool isBroken = false;
  for (const auto& it : mRunners) {
    const auto orders = it->Orders();
    for (std::size_t i = 0; i < orders.size(); ++i) {
      for (std::size_t j = i + 1; j < orders.size(); ++j) {
        const Order& first = orders[i];
        const Order& second = orders[j];
        const bool isOther = first.mHolder != second.mHolder;
        const std::string pair = "runner " + it->Id() + ": " + first.mHolder +
                                 " with fence " + std::to_string(first.mFence) +
                                 ", then " + second.mHolder + " with fence " +
                                 std::to_string(second.mFence);
        if (second.mFence < first.mFence) {
          mRecord.Line(pair + ": a lower fence number after a higher one");
          isBroken = true;
        } else if (isOther && second.mFence == first.mFence) {
          mRecord.Line(pair + ": two holders with one fence number");
          isBroken = true;
        } else {
          mRecord.Line(pair);
        }
      }
    }
  }
  return isBroken;
}

int
Case::Run()
{
  const bool hasTrouble = HasTrouble();
  mRecord.Line(hasTrouble ? "with the drill" : "without the drill");
  mStore.Write("config/main", MakeConfig());
  AddRunner("i-a", "passau", "prefill");
  AddRunner("i-b", "passau", "prefill");
  AddRunner("i-c", "ingolstadt", "decode");
  for (int i = 0; i < kMachines; ++i) {
    mMachines.push_back(
      std::make_unique<Machine>(mRecord,
                                "front-ingolstadt-" + std::to_string(1 + i),
                                "ingolstadt",
                                mPrefix + std::to_string(10 + i),
                                mStore.Address(),
                                mFolder));
    mMachines.back()->Start();
  }
  if (!WaitForReady()) {
    mRecord.Line("the machines did not come up");
    return 2;
  }
  for (int i = 0; i < kClients; ++i) {
    mClients.emplace_back([this, i] { RunClient(i); });
  }
  SleepMs(5000);

  // Planned work: all machines but the first are stopped and started in turn.
  Store::Content copy = mStore.Copy();
  double copiedAt = NowMs();
  const std::uint64_t before = mStore.Revision();
  const double begin = NowMs();
  std::vector<Machine*> toStop;
  std::vector<Machine*> stopping;
  for (int i = kMachines - 1; i > 0; --i) {
    toStop.push_back(mMachines[static_cast<std::size_t>(i)].get());
  }
  double nextStop = begin;
  bool hasLoad = false;
  while (!toStop.empty() || !stopping.empty()) {
    if (!toStop.empty() && NowMs() >= nextStop) {
      toStop.back()->BeginStop();
      stopping.push_back(toStop.back());
      toStop.pop_back();
      nextStop += kRollGapMs;
    }
    for (auto it = stopping.begin(); it != stopping.end();) {
      if ((*it)->HasStopped()) {
        (*it)->Start();
        it = stopping.erase(it);
      } else {
        ++it;
      }
    }
    if (!hasLoad && NowMs() >= begin + kLoadDelayMs) {
      hasLoad = true;
      StartLoad(kLongAnswers, 0);
    }
    if (mStore.Revision() == before) {
      copy = mStore.Copy();
      copiedAt = NowMs();
    }
    SleepMs(10);
  }
  mRecord.Line("the copy for the drill has revision " +
               std::to_string(copy.mRevision));
  if (!WaitForOrders(0, 15000) || !WaitForReady()) {
    mRecord.Line("no order was sent");
    return 2;
  }
  SleepMs(500);
  if (hasTrouble) {
    mRecord.Line("drill: the store goes away at revision " +
                 std::to_string(mStore.Revision()));
    mStore.GoAway();
    SleepMs(kAwayMs);
    const double age = NowMs() - copiedAt;
    mStore.ComeBackFrom(copy);
    mRecord.Line("drill: the store is back, from a copy that is " +
                 std::to_string(age / 1000) + " s old");
    if (age > kMaxCopyAgeMs) {
      mRecord.Line("the copy is too old");
      return 2;
    }
    mStore.Write("config/main", MakeConfig());
  }
  SleepMs(3000);

  // The first machine leaves; another one gives the orders from now on.
  mMachines[0]->BeginStop();
  StartLoad(kLongPrompts, 1);
  const std::size_t known = OrderCount();
  const bool hasOrder = WaitForOrders(known, 40000);
  // The order may have gone to a runner that had none before.
  for (std::size_t count = OrderCount(); hasOrder && !HasPair();) {
    if (!WaitForOrders(count, 20000)) {
      break;
    }
    count = OrderCount();
  }
  mLoad = nullptr;
  while (!mMachines[0]->HasStopped()) {
    SleepMs(10);
  }
  mRecord.Line(std::to_string(mServed) + " streams were served, " +
               std::to_string(mNotServed) + " were not");
  if (!HasPair()) {
    mRecord.Line("no runner got a second order");
    return 2;
  }
  const bool isBroken = Judge();
  mRecord.Line(isBroken ? "ONE is broken" : "ONE holds");
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
