// Measures the processor time of a decision of the stream scheduler, by the
// number of decode engines and of runs at each. Prints one line for each case;
// the baseline is the first one.
#include <chrono>
#include <cstdint>
#include <deque>
#include <iostream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "Routing/StreamScheduler.h"

namespace {
using namespace bulrushfold;

struct PoolSize
{
  std::size_t mEngines = 0;
  std::size_t mRunsPerEngine = 0;
};

/** A pool whose engines keep about the same number of runs. */
class BusyPool
{
public:
  BusyPool(PoolSize aSize, std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (std::size_t i = 0; i < aSize.mEngines; ++i) {
      AddEngine("d" + std::to_string(i), EndpointRole::Decode);
    }
    for (std::size_t i = 0; i < aSize.mEngines / 2 + 1; ++i) {
      AddEngine("p" + std::to_string(i), EndpointRole::Prefill);
    }
    for (std::size_t i = 0; i < aSize.mEngines * aSize.mRunsPerEngine; ++i) {
      Place();
    }
  }
  /** Places one stream, and ends the oldest. */
  void Replace()
  {
    mNow += std::chrono::milliseconds(1);
    Place();
    mScheduler.OnDecodeEnded(mRunning.front(), mNow);
    mRunning.pop_front();
  }
  std::chrono::nanoseconds Spent() const { return mSpent; }
  void Reset() { mSpent = {}; }

private:
  void AddEngine(const std::string& aId, EndpointRole aRole)
  {
    EndpointRecord record;
    record.mId = aId;
    record.mService = "s";
    record.mRole = aRole;
    record.mSlots = 1000;
    mDirectory.Put(record, 1, mNow);
  }
  void Place()
  {
    StreamDemand demand;
    demand.mNumber = ++mNumber;
    demand.mService = "s";
    demand.mProfile.mMemoryTokens = 10'000'000;
    demand.mPromptTokens = 2500 + mRandom.UniformBelow(5000);
    demand.mAnswerTokens = 400 + mRandom.UniformBelow(200);
    demand.mMaxAnswerTokens = 5000;
    demand.mFirstEventDeadline = mNow + std::chrono::seconds(1);
    demand.mQueueDeadline = mNow + std::chrono::seconds(3);
    const auto start = std::chrono::steady_clock::now();
    mScheduler.Submit(std::move(demand));
    const auto placements = mScheduler.Dispatch(mNow);
    mSpent += std::chrono::steady_clock::now() - start;
    for (const auto& it : placements) {
      mScheduler.OnPrefillEnded(it.mNumber, std::chrono::milliseconds(90));
      mScheduler.OnDecodeStarted(it.mNumber, mNow);
      mRunning.push_back(it.mNumber);
    }
  }

  Instant mNow{ std::chrono::seconds(1000) };
  Random mRandom;
  EndpointDirectory mDirectory{ std::chrono::seconds(2) };
  EndpointLoads mLoads;
  StreamRuns mRuns;
  CachedPrompts mCachedPrompts{ mRuns };
  LocalPrefillTurns mTurns{ mLoads, "front-1" };
  EndpointHealth mHealth{ mRandom };
  StreamScheduler mScheduler{ mDirectory, mLoads,  mRuns, mCachedPrompts,
                              mTurns,     mHealth, "x",   mRandom,
                              mNow };
  std::deque<std::uint64_t> mRunning;
  std::uint64_t mNumber = 0;
  std::chrono::nanoseconds mSpent{};
};

double
DecisionMicroseconds(PoolSize aSize, std::uint64_t aSeed)
{
  constexpr int kDecisions = 2000;
  BusyPool pool(aSize, aSeed);
  pool.Reset();
  for (int i = 0; i < kDecisions; ++i) {
    pool.Replace();
  }
  return std::chrono::duration<double, std::micro>(pool.Spent()).count() /
         kDecisions;
}
} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app{ "Measures the processor time of a decision on a stream" };
  std::uint64_t seed = 1;
  app.add_option("--seed", seed, "Seed of the prompts and answers");
  CLI11_PARSE(app, aCount, aArguments);
  const std::vector<PoolSize> sizes{
    { 12, 12 }, { 90, 64 }, { 10, 12 }, { 100, 12 }, { 1000, 12 }
  };
  double baseline = 0;
  for (const auto& it : sizes) {
    const double time = DecisionMicroseconds(it, seed);
    baseline = baseline == 0 ? time : baseline;
    std::cout << "bench=placement case=" << it.mEngines << "x"
              << it.mRunsPerEngine << " metric=decision value=" << time
              << " baseline=" << baseline << " ratio=" << time / baseline
              << " unit=us\n";
  }
  return 0;
}
