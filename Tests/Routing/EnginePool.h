#ifndef BULRUSHFOLD_TESTS_ROUTING_ENGINEPOOL_H
#define BULRUSHFOLD_TESTS_ROUTING_ENGINEPOOL_H

#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "Routing/StreamScheduler.h"

namespace bulrushfold {

/** Memory of an engine, in tokens. */
inline constexpr std::uint64_t kMemory = 100'000;

/** A scheduler with two prefill and two decode engines. */
struct EnginePool
{
  EnginePool()
  {
    Add("p1", EndpointRole::Prefill, "x");
    Add("p2", EndpointRole::Prefill, "y");
    Add("d1", EndpointRole::Decode, "x");
    Add("d2", EndpointRole::Decode, "y");
  }

  EndpointRecord Record(const std::string& aId,
                        EndpointRole aRole,
                        const std::string& aDomain) const
  {
    EndpointRecord record;
    record.mId = aId;
    record.mService = "s";
    record.mRole = aRole;
    record.mSlots = 64;
    record.mFailureDomain = aDomain;
    return record;
  }
  void Add(const std::string& aId, EndpointRole aRole, const std::string& aIn)
  {
    mDirectory.Put(Record(aId, aRole, aIn), 1, mNow);
  }
  StreamDemand Demand(std::uint64_t aNumber,
                      std::uint64_t aPrompt,
                      std::uint64_t aAnswer,
                      Duration aTarget = std::chrono::milliseconds(900)) const
  {
    StreamDemand demand;
    demand.mNumber = aNumber;
    demand.mService = "s";
    demand.mProfile.mMemoryTokens = kMemory;
    demand.mProfile.mSlots = 64;
    demand.mPromptTokens = aPrompt;
    demand.mAnswerTokens = aAnswer;
    demand.mMaxAnswerTokens = 10'000;
    demand.mFirstEventDeadline = mNow + aTarget;
    demand.mQueueDeadline = mNow + std::chrono::seconds(3);
    return demand;
  }
  void Submit(std::uint64_t aNumber,
              std::uint64_t aPrompt,
              std::uint64_t aAnswer,
              Duration aTarget = std::chrono::milliseconds(900))
  {
    mScheduler.Submit(Demand(aNumber, aPrompt, aAnswer, aTarget));
  }
  std::vector<std::uint64_t> Place()
  {
    std::vector<std::uint64_t> numbers;
    for (const auto& it : mScheduler.Dispatch(mNow)) {
      numbers.push_back(it.mNumber);
      mPlacements[it.mNumber] = it;
    }
    return numbers;
  }
  /** Places a stream and lets its engine begin. */
  void Run(std::uint64_t aNumber, std::uint64_t aPrompt, std::uint64_t aAnswer)
  {
    Submit(aNumber, aPrompt, aAnswer);
    REQUIRE(Place() == std::vector{ aNumber });
    mScheduler.OnPrefillEnded(aNumber, std::chrono::milliseconds(100));
    mScheduler.OnDecodeStarted(aNumber, mNow);
  }

  Instant mNow{ std::chrono::seconds(1000) };
  Random mRandom{ 1 };
  EndpointDirectory mDirectory{ std::chrono::seconds(2) };
  EndpointLoads mLoads;
  StreamRuns mRuns;
  CachedPrompts mKept{ mRuns };
  LocalPrefillTurns mPrefillTurns{ mLoads, "daemon" };
  EndpointHealth mHealth{ mRandom };
  StreamScheduler mScheduler{
    mDirectory, mLoads,        mRuns,
    mKept,      mPrefillTurns, mHealth,
    "x",        mRandom,       Instant(std::chrono::seconds(0))
  };
  std::map<std::uint64_t, StreamPlacement> mPlacements;
};

} // namespace bulrushfold

#endif
