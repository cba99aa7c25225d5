// A runner falls silent for a moment and goes on, while handles lapse at the
// prefill runners. Are its streams kept?
#include <cstdlib>
#include <memory>
#include <thread>
#include <vector>

#include "standins/platform.h"
#include "standins/runner.h"

using namespace review;

namespace {
constexpr int kRounds = 2;
constexpr int kStreams = 64;
/** budget_window_s and a second. */
constexpr double kWindowMs = 11000;
constexpr double kSilenceMs = 1500;
constexpr double kLapseMs = 4300;
/** Closed channels that the rule allows. */
constexpr int kAllowed = 3;

std::string
Id(int aRound, std::size_t aNumber)
{
  return "bohr-" + std::to_string(aRound) + "-" + std::to_string(aNumber);
}
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
              MakeConfig(7,
                         { { "bohr", "streaming", "llm", 2, true },
                           { "stand", "safe", "app", 2, false, 800, 300 } }));
  std::vector<std::unique_ptr<Runner>> runners;
  const auto add = [&](const std::string& aService, const std::string& aStage) {
    RunnerOptions options;
    options.mService = aService;
    options.mStage = aStage;
    const int number = static_cast<int>(runners.size());
    runners.push_back(std::make_unique<Runner>(fleet,
                                               store,
                                               "i-" + std::to_string(number),
                                               LoopbackHost(1 + number),
                                               options));
    runners.back()->CheckIn();
    return runners.back().get();
  };
  add("app", "");
  const std::vector<Runner*> prefills{ add("llm", "prefill"),
                                       add("llm", "prefill") };
  std::vector<Runner*> decoders;
  for (int i = 0; i < 4; ++i) {
    decoders.push_back(add("llm", "decode"));
  }
  RouterProcess router(
    "front-1", "ingolstadt", LoopbackHost(40), store.Address(), folder.Path());
  router.Start();
  if (!router.WaitUntilReady(10000)) {
    record.Add("the router is not ready");
    return 2;
  }
  int lost = 0;
  int whole = 0;
  for (int round = 0; round < kRounds; ++round) {
    // The budget of retries is halved in the first window of a process, and
    // what was used counts for a window.
    SleepMs(kWindowMs);
    std::vector<ClientResult> results(kStreams);
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < kStreams; ++i) {
      clients.emplace_back([&, round, i] {
        // The channel is kept: it has served a lookup before.
        const auto channel = Channel::Connect(router.Front(), 1000);
        if (!channel) {
          return;
        }
        ClientRequest request;
        request.mMethod = "GET";
        request.mId = "stand-" + Id(round, i);
        request.mPath = "/stand/" + Id(round, i);
        request.mDeadlineMs = 1500;
        CallOn(*channel, request);
        request = ClientRequest();
        request.mId = Id(round, i);
        request.mPath = "/bohr/" + Id(round, i);
        request.mTokens = "300,5040";
        results[i] = CallOn(*channel, request);
      });
      SleepMs(25);
    }
    SleepMs(400);
    Runner* silent = decoders[0];
    for (Runner* it : decoders) {
      silent = it->ActiveRuns() > silent->ActiveRuns() ? it : silent;
    }
    record.Add(silent->Id() + " falls silent with " +
               std::to_string(silent->ActiveRuns()) + " runs");
    silent->FallSilent(kSilenceMs);
    if (hasTrouble) {
      // The router waits for 1.2 s before it prepares another run.
      record.Add("handles lapse at once at the prefill runners for 4.3 s");
      for (Runner* it : prefills) {
        it->SetHandlesLapse(true);
      }
      SleepMs(kLapseMs);
      for (Runner* it : prefills) {
        it->SetHandlesLapse(false);
      }
    }
    for (auto& it : clients) {
      it.join();
    }
    for (std::size_t i = 0; i < results.size(); ++i) {
      const std::string id = Id(round, i);
      const ClientResult& result = results[i];
      const auto runs = fleet.Runs(id);
      const bool isLost =
        !result.mIsComplete && !runs.empty() && runs.front() == silent->Id();
      record.Add(id + ": status " + std::to_string(result.mStatus) +
                 (result.mIsComplete ? ", complete, " : ", broken off, ") +
                 std::to_string(EventNumbers(id, result.mBody).size()) +
                 " events, run by " + (runs.empty() ? "nobody" : runs.front()) +
                 (isLost ? ": LOST" : ""));
      lost += isLost ? 1 : 0;
      whole += result.mIsComplete && result.mStatus == 200 ? 1 : 0;
    }
  }
  record.Add("whole: " + std::to_string(whole) +
             ", closed without a whole answer at the silent runner: " +
             std::to_string(lost));
  return lost > kAllowed ? 1 : 0;
}
