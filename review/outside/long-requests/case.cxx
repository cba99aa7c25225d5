// Many users send long requests at once, each within the limits of the config.
// Does the process stay within the memory of its machine? The program plays the
// platform: it kills a process that exceeds limits.memory_mb and starts it
// again.
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include "standins/platform.h"
#include "standins/runner.h"

using namespace review;

namespace {

constexpr std::size_t kMemory = kMemoryMb * 1024 * 1024;
/** Clients at each machine: zone ingolstadt has 22 clients and 2 machines. */
constexpr int kClients = 11;
constexpr int kBursts = 8;
/** max_body_bytes of the config is 4,194,304. */
constexpr std::size_t kLongBody = 4000 * 1000;
/** The largest request of the sheet. */
constexpr std::size_t kSheetBody = 55 * 1000;
/** Ends of one machine's process that break the rule, on two machines. */
constexpr int kMaxEnds = 3;
constexpr int kMachines = 2;

/** A machine that kills its process when it exceeds the memory. */
struct Machine
{
  std::unique_ptr<RouterProcess> mRouter;
  std::mutex mMutex;
  std::thread mWatch;
  std::atomic<int> mKills{ 0 };
  std::atomic<std::size_t> mPeak{ 0 };
};

} // namespace

int
main(int, char** aArguments)
{
  const char* trouble = std::getenv("TROUBLE");
  const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  const std::size_t size = hasTrouble ? kLongBody : kSheetBody;
  Record record(aArguments[1]);
  TemporaryFolder folder;
  Fleet fleet(record);
  Store store(LoopbackHost(0));
  store.Write(
    "config/main",
    MakeConfig(7, { { "rig", "unsafe", "app", 1, false, 800, 300 } }));
  RunnerOptions options;
  options.mService = "app";
  options.mSlots = 6;
  Runner r1(fleet, store, "i-r1", LoopbackHost(1), options);
  Runner r2(fleet, store, "i-r2", LoopbackHost(2), options);
  Runner r3(fleet, store, "i-r3", LoopbackHost(3), options);
  for (Runner* it : { &r1, &r2, &r3 }) {
    it->CheckIn();
  }
  std::vector<std::unique_ptr<Machine>> machines;
  std::atomic<bool> isOver{ false };
  for (int i = 0; i < kMachines; ++i) {
    auto machine = std::make_unique<Machine>();
    machine->mRouter =
      std::make_unique<RouterProcess>("front-" + std::to_string(i + 1),
                                      "ingolstadt",
                                      LoopbackHost(9 + i),
                                      store.Address(),
                                      folder.Path());
    machine->mRouter->Start();
    if (!machine->mRouter->WaitUntilReady(10000)) {
      record.Add("a router is not ready");
      return 2;
    }
    record.Add(machine->mRouter->Name() + " is ready with " +
               std::to_string(machine->mRouter->Memory() / 1000) + " kB");
    machine->mWatch = std::thread([&isOver, &record, raw = machine.get()] {
      while (!isOver) {
        const std::lock_guard<std::mutex> lock(raw->mMutex);
        const std::size_t memory = raw->mRouter->Memory();
        raw->mPeak = std::max<std::size_t>(raw->mPeak, memory);
        if (memory > kMemory) {
          raw->mRouter->Kill();
          ++raw->mKills;
          record.Add(raw->mRouter->Name() + " has " +
                     std::to_string(memory / 1000) + " kB, more than " +
                     std::to_string(kMemory / 1000) + ": killed");
          SleepMs(200);
          raw->mRouter->Start();
        }
        SleepMs(0.5);
      }
    });
    machines.push_back(std::move(machine));
  }
  std::map<std::string, int> answers;
  std::mutex mutex;
  for (int burst = 0; burst < kBursts; ++burst) {
    record.Add("burst " + std::to_string(burst) + ": " +
               std::to_string(kClients) + " clients send " +
               std::to_string(size) + " bytes to each machine");
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients * kMachines; ++i) {
      clients.emplace_back([&, burst, i] {
        ClientRequest request;
        request.mAddress =
          machines[static_cast<std::size_t>(i % kMachines)]->mRouter->Front();
        request.mPath = "/rig/book";
        request.mId = "rig-" + std::to_string(burst) + "-" + std::to_string(i);
        request.mDeadlineMs = 1500;
        request.mBody = std::string(size, 'b');
        const ClientResult result = Call(request);
        const std::lock_guard<std::mutex> lock(mutex);
        const std::string what =
          result.mStatus == 0 ? "no answer"
                              : std::to_string(result.mStatus) +
                                  (result.mIsComplete ? "" : ", incomplete");
        ++answers[what];
        record.Add(request.mId + ": " + what + ", " +
                   std::to_string(fleet.Runs(request.mId).size()) + " runs");
      });
    }
    for (auto& it : clients) {
      it.join();
    }
    for (auto& it : machines) {
      it->mRouter->WaitUntilReady(5000);
    }
    SleepMs(2000);
  }
  isOver = true;
  int badMachines = 0;
  for (auto& it : machines) {
    it->mWatch.join();
    badMachines += it->mKills >= kMaxEnds ? 1 : 0;
    record.Add(it->mRouter->Name() + ": killed " + std::to_string(it->mKills) +
               " times, largest memory seen " +
               std::to_string(it->mPeak / 1000) + " kB");
  }
  for (const auto& [what, count] : answers) {
    record.Add(std::to_string(count) + " x " + what);
  }
  return badMachines >= 2 ? 1 : 0;
}
