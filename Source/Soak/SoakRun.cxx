#include "Soak/SoakRun.h"

#include <ostream>

#include "Soak/Scenarios.h"

namespace bulrushfold {

namespace {

// Real time is read once in so many steps.
constexpr std::uint64_t kStepsPerTimeCheck = 1024;
// Later events of a broken run add nothing.
constexpr std::uint64_t kMaxViolations = 20;

/** Everything that a run consists of. */
struct SoakWorld
{
  SoakWorld(const SoakOptions& aOptions, std::ostream& aOut)
    : mEvents(mClock)
    , mRandom(aOptions.mSeed)
    , mFaults(mClock)
    , mJournal(mClock, aOut, aOptions.mSeed)
    , mContext{ mClock, mEvents, mRandom, mFaults, mJournal, aOptions.mDefect }
    , mScenarios(MakeScenarios(mContext))
  {
  }

  ManualClock mClock;
  VirtualTimeQueue mEvents;
  Random mRandom;
  FaultBoard mFaults;
  Journal mJournal;
  SoakContext mContext;
  std::vector<std::unique_ptr<Scenario>> mScenarios;
};

void
Step(SoakWorld& aWorld, SoakResult& aResult)
{
  aWorld.mJournal.SetStep(++aResult.mSteps);
  aWorld.mEvents.RunNext();
}

void
RunSteps(SoakWorld& aWorld,
         const SoakOptions& aOptions,
         const Clock& aClock,
         SoakResult& aResult)
{
  const Instant end = aClock.Now() + FromSeconds(aOptions.mSeconds);
  while (aWorld.mJournal.Violations() < kMaxViolations) {
    const bool enough =
      aOptions.mSteps > 0 && aResult.mSteps >= aOptions.mSteps;
    const bool late = aOptions.mSeconds > 0 &&
                      aResult.mSteps % kStepsPerTimeCheck == 0 &&
                      aClock.Now() >= end;
    if (enough || late) {
      return;
    }
    Step(aWorld, aResult);
  }
}

void
SettleAndCheck(SoakWorld& aWorld, SoakResult& aResult)
{
  Duration longest{};
  for (auto& it : aWorld.mScenarios) {
    it->Settle();
    longest = std::max(longest, it->SettleTime());
  }
  const Instant end = aWorld.mClock.Now() + longest;
  while (aWorld.mClock.Now() < end &&
         aWorld.mJournal.Violations() < kMaxViolations) {
    Step(aWorld, aResult);
  }
  for (auto& it : aWorld.mScenarios) {
    it->Check();
  }
}

void
Summarise(SoakWorld& aWorld,
          const SoakOptions& aOptions,
          SoakResult& aResult,
          std::ostream& aOut)
{
  for (const auto& it : aWorld.mScenarios) {
    aResult.mRequests += it->Requests();
    aOut << it->Figures() << "\n";
  }
  aResult.mFaults = aWorld.mFaults.Total();
  aResult.mViolations = aWorld.mJournal.Violations();
  aResult.mMissing = aWorld.mFaults.Missing();
  aWorld.mFaults.Print(aOut);
  for (const auto& name : aResult.mMissing) {
    aOut << "fault class never struck: " << name << "\n";
  }
  aOut << "soak seed=" << aOptions.mSeed << " steps=" << aResult.mSteps
       << " requests=" << aResult.mRequests << " faults=" << aResult.mFaults
       << " violations=" << aResult.mViolations << std::endl;
}

} // namespace

SoakResult
RunSoak(const SoakOptions& aOptions, const Clock& aClock, std::ostream& aOut)
{
  SoakWorld world(aOptions, aOut);
  SoakResult result;
  for (auto& it : world.mScenarios) {
    it->Start();
  }
  RunSteps(world, aOptions, aClock, result);
  SettleAndCheck(world, result);
  Summarise(world, aOptions, result, aOut);
  return result;
}

std::vector<std::string>
SoakDefects()
{
  std::ostream none(nullptr);
  SoakWorld world({}, none);
  std::vector<std::string> defects;
  for (const auto& scenario : world.mScenarios) {
    for (auto& name : scenario->Defects()) {
      defects.push_back(std::move(name));
    }
  }
  return defects;
}

} // namespace bulrushfold
