// bulrushfold-bench-spread: spread of configuration over instances of the
// decision classes. Prints one line for each figure; never fails on one.
#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "Bench/SpreadLoop.h"
#include "Bench/SpreadShapes.h"

namespace bulrushfold {

namespace {
constexpr double kSecondsADay = 86'400;
constexpr double kChangesADay = 29'000;
constexpr double kRestartsADay = 740;
constexpr int kLargest = 3500;
constexpr double kWholeObjectBytes = 35'000;
/** Interval at which a watch is renewed and the VM list is read when every
 * daemon does it for itself. */
constexpr double kRenewSeconds = 60;
constexpr double kVmListSeconds = 5;

std::vector<SpreadCase>
Cases()
{
  return { { "n6", 6, 3, 1, {}, 0, 0 },
           { "n50", 50, 5, 2, {}, 0, 0 },
           { "n500", 500, 15, 5, {}, 0, 0 },
           { "n3500", kLargest, 43, 12, {}, 0, 0 } };
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

/** Delays of the baseline: one way from the store, again after 200 ms, the
 * retransmission time of TCP, when a packet was lost. */
std::vector<double>
BaselineSpread(const SpreadCase& aCase, std::size_t aCount, Random& aRandom)
{
  constexpr double kLoss = 0.05;
  constexpr double kResend = 0.2;
  std::vector<double> delays;
  for (std::size_t i = 0; i < aCount; ++i) {
    const bool isNear = aRandom.Bernoulli(1.0 / aCase.mRegions);
    double delay = isNear ? 0.0015 : 0.04;
    while (aRandom.Bernoulli(kLoss)) {
      delay += kResend;
    }
    delays.push_back(delay);
  }
  std::sort(delays.begin(), delays.end());
  return delays;
}

void
RunCase(SpreadCase aCase, std::uint64_t aSeed, int aSeconds)
{
  const double share = static_cast<double>(aCase.mDaemons) / kLargest;
  // Small cases change more often than in proportion, for enough samples.
  constexpr int kMinChanges = 20;
  aCase.mLength = std::chrono::seconds(aSeconds);
  aCase.mChanges =
    std::max(kMinChanges,
             static_cast<int>(kChangesADay * share * aSeconds / kSecondsADay));
  aCase.mRestarts = std::max(
    1, static_cast<int>(kRestartsADay * share * aSeconds / kSecondsADay));
  const double changeRate = static_cast<double>(aCase.mChanges) / aSeconds;
  SpreadFigures figures = SpreadLoop(aCase, aSeed).Run();
  auto& spread = figures.mSpread;
  std::sort(spread.begin(), spread.end());
  Random random(aSeed);
  const auto base = BaselineSpread(aCase, spread.size(), random);
  const double daemons = aCase.mDaemons;
  const auto& name = aCase.mName;
  Print(name, "spread_p50_s", Quantile(spread, 0.5), Quantile(base, 0.5), "s");
  Print(
    name, "spread_p99_s", Quantile(spread, 0.99), Quantile(base, 0.99), "s");
  Print(name, "spread_max_s", Quantile(spread, 1), Quantile(base, 1), "s");
  Print(name, "spread_in_cut_max_s", figures.mMaxInCut, 0, "s");
  Print(name, "spread_after_cut_max_s", figures.mMaxAfterHeal, 0, "s");
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
  // A watch that delivered a change waits anew, which is one call.
  Print(name,
        "store_calls_s",
        figures.mStoreCalls,
        daemons * (changeRate + 1 / kRenewSeconds + 1 / kVmListSeconds),
        "1/s");
}

void
RunShapes(const SpreadCase& aCase, std::uint64_t aSeed)
{
  constexpr int kUpdates = 20;
  Random random(aSeed);
  const auto daemons = static_cast<std::size_t>(aCase.mDaemons);
  const auto measure = [&](SpreadShape aShape, std::size_t aDegree) {
    return MeasureShape(aShape, daemons, aDegree, kUpdates, random);
  };
  for (const std::size_t degree : { 2, 3, 4, 5, 6 }) {
    const auto rings = measure(SpreadShape::Rings, degree);
    const auto gossip = measure(SpreadShape::Gossip, degree);
    const auto tree = measure(SpreadShape::Tree, degree);
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
  CLI::App app("Spread of configuration over many daemons");
  std::uint64_t seed = 1;
  std::string only;
  int seconds = 180;
  bool hasLoop = true;
  bool hasShapes = true;
  app.add_option("--seed", seed, "Seed of the run");
  app.add_option("--case", only, "Only this case: n6, n50, n500 or n3500");
  app.add_option("--seconds", seconds, "Virtual length of a case");
  app.add_flag("--shapes,!--no-shapes", hasShapes, "Compare ways of spreading");
  app.add_flag("--loop,!--no-loop", hasLoop, "Run the loop over instances");
  CLI11_PARSE(app, argc, argv);
  for (const auto& it : bulrushfold::Cases()) {
    if (only.empty() || only == it.mName) {
      if (hasLoop) {
        bulrushfold::RunCase(it, seed, seconds);
      }
      if (hasShapes) {
        bulrushfold::RunShapes(it, seed);
      }
    }
  }
  return 0;
}
