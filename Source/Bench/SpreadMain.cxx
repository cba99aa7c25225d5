// bulrushfold-bench-spread: propagation of configuration between instances of
// the decision classes. Prints one line for each metric. The exit status does
// not depend on the results.
#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "Bench/SpreadSimulation.h"
#include "Bench/SpreadTopologies.h"

namespace bulrushfold {

namespace {
constexpr double kSecondsPerDay = 86'400;
constexpr double kChangesPerDay = 29'000;
constexpr double kRestartsPerDay = 740;
constexpr int kMaxDaemons = 3500;
constexpr double kWholeObjectBytes = 35'000;
/** Intervals of the baseline, in which every daemon renews its own watch and
 * reads the VM list. */
constexpr double kWatchRenewSeconds = 60;
constexpr double kVmListSeconds = 5;

std::vector<SpreadCase>
Cases()
{
  return { { "n6", 6, 3, 1, {}, 0, 0 },
           { "n50", 50, 5, 2, {}, 0, 0 },
           { "n500", 500, 15, 5, {}, 0, 0 },
           { "n3500", kMaxDaemons, 43, 12, {}, 0, 0 } };
}

void
Print(const std::string& aCase,
      const char* aMetric,
      double aValue,
      double aBaseline,
      const char* aUnit)
{
  std::printf(
    "bench=spread case=%s metric=%s value=%.6g baseline=%.6g ratio=%.4g "
    "unit=%s\n",
    aCase.c_str(),
    aMetric,
    aValue,
    aBaseline,
    aBaseline == 0 ? 0 : aValue / aBaseline,
    aUnit);
}

double
Quantile(const std::vector<double>& aSorted, double aShare)
{
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted.empty() ? 0 : aSorted[static_cast<std::size_t>(last * aShare)];
}

/** Delays of the baseline, in which the store notifies every daemon: a one-way
 * delay plus 200 ms, the TCP retransmission timeout, for each lost packet. */
std::vector<double>
BaselineSpread(const SpreadCase& aCase, std::size_t aCount, Random& aRandom)
{
  constexpr double kLossProbability = 0.05;
  constexpr double kRetransmitSeconds = 0.2;
  std::vector<double> delays;
  for (std::size_t i = 0; i < aCount; ++i) {
    const bool isNear = aRandom.Bernoulli(1.0 / aCase.mRegions);
    double delay = isNear ? 0.0015 : 0.04;
    while (aRandom.Bernoulli(kLossProbability)) {
      delay += kRetransmitSeconds;
    }
    delays.push_back(delay);
  }
  std::sort(delays.begin(), delays.end());
  return delays;
}

void
RunCase(SpreadCase aCase, std::uint64_t aSeed, int aSeconds)
{
  const double share = static_cast<double>(aCase.mDaemons) / kMaxDaemons;
  // Small cases have more changes than their proportion, for enough samples.
  constexpr int kMinChanges = 20;
  aCase.mLength = std::chrono::seconds(aSeconds);
  aCase.mChanges = std::max(
    kMinChanges,
    static_cast<int>(kChangesPerDay * share * aSeconds / kSecondsPerDay));
  aCase.mRestarts = std::max(
    1, static_cast<int>(kRestartsPerDay * share * aSeconds / kSecondsPerDay));
  const double changeRate = static_cast<double>(aCase.mChanges) / aSeconds;
  SpreadFigures figures = SpreadSimulation(aCase, aSeed).Run();
  auto& delays = figures.mDelays;
  std::sort(delays.begin(), delays.end());
  Random random(aSeed);
  const auto base = BaselineSpread(aCase, delays.size(), random);
  const double daemons = aCase.mDaemons;
  const auto& name = aCase.mName;
  Print(name, "spread_p50_s", Quantile(delays, 0.5), Quantile(base, 0.5), "s");
  Print(
    name, "spread_p99_s", Quantile(delays, 0.99), Quantile(base, 0.99), "s");
  Print(name, "spread_max_s", Quantile(delays, 1), Quantile(base, 1), "s");
  Print(name, "spread_in_cut_max_s", figures.mMaxDuringPartition, 0, "s");
  Print(name, "spread_after_cut_max_s", figures.mMaxAfterPartition, 0, "s");
  Print(name, "not_in_force", figures.mMissing, 0, "daemons");
  Print(name, "changes_accepted", figures.mAccepted, aCase.mChanges, "changes");
  Print(name,
        "bytes_per_daemon_s",
        figures.mBytesPerDaemon,
        changeRate * kWholeObjectBytes,
        "B/s");
  Print(name,
        "messages_per_daemon_s",
        figures.mMessagesPerDaemon,
        changeRate,
        "1/s");
  Print(name, "cpu_percent", figures.mCpuPercent, 0, "percent");
  // A watch is renewed after each change that it delivers, which is one call.
  Print(name,
        "store_calls_s",
        figures.mStoreCalls,
        daemons * (changeRate + 1 / kWatchRenewSeconds + 1 / kVmListSeconds),
        "1/s");
}

void
RunTopologies(const SpreadCase& aCase, std::uint64_t aSeed)
{
  constexpr int kUpdates = 20;
  Random random(aSeed);
  const auto daemons = static_cast<std::size_t>(aCase.mDaemons);
  const auto measure = [&](SpreadTopology aTopology, std::size_t aDegree) {
    return MeasureTopology(aTopology, daemons, aDegree, kUpdates, random);
  };
  for (const std::size_t degree : { 2, 3, 4, 5, 6 }) {
    const auto rings = measure(SpreadTopology::Rings, degree);
    const auto gossip = measure(SpreadTopology::Gossip, degree);
    const auto tree = measure(SpreadTopology::Tree, degree);
    const auto print = [&](const char* aWhat, double aValue, double aBase) {
      const auto metric = std::string(aWhat) + std::to_string(degree);
      Print(aCase.mName, metric.c_str(), aValue, aBase, "");
    };
    print("rings_missed_vs_gossip_", rings.mMissed, gossip.mMissed);
    print("rings_missed_vs_tree_", rings.mMissed, tree.mMissed);
    print("rings_p99_s_vs_gossip_", rings.mP99Seconds, gossip.mP99Seconds);
    print("rings_p99_s_vs_tree_", rings.mP99Seconds, tree.mP99Seconds);
    print("rings_messages_vs_tree_",
          rings.mMessagesPerDaemon,
          tree.mMessagesPerDaemon);
  }
}
} // namespace

} // namespace bulrushfold

int
main(int argc, char** argv)
{
  CLI::App app("Propagation of configuration to many daemons");
  std::uint64_t seed = 1;
  std::string caseName;
  int seconds = 180;
  bool hasSimulation = true;
  bool hasTopologies = true;
  app.add_option("--seed", seed, "Seed of the run");
  app.add_option("--case", caseName, "Only this case: n6, n50, n500 or n3500");
  app.add_option("--seconds", seconds, "Virtual length of a case");
  app.add_flag(
    "--shapes,!--no-shapes", hasTopologies, "Compare propagation topologies");
  app.add_flag(
    "--loop,!--no-loop", hasSimulation, "Run the simulation of instances");
  CLI11_PARSE(app, argc, argv);
  for (const auto& it : bulrushfold::Cases()) {
    if (caseName.empty() || caseName == it.mName) {
      if (hasSimulation) {
        bulrushfold::RunCase(it, seed, seconds);
      }
      if (hasTopologies) {
        bulrushfold::RunTopologies(it, seed);
      }
    }
  }
  return 0;
}
