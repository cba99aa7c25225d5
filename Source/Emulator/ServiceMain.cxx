/** bulrushfold-service: emulator of a plain service. */

#include <cstdlib>

#include <CLI/CLI.hpp>

#include "Base/Log.h"
#include "Emulator/EmulatorProgram.h"
#include "Emulator/ServiceEmulator.h"

using namespace bulrushfold;

int
main(int argc, char** argv)
{
  constexpr int kCrashExitCode = 70;
  ServiceEmulatorSettings settings;
  std::uint64_t seed = 1;
  CLI::App app("Emulator of a plain service");
  AddAddressOption(app, "--address", settings.mAddress, "Address to serve")
    ->required();
  app.add_flag(
    "--checks-fencing", settings.mChecksFencing, "Refuse old fencing numbers");
  AddMillisecondsOption(
    app, "--run-ms", settings.mRunTime, "Duration of one run");
  app.add_option("--runs-file",
                 settings.mRunsFile,
                 "File that preserves the runs across restarts");
  app.add_option("--seed", seed, "Seed of the random faults");
  CLI11_PARSE(app, argc, argv);

  ConfigureLog(LogLevel::Info);
  EventLoop loop;
  Random random(seed);
  ServiceEmulator service(
    loop, random, settings, [] { std::_Exit(kCrashExitCode); });
  return RunEmulator(loop, settings.mAddress, service.Listen());
}
