// Some streams have no length and end with their channel. Two runners leave,
// and their runs are moved, which closes the streams without their ends. Does a
// client get a part of its stream that looks complete?
#include <algorithm>
#include <cstdlib>
#include <memory>
#include <thread>
#include <vector>

#include "standins/platform.h"
#include "standins/runner.h"

using namespace review;

namespace {
constexpr int kEvents = 100;
constexpr int kStreams = 50;
constexpr std::size_t kMinStreams = 30;
constexpr double kArrivalMs = 83;
/** 1 / 0.05, the share of the answers. */
constexpr int kUnframedEvery = 20;
/** A run is moved while the router expects it to go on for some time. */
constexpr double kMovedAgeMs = 2000;
} // namespace

int
main(int, char** aArguments)
{
  const char* trouble = std::getenv("TROUBLE");
  const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  Record record(aArguments[1]);
  TemporaryFolder folder;
  Fleet fleet(record);
  Store store(LoopbackHost(0));
  store.Write("config/main",
              MakeConfig(7, { { "bohr", "streaming", "llm", 2, true } }));
  std::vector<std::unique_ptr<Runner>> runners;
  const auto add = [&](const std::string& aId, const std::string& aStage) {
    RunnerOptions options;
    options.mService = "llm";
    options.mStage = aStage;
    options.mEvents = kEvents;
    runners.push_back(std::make_unique<Runner>(
      fleet,
      store,
      aId,
      LoopbackHost(1 + static_cast<int>(runners.size())),
      options));
    runners.back()->CheckIn();
  };
  add("i-p1", "prefill");
  add("i-p2", "prefill");
  for (int i = 1; i <= 6; ++i) {
    add("i-d" + std::to_string(i), "decode");
  }
  const std::vector<Runner*> spoilt{
    runners[2].get(), runners[3].get(), runners[4].get(), runners[5].get()
  };
  RouterProcess router(
    "front-1", "ingolstadt", LoopbackHost(20), store.Address(), folder.Path());
  router.Start();
  if (!router.WaitUntilReady(10000)) {
    record.Add("the router is not ready");
    return 2;
  }
  for (Runner* it : spoilt) {
    it->SetUnframedEvery(hasTrouble ? kUnframedEvery : 0);
  }
  std::vector<ClientResult> results(kStreams);
  std::vector<std::thread> clients;
  std::vector<Runner*> leaving = spoilt;
  const auto byUnframed = [](Runner* aLeft, Runner* aRight) {
    return aLeft->UnframedRuns(kMovedAgeMs) > aRight->UnframedRuns(kMovedAgeMs);
  };
  for (int i = 0; i < kStreams; ++i) {
    // The runners leave while such a stream is in progress.
    std::sort(leaving.begin(), leaving.end(), byUnframed);
    if (clients.size() >= kMinStreams &&
        leaving[0]->UnframedRuns(kMovedAgeMs) > 0) {
      break;
    }
    clients.emplace_back([&, i] {
      ClientRequest request;
      request.mAddress = router.Front();
      request.mId = "bohr-" + std::to_string(i);
      request.mPath = "/bohr/" + std::to_string(i);
      request.mTokens = "1000,9360";
      results[static_cast<std::size_t>(i)] = Call(request);
    });
    SleepMs(kArrivalMs);
  }
  // Two of the eight runners leave.
  leaving.resize(2);
  for (Runner* it : leaving) {
    record.Add("unframed streams at " + it->Id() + ": " +
               std::to_string(it->UnframedRuns(kMovedAgeMs)));
    it->SetState("draining");
  }
  SleepMs(300);
  for (Runner* it : spoilt) {
    it->SetUnframedEvery(0);
  }
  for (auto& it : clients) {
    it.join();
  }
  int broken = 0;
  for (std::size_t i = 0; i < clients.size(); ++i) {
    const std::string id = "bohr-" + std::to_string(i);
    const ClientResult& result = results[i];
    const auto numbers = EventNumbers(id, result.mBody);
    bool isInOrder = true;
    for (std::size_t k = 0; k < numbers.size(); ++k) {
      isInOrder = isInOrder && numbers[k] == static_cast<int>(k) + 1;
    }
    const bool isShort =
      result.mStatus == 200 && result.mIsComplete && numbers.size() != kEvents;
    record.Add(id + ": status " + std::to_string(result.mStatus) +
               (result.mIsComplete ? ", looks complete, " : ", broken off, ") +
               std::to_string(numbers.size()) + " of " +
               std::to_string(kEvents) + " events" +
               (isInOrder ? "" : ", not in order"));
    broken += isShort || !isInOrder ? 1 : 0;
  }
  const int moves = leaving[0]->MoveCalls() + leaving[1]->MoveCalls();
  record.Add(
    "moves: " + std::to_string(moves) +
    ", streams that looked complete too early: " + std::to_string(broken));
  if (moves == 0) {
    return 2;
  }
  return broken > 0 ? 1 : 0;
}
