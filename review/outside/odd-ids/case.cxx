// The clients' request ids hold a letter that is not ASCII. Streams run at a
// runner that leaves, and are moved. Does the process survive?
#include <cstdlib>
#include <memory>
#include <thread>
#include <vector>

#include "standins/platform.h"
#include "standins/runner.h"

using namespace review;

namespace {
constexpr int kMachines = 2;
constexpr int kRounds = 5;
constexpr int kStreams = 10;
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
  const auto add = [&](const std::string& aStage) {
    RunnerOptions options;
    options.mService = "llm";
    options.mStage = aStage;
    const int number = static_cast<int>(runners.size());
    runners.push_back(
      std::make_unique<Runner>(fleet,
                               store,
                               "i-" + aStage + "-" + std::to_string(number),
                               LoopbackHost(1 + number),
                               options));
    runners.back()->CheckIn();
    return runners.back().get();
  };
  add("prefill");
  std::vector<Runner*> decoders{ add("decode"), add("decode"), add("decode") };
  std::vector<std::unique_ptr<RouterProcess>> routers;
  std::vector<int> ends(kMachines, 0);
  for (int i = 0; i < kMachines; ++i) {
    routers.push_back(
      std::make_unique<RouterProcess>("front-" + std::to_string(i + 1),
                                      "ingolstadt",
                                      LoopbackHost(40 + i),
                                      store.Address(),
                                      folder.Path()));
    routers.back()->Start();
  }
  int moves = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (const auto& it : routers) {
      if (!it->WaitUntilReady(10000)) {
        record.Add(it->Name() + " is not ready");
        return 2;
      }
    }
    std::vector<ClientResult> results(kStreams * kMachines);
    std::vector<std::string> ids(results.size());
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < results.size(); ++i) {
      // The letter e with an acute accent, in Latin-1.
      ids[i] = std::string("bohr-") + (hasTrouble ? "\xe9" : "e") + "-" +
               std::to_string(round) + "-" + std::to_string(i);
      clients.emplace_back([&, i] {
        ClientRequest request;
        request.mAddress = routers[i % kMachines]->Front();
        request.mId = ids[i];
        request.mPath = "/bohr/" + std::to_string(i);
        request.mTokens = "1000,9360";
        results[i] = Call(request);
      });
      SleepMs(20);
    }
    SleepMs(500);
    Runner* leaving = decoders[0];
    for (Runner* it : decoders) {
      leaving = it->ActiveRuns() > leaving->ActiveRuns() ? it : leaving;
    }
    record.Add("runs at the leaving runner: " +
               std::to_string(leaving->ActiveRuns()));
    leaving->SetState("draining");
    for (auto& it : clients) {
      it.join();
    }
    moves += leaving->MoveCalls();
    for (std::size_t i = 0; i < results.size(); ++i) {
      record.Add(ids[i] + ": status " + std::to_string(results[i].mStatus) +
                 (results[i].mIsComplete ? ", complete" : ", broken off"));
    }
    for (int i = 0; i < kMachines; ++i) {
      RouterProcess& router = *routers[static_cast<std::size_t>(i)];
      if (router.HasEnded()) {
        ++ends[static_cast<std::size_t>(i)];
        record.Add(router.Name() + " has ended by itself; it is started again");
        router.Start();
      }
    }
    // The runner exits, and an empty one comes.
    leaving->Exit();
    store.Remove("servers/" + leaving->Id());
    for (Runner*& it : decoders) {
      it = it == leaving ? add("decode") : it;
    }
  }
  int bad = 0;
  for (int i = 0; i < kMachines; ++i) {
    const int count = ends[static_cast<std::size_t>(i)];
    record.Add("front-" + std::to_string(i + 1) + " ended by itself " +
               std::to_string(count) + " times");
    bad += count >= 3 ? 1 : 0;
  }
  record.Add("moves: " + std::to_string(moves));
  if (moves == 0 && bad == 0) {
    return 2;
  }
  return bad >= 2 ? 1 : 0;
}
