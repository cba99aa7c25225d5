/** bulrushfold-engine: emulator of a model engine. */

#include <cstdlib>
#include <map>

#include <CLI/CLI.hpp>

#include "Base/Log.h"
#include "Emulator/EmulatorProgram.h"
#include "Emulator/EngineEmulator.h"

using namespace bulrushfold;

namespace {

constexpr int kCrashExitCode = 70;

void
AddTimeOptions(CLI::App& aApp, EngineEmulatorSettings& aSettings)
{
  AddMillisecondsOption(aApp,
                        "--token-interval-ms",
                        aSettings.mTokenInterval,
                        "Time between tokens of a stream in a batch of one");
  AddMillisecondsOption(aApp,
                        "--eviction-ms",
                        aSettings.mEvictionTime,
                        "Time after which an unused prefill is evicted");
  AddMillisecondsOption(aApp,
                        "--resume-ms",
                        aSettings.mResumeTimeout,
                        "Time for which a disconnected stream can be resumed");
  AddMillisecondsOption(aApp,
                        "--stall-ms",
                        aSettings.mStallTimeout,
                        "Time without a byte after which an import fails");
  AddMillisecondsOption(
    aApp, "--load-lag-ms", aSettings.mLoadInterval, "Lag of the load report");
  AddMillisecondsOption(
    aApp, "--event-lag-ms", aSettings.mEventLag, "Lag of cache events");
  AddMillisecondsOption(aApp,
                        "--role-change-ms",
                        aSettings.mRoleChangeTime,
                        "Time that a role change takes");
}

void
AddRateOptions(CLI::App& aApp, EngineEmulatorSettings& aSettings)
{
  aApp.add_option("--prefill-tokens-per-s",
                  aSettings.mPrefillTokensPerSecond,
                  "Rate of prefill");
  aApp.add_option("--batch-growth",
                  aSettings.mBatchGrowth,
                  "Growth of the token interval with each further stream");
  aApp.add_option("--link-bytes-per-s",
                  aSettings.mLinkBytesPerSecond,
                  "Total rate of all transfers from this engine");
  aApp.add_option("--kv-bytes-per-token",
                  aSettings.mKvBytesPerToken,
                  "Size of the KV cache of one token");
  aApp.add_option("--weight-bytes", aSettings.mWeightBytes, "Size of a model");
  aApp.add_option("--weight-bytes-per-s",
                  aSettings.mWeightBytesPerSecond,
                  "Rate of the weight store");
  aApp.add_option("--event-gap",
                  aSettings.mEventLossProbability,
                  "Probability of a lost cache event");
}

void
AddBasicOptions(CLI::App& aApp, EngineEmulatorSettings& aSettings)
{
  static const std::map<std::string, EngineRole> sRoles = {
    { "prefill", EngineRole::Prefill },
    { "decode", EngineRole::Decode },
    { "both", EngineRole::Both },
  };
  static const std::map<std::string, EngineCrashPoint> sCrashPoints = {
    { "never", EngineCrashPoint::Never },
    { "prefill", EngineCrashPoint::Prefill },
    { "decode", EngineCrashPoint::Decode },
  };
  AddAddressOption(aApp, "--address", aSettings.mAddress, "Address to serve")
    ->required();
  aApp.add_option("--role", aSettings.mRole, "prefill, decode or both")
    ->transform(CLI::CheckedTransformer(sRoles));
  aApp.add_option("--models", aSettings.mModels, "Loaded models")
    ->delimiter(',')
    ->required();
  aApp.add_option("--slots", aSettings.mSlots, "Streams at one time");
  aApp.add_option("--pieces", aSettings.mPieces, "Pieces of memory");
  aApp.add_option("--prefix-cache-tokens",
                  aSettings.mPrefixCacheTokens,
                  "Size of the prefix cache");
  aApp.add_flag("--checks-fencing",
                aSettings.mChecksFencing,
                "Refuse orders with old fencing numbers");
  aApp
    .add_option("--crash-at",
                aSettings.mCrashPoint,
                "Where a prompt with crash-engine ends the process: never, "
                "prefill or decode")
    ->transform(CLI::CheckedTransformer(sCrashPoints));
  aApp.add_option("--seed", aSettings.mSeed, "Seed of the random generator");
}

} // namespace

int
main(int argc, char** argv)
{
  EngineEmulatorSettings settings;
  CLI::App app("Emulator of a model engine");
  AddBasicOptions(app, settings);
  AddRateOptions(app, settings);
  AddTimeOptions(app, settings);
  CLI11_PARSE(app, argc, argv);

  ConfigureLog(LogLevel::Info);
  EventLoop loop;
  SystemClock clock;
  // The incarnation id must differ between starts with the same seed.
  Random random(settings.mSeed ^ SystemSeed());
  EngineEmulator engine(
    loop, clock, random, settings, [] { std::_Exit(kCrashExitCode); });
  return RunEmulator(loop, settings.mAddress, engine.Listen());
}
