#include <iostream>

#include <CLI/CLI.hpp>

#include "Base/Log.h"
#include "Soak/SoakRun.h"

int
main(int aCount, char** aValues)
{
  using namespace bulrushfold;
  SoakOptions options;
  CLI::App app{ "Randomised run of the decision classes with all faults" };
  app.add_option("--seed", options.mSeed, "fixes the run");
  app.add_option("--seconds", options.mSeconds, "real time limit");
  app.add_option("--steps", options.mSteps, "events before settling");
  app.add_option("--break", options.mDefect, "disable one mechanism")
    ->check(CLI::IsMember(SoakDefects()));
  CLI11_PARSE(app, aCount, aValues);
  if (options.mSeconds <= 0 && options.mSteps == 0) {
    options.mSeconds = 10;
  }
  ConfigureLog(LogLevel::Error);
  const SoakResult result = RunSoak(options, SystemClock(), std::cout);
  return result.mViolations == 0 && result.mNeverInjected.empty() ? 0 : 1;
}
