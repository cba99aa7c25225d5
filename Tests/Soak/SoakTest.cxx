#include "Soak/SoakRun.h"

#include <sstream>

#include <doctest/doctest.h>

#include "Base/Log.h"
#include "Soak/FaultStatistics.h"

namespace bulrushfold {

namespace {
constexpr std::uint64_t kSteps = 150'000;

SoakResult
RunOnce(std::uint64_t aSeed,
        const std::string& aDefect,
        std::string* aOutput = nullptr)
{
  ConfigureLog(LogLevel::Error);
  SoakOptions options;
  options.mSeed = aSeed;
  options.mSteps = kSteps;
  options.mDefect = aDefect;
  std::ostringstream out;
  const SystemClock clock;
  SoakResult result = RunSoak(options, clock, out);
  if (aOutput != nullptr) {
    *aOutput = out.str();
  }
  return result;
}
} // namespace

TEST_CASE("A run without defect injects every fault and has no violation")
{
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    CAPTURE(seed);
    std::string output;
    const SoakResult result = RunOnce(seed, "", &output);
    INFO(output);
    CHECK(result.mViolations == 0);
    CHECK(result.mNeverInjected.empty());
  }
}

// Guards against a violation that cannot be reproduced from the printed seed.
TEST_CASE("The seed fixes the run")
{
  std::string first;
  std::string second;
  RunOnce(5, "", &first);
  RunOnce(5, "", &second);
  CHECK(first == second);
}

// Guards against checks that never fail: with each mechanism disabled, at least
// one of the seeds must lead to a violation.
TEST_CASE("Every disabled mechanism is detected")
{
  for (const auto& defect : SoakDefects()) {
    CAPTURE(defect);
    std::uint64_t found = 0;
    for (std::uint64_t seed = 1; seed <= 8 && found == 0; ++seed) {
      found = RunOnce(seed, defect).mViolations;
    }
    CHECK(found > 0);
  }
}

TEST_CASE("A fault class that was never injected is reported")
{
  ManualClock clock;
  FaultStatistics faults(clock);
  faults.Register("one");
  faults.Register("two");
  faults.Count("one");
  CHECK(faults.NeverInjected() == std::vector<std::string>{ "two" });
  CHECK(faults.Total() == 1);
}

} // namespace bulrushfold
