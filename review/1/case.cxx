// A stream that may not be resumed is moved from a leaving runner, and its
// handle lapses: does the request run a second time?
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <thread>
#include <vector>

#include "standins/platform.h"
#include "standins/runner.h"

using namespace review;

int
main(int, char** aArguments)
{
  const char* trouble = std::getenv("TROUBLE");
  const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  const char* variant = std::getenv("VARIANT");
  const bool isFreeze = variant != nullptr && std::string(variant) == "freeze";
  Record record(aArguments[1]);
  TemporaryFolder folder;
  Fleet fleet(record);
  Store store(LoopbackHost(0));
  store.Write("config/main",
              MakeConfig(7, { { "dossier", "streaming", "llm", 1, false } }));
  RunnerOptions engine;
  engine.mService = "llm";
  engine.mStage = "prefill";
  Runner p1(fleet, store, "i-p1", LoopbackHost(1), engine);
  engine.mStage = "decode";
  Runner d1(fleet, store, "i-d1", LoopbackHost(2), engine);
  Runner d2(fleet, store, "i-d2", LoopbackHost(3), engine);
  Runner d3(fleet, store, "i-d3", LoopbackHost(4), engine);
  std::vector<Runner*> decoders{ &d1, &d2, &d3 };
  for (Runner* it : { &p1, &d1, &d2, &d3 }) {
    it->CheckIn();
  }
  RouterProcess router(
    "front-1", "ingolstadt", LoopbackHost(9), store.Address(), folder.Path());
  router.Start();
  if (!router.WaitUntilReady(10000)) {
    record.Add("the router is not ready");
    return 2;
  }
  constexpr int kStreams = 12;
  std::vector<ClientResult> results(kStreams);
  std::vector<std::thread> clients;
  for (int i = 0; i < kStreams; ++i) {
    clients.emplace_back([&, i] {
      ClientRequest request;
      request.mAddress = router.Front();
      request.mId = "dossier-" + std::to_string(i);
      request.mPath = "/dossier/" + std::to_string(i);
      request.mTokens = "5000,9360";
      record.Add("client sends " + request.mId);
      results[static_cast<std::size_t>(i)] = Call(request);
    });
    SleepMs(30);
  }
  SleepMs(700);
  Runner* leaving = decoders[0];
  for (Runner* it : decoders) {
    leaving = it->ActiveRuns() > leaving->ActiveRuns() ? it : leaving;
  }
  record.Add("runs at the leaving runner: " +
             std::to_string(leaving->ActiveRuns()));
  std::atomic<bool> mustFreeze{ hasTrouble && isFreeze };
  std::thread freeze;
  std::thread lapse;
  if (hasTrouble && isFreeze) {
    leaving->OnMoveCall([&] {
      if (mustFreeze.exchange(false)) {
        record.Add("the machine of front-1 freezes");
        router.Signal(SIGSTOP);
        freeze = std::thread([&] {
          SleepMs(3500);
          record.Add("the machine of front-1 wakes");
          router.Signal(SIGCONT);
        });
      }
    });
  } else if (hasTrouble) {
    record.Add("handles lapse at once at " + leaving->Id() + " for 4.3 s");
    leaving->SetHandlesLapse(true);
    lapse = std::thread([&] {
      SleepMs(4300);
      leaving->SetHandlesLapse(false);
    });
  }
  leaving->SetState("draining");
  for (auto& it : clients) {
    it.join();
  }
  for (std::thread* it : { &freeze, &lapse }) {
    if (it->joinable()) {
      it->join();
    }
  }
  int twice = 0;
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "dossier-" + std::to_string(i);
    const ClientResult& result = results[static_cast<std::size_t>(i)];
    const auto runs = fleet.Runs(id);
    const auto numbers = EventNumbers(id, result.mBody);
    record.Add(id + ": status " + std::to_string(result.mStatus) +
               (result.mIsComplete ? ", complete, " : ", broken off, ") +
               std::to_string(numbers.size()) + " events, " +
               std::to_string(runs.size()) + " runs");
    twice += runs.size() > 1 ? 1 : 0;
  }
  SleepMs(500);
  record.Add("moves: " + std::to_string(leaving->MoveCalls()) +
             ", requests that ran more than once: " + std::to_string(twice));
  if (leaving->MoveCalls() == 0) {
    return 2;
  }
  return twice > 0 ? 1 : 0;
}
