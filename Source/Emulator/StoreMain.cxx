/** bulrushfold-store: emulator of the platform's object API and VM list. */

#include <CLI/CLI.hpp>

#include "Base/Log.h"
#include "Emulator/EmulatorProgram.h"
#include "Emulator/StoreEmulator.h"

using namespace bulrushfold;

int
main(int argc, char** argv)
{
  StoreEmulatorSettings settings;
  std::uint64_t seed = 1;
  CLI::App app("Emulator of the platform's object API and VM list");
  AddAddressOption(app, "--address", settings.mAddress, "Address to serve")
    ->required();
  app.add_option(
    "--history", settings.mMaxHistory, "Past changes available to watches");
  app.add_option(
    "--writes-per-s", settings.mWritesPerSecond, "Write limit; 0: none");
  app.add_option(
    "--reads-per-s", settings.mReadsPerSecond, "Read limit; 0: none");
  AddMillisecondsOption(app, "--vm-lag-ms", settings.mVmLag, "VM list lag");
  app.add_option("--seed", seed, "Seed of the random faults");
  CLI11_PARSE(app, argc, argv);

  ConfigureLog(LogLevel::Info);
  EventLoop loop;
  SystemClock clock;
  Random random(seed);
  StoreEmulator store(loop, clock, random, settings);
  return RunEmulator(loop, settings.mAddress, store.Listen());
}
