#include <chrono>
#include <cstdio>
#include <string>

#include <CLI/CLI.hpp>

#include "Bench/BaselineRouter.h"
#include "Bench/BenchSimulation.h"
#include "Bench/DecisionCost.h"
#include "Bench/PolicyRouter.h"

namespace {

using namespace bulrushfold;

void
PrintLine(const std::string& aCase,
          const char* aMetric,
          double aValue,
          double aBaseline,
          const char* aUnit)
{
  const double ratio = aBaseline != 0 ? aValue / aBaseline
                       : aValue == 0  ? 1
                                      : 0;
  std::printf("bench=policy case=%s metric=%s value=%.4f baseline=%.4f "
              "ratio=%.3f unit=%s\n",
              aCase.c_str(),
              aMetric,
              aValue,
              aBaseline,
              ratio,
              aUnit);
}

/** Prints all metrics of aValue with those of aBaseline. */
void
PrintFigures(const std::string& aCase,
             const BenchFigures& aValue,
             const BenchFigures& aBaseline)
{
  PrintLine(
    aCase, "goodput", aValue.mGoodput, aBaseline.mGoodput, "engine_s_per_s");
  PrintLine(aCase,
            "good_requests",
            aValue.mGoodRequests,
            aBaseline.mGoodRequests,
            "share");
  PrintLine(aCase,
            "wasted_prefill",
            aValue.mWastedPrefill,
            aBaseline.mWastedPrefill,
            "share");
  PrintLine(
    aCase, "ttft_p95", aValue.mFirstTokenP95, aBaseline.mFirstTokenP95, "s");
  PrintLine(aCase, "tpot_p95", aValue.mTokenP95, aBaseline.mTokenP95, "s");
  PrintLine(aCase, "refused", aValue.mRefused, aBaseline.mRefused, "share");
  PrintLine(
    aCase, "fairness", aValue.mFairness, aBaseline.mFairness, "jain_index");
  PrintLine(aCase,
            "goodput_of_oracle",
            aValue.mGoodputOfOracle,
            aBaseline.mGoodputOfOracle,
            "share");
}

BenchFigures
RunBaseline(const PolicyCase& aCase, BaselineKind aKind, std::uint64_t aSeed)
{
  const EngineModel engine;
  const auto arrivals = MakeArrivals(aCase, engine, aSeed);
  BenchSimulation simulation(aCase, engine, aSeed);
  BaselineRouter router(simulation, aKind, aSeed);
  return simulation.Run(arrivals, router);
}

BenchFigures
RunPolicy(const PolicyCase& aCase, bool aHasOwners, std::uint64_t aSeed)
{
  const EngineModel engine;
  const auto arrivals = MakeArrivals(aCase, engine, aSeed);
  BenchSimulation simulation(aCase, engine, aSeed);
  PolicyRouter router(simulation, aHasOwners, aSeed);
  return simulation.Run(arrivals, router);
}

/** Compares ways to assign decode slots; see docs/notes/decode-slots.md. */
void
PrintVariants(const PolicyCase& aCase, std::uint64_t aSeed)
{
  const auto least = RunBaseline(aCase, BaselineKind::LeastLoaded, aSeed);
  PrintFigures(aCase.mName + "/alone", RunPolicy(aCase, false, aSeed), least);
  PrintFigures(aCase.mName + "/two-choices",
               RunBaseline(aCase, BaselineKind::TwoChoices, aSeed),
               least);
  PrintFigures(aCase.mName + "/owner", RunPolicy(aCase, true, aSeed), least);
}

void
RunCase(const PolicyCase& aCase, std::uint64_t aSeed)
{
  const auto least = RunBaseline(aCase, BaselineKind::LeastLoaded, aSeed);
  const auto robin = RunBaseline(aCase, BaselineKind::RoundRobin, aSeed);
  const auto policy = RunPolicy(aCase, true, aSeed);
  PrintFigures(aCase.mName + "/round-robin", robin, least);
  PrintFigures(aCase.mName, policy, least);
  if (aCase.mNoisyFactor > 1) {
    PolicyCase quiet = aCase;
    quiet.mNoisyFactor = 1;
    PrintLine(
      aCase.mName,
      "others_goodput_kept",
      policy.mOthersGoodput / RunPolicy(quiet, true, aSeed).mOthersGoodput,
      least.mOthersGoodput /
        RunBaseline(quiet, BaselineKind::LeastLoaded, aSeed).mOthersGoodput,
      "share");
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app{ "Compares routing decisions with simple routers" };
  std::uint64_t seed = 1;
  std::string caseName;
  bool hasVariants = false;
  app.add_option("--seed", seed, "Seed of arrivals and faults");
  app.add_option("--case", caseName, "Run only this case");
  app.add_flag(
    "--variants", hasVariants, "Compare ways to assign decode slots");
  CLI11_PARSE(app, aCount, aArguments);
  bool isFound = caseName.empty() || caseName == "decision";
  for (const auto& it : PolicyCases()) {
    if (!caseName.empty() && caseName != it.mName) {
      continue;
    }
    isFound = true;
    if (hasVariants) {
      PrintVariants(it, seed);
    } else {
      RunCase(it, seed);
    }
  }
  if (!hasVariants && (caseName.empty() || caseName == "decision")) {
    double baseline = 0;
    for (const std::size_t n : { 10, 100, 830, 10000 }) {
      const double cost = DecisionMicroseconds(n, seed);
      baseline = baseline > 0 ? baseline : cost;
      PrintLine(
        "decision-" + std::to_string(n), "decision_cost", cost, baseline, "us");
    }
  }
  if (!isFound) {
    std::fprintf(stderr, "no case is named %s\n", caseName.c_str());
    return 1;
  }
  return 0;
}
