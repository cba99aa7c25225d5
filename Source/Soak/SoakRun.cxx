#include "Soak/SoakRun.h"

#include <ostream>

#include "Soak/Scenarios.h"

namespace bulrushfold {

namespace {

// Number of steps between two checks of the real time limit.
constexpr std::uint64_t kStepsPerTimeCheck = 1024;
// A run ends after this number of violations, because later ones usually are
// consequences of the first ones.
constexpr std::uint64_t kMaxViolations = 20;

/** Objects of one run. */
struct SoakEnvironment
{
  SoakEnvironment(const SoakOptions& aOptions, std::ostream& aOut)
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
  FaultStatistics mFaults;
  Journal mJournal;
  SoakContext mContext;
  std::vector<std::unique_ptr<Scenario>> mScenarios;
};

void
Step(SoakEnvironment& aEnvironment, SoakResult& aResult)
{
  aEnvironment.mJournal.SetStep(++aResult.mSteps);
  aEnvironment.mEvents.RunNext();
}

void
RunSteps(SoakEnvironment& aEnvironment,
         const SoakOptions& aOptions,
         const Clock& aClock,
         SoakResult& aResult)
{
  const Instant end = aClock.Now() + FromSeconds(aOptions.mSeconds);
  while (aEnvironment.mJournal.Violations() < kMaxViolations) {
    const bool stepsReached =
      aOptions.mSteps > 0 && aResult.mSteps >= aOptions.mSteps;
    const bool timeExpired = aOptions.mSeconds > 0 &&
                             aResult.mSteps % kStepsPerTimeCheck == 0 &&
                             aClock.Now() >= end;
    if (stepsReached || timeExpired) {
      return;
    }
    Step(aEnvironment, aResult);
  }
}

void
SettleAndCheck(SoakEnvironment& aEnvironment, SoakResult& aResult)
{
  Duration longest{};
  for (auto& it : aEnvironment.mScenarios) {
    it->Settle();
    longest = std::max(longest, it->SettleTime());
  }
  const Instant end = aEnvironment.mClock.Now() + longest;
  while (aEnvironment.mClock.Now() < end &&
         aEnvironment.mJournal.Violations() < kMaxViolations) {
    Step(aEnvironment, aResult);
  }
  for (auto& it : aEnvironment.mScenarios) {
    it->Check();
  }
}

void
PrintSummary(SoakEnvironment& aEnvironment,
             const SoakOptions& aOptions,
             SoakResult& aResult,
             std::ostream& aOut)
{
  for (const auto& it : aEnvironment.mScenarios) {
    aResult.mRequests += it->Requests();
    aOut << it->Statistics() << "\n";
  }
  aResult.mFaults = aEnvironment.mFaults.Total();
  aResult.mViolations = aEnvironment.mJournal.Violations();
  aResult.mNeverInjected = aEnvironment.mFaults.NeverInjected();
  aEnvironment.mFaults.Print(aOut);
  for (const auto& name : aResult.mNeverInjected) {
    aOut << "fault class never injected: " << name << "\n";
  }
  aOut << "soak seed=" << aOptions.mSeed << " steps=" << aResult.mSteps
       << " requests=" << aResult.mRequests << " faults=" << aResult.mFaults
       << " violations=" << aResult.mViolations << std::endl;
}

} // namespace

SoakResult
RunSoak(const SoakOptions& aOptions, const Clock& aClock, std::ostream& aOut)
{
  SoakEnvironment environment(aOptions, aOut);
  SoakResult result;
  for (auto& it : environment.mScenarios) {
    it->Start();
  }
  RunSteps(environment, aOptions, aClock, result);
  SettleAndCheck(environment, result);
  PrintSummary(environment, aOptions, result, aOut);
  return result;
}

std::vector<std::string>
SoakDefects()
{
  std::ostream none(nullptr);
  SoakEnvironment environment({}, none);
  std::vector<std::string> defects;
  for (const auto& scenario : environment.mScenarios) {
    for (auto& name : scenario->Defects()) {
      defects.push_back(std::move(name));
    }
  }
  return defects;
}

} // namespace bulrushfold
