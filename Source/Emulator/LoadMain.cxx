/** bulrushfold-load: load and experiment tool that checks every answer. */

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>

#include <CLI/CLI.hpp>

#include "Emulator/EmulatorProgram.h"
#include "Emulator/LoadRunner.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

using namespace bulrushfold;

namespace {

constexpr int kMaxListItems = 10000;

void
AddAddressListOption(CLI::App& aApp,
                     const std::string& aName,
                     std::vector<SocketAddress>& aAddresses,
                     const std::string& aHelp)
{
  const auto parse = [&aAddresses](const CLI::results_t& aValues) {
    for (const auto& it : aValues) {
      SocketAddress address;
      if (!ParseAddress(it, address)) {
        return false;
      }
      aAddresses.push_back(address);
    }
    return true;
  };
  aApp.add_option(aName, parse, aHelp)
    ->type_name("IP:PORT,...")
    ->delimiter(',')
    ->expected(1, kMaxListItems);
}

/** Parses "MIN:MAX" or "N". */
bool
ParseRange(const std::string& aText, SizeRange& aRange)
{
  const std::vector<std::string> parts = absl::StrSplit(aText, ':');
  return parts.size() <= 2 && absl::SimpleAtoi(parts.front(), &aRange.mMin) &&
         absl::SimpleAtoi(parts.back(), &aRange.mMax) &&
         aRange.mMin <= aRange.mMax;
}

void
AddRangeOption(CLI::App& aApp,
               const std::string& aName,
               SizeRange& aRange,
               const std::string& aHelp)
{
  const auto parse = [&aRange](const CLI::results_t& aValues) {
    return ParseRange(aValues.back(), aRange);
  };
  aApp.add_option(aName, parse, aHelp)->type_name("MIN:MAX");
}

bool
ParseMix(const CLI::results_t& aValues, std::vector<LoadShare>& aMix)
{
  aMix.clear();
  for (const auto& it : aValues) {
    const std::vector<std::string> parts = absl::StrSplit(it, '=');
    LoadShare share;
    const auto kind = ParseLoadKind(parts.front());
    if (!kind || parts.size() > 2 ||
        (parts.size() == 2 && !absl::SimpleAtod(parts[1], &share.mWeight))) {
      return false;
    }
    share.mKind = *kind;
    aMix.push_back(share);
  }
  return true;
}

void
AddRequestOptions(CLI::App& aApp, LoadSettings& aSettings)
{
  AddAddressListOption(
    aApp, "--targets", aSettings.mTargets, "Daemons, used round-robin");
  aApp.get_option("--targets")->required();
  AddAddressListOption(aApp,
                       "--services",
                       aSettings.mServices,
                       "Plain services whose runs are checked at the end");
  aApp.add_option("--token", aSettings.mToken, "Bearer token");
  const auto parseMix = [&aSettings](const CLI::results_t& aValues) {
    return ParseMix(aValues, aSettings.mMix);
  };
  aApp
    .add_option("--mix",
                parseMix,
                "Kinds and weights: completion, completion_stream, chat, "
                "chat_stream, lookup, booking")
    ->type_name("KIND=WEIGHT,...")
    ->delimiter(',')
    ->expected(1, kMaxListItems);
  aApp.add_option("--models", aSettings.mModels, "Models")->delimiter(',');
  aApp.add_option(
    "--booking-path", aSettings.mBookingPath, "SERVICE/PATH of bookings");
  aApp.add_option(
    "--lookup-path", aSettings.mLookupPath, "SERVICE/PATH of lookups");
  AddRangeOption(
    aApp, "--prompt-tokens", aSettings.mPromptTokens, "Length of prompts");
  AddRangeOption(
    aApp, "--max-tokens", aSettings.mMaxTokens, "Length of answers");
  aApp.add_option("--shared-prefixes",
                  aSettings.mSharedPrefixes,
                  "Number of different shared prompt prefixes; 0: none");
  aApp.add_option("--shared-prefix-tokens",
                  aSettings.mSharedPrefixTokens,
                  "Length of the shared prefixes");
}

void
AddLoadOptions(CLI::App& aApp, LoadSettings& aSettings)
{
  static const std::map<std::string, ArrivalPattern> sPatterns = {
    { "poisson", ArrivalPattern::Poisson }, { "bursty", ArrivalPattern::Bursty }
  };
  aApp.add_option(
    "--requests", aSettings.mRequests, "Maximum number of requests");
  aApp.add_option(
    "--rate", aSettings.mRate, "Requests a second; 0 selects a closed loop");
  aApp.add_option("--pattern", aSettings.mPattern, "poisson or bursty")
    ->transform(CLI::CheckedTransformer(sPatterns));
  aApp.add_option("--burst", aSettings.mBurst, "Requests of one burst")
    ->check(CLI::PositiveNumber);
  aApp.add_option("--connections",
                  aSettings.mConnections,
                  "Requests in progress in the closed loop");
  aApp.add_option("--max-attempts",
                  aSettings.mMaxAttempts,
                  "Attempts of a request whose answer is lost");
  aApp.add_option(
    "--cancel", aSettings.mCancelProbability, "Probability of a cancel");
  aApp.add_option(
    "--slow", aSettings.mSlowProbability, "Probability of a slow reader");
  aApp.add_option("--slow-bytes-per-s",
                  aSettings.mSlowBytesPerSecond,
                  "Rate of a slow reader");
  aApp.add_option("--crash",
                  aSettings.mCrashProbability,
                  "Probability of a prompt that crashes engines");
  aApp.add_option("--seed", aSettings.mSeed, "Seed of the requests");
}

void
AddTimeOptions(CLI::App& aApp, LoadSettings& aSettings, double& aSeconds)
{
  aApp.add_option("--seconds", aSeconds, "Time in which requests are started");
  AddMillisecondsOption(aApp,
                        "--drain-ms",
                        aSettings.mDrainTime,
                        "Maximum wait for the last answers");
  AddMillisecondsOption(aApp,
                        "--settle-ms",
                        aSettings.mSettleTime,
                        "Wait before the runs of services are read");
  AddMillisecondsOption(
    aApp, "--retry-ms", aSettings.mRetryDelay, "Wait before a retry");
  AddMillisecondsOption(
    aApp, "--deadline-ms", aSettings.mDeadline, "Request-Timeout-Ms");
  AddMillisecondsOption(aApp,
                        "--silence-ms",
                        aSettings.mReadTimeout,
                        "Time without a byte after which an answer is lost");
  AddMillisecondsOption(
    aApp, "--cancel-after-ms", aSettings.mCancelAfter, "Mean time to a cancel");
  AddMillisecondsOption(aApp,
                        "--ttft-target-ms",
                        aSettings.mFirstTokenTarget,
                        "Target of the first token");
  AddMillisecondsOption(aApp,
                        "--token-target-ms",
                        aSettings.mTokenTarget,
                        "Target of the time between tokens");
}

void
PrintMetrics(const nlohmann::ordered_json& aMetrics, bool aIsJson)
{
  if (aIsJson) {
    std::cout << aMetrics.dump(2) << std::endl;
    return;
  }
  for (const auto& [name, value] : aMetrics.items()) {
    std::cout << name << "=" << value << "\n";
  }
  std::cout.flush();
}

} // namespace

int
main(int argc, char** argv)
{
  LoadSettings settings;
  double seconds = ToSeconds(settings.mStartTime);
  std::string output = "text";
  CLI::App app("Load and experiment tool; fails when an answer is wrong");
  AddRequestOptions(app, settings);
  AddLoadOptions(app, settings);
  AddTimeOptions(app, settings, seconds);
  app.add_option("--output", output, "text or json")
    ->check(CLI::IsMember({ "text", "json" }));
  CLI11_PARSE(app, argc, argv);
  settings.mStartTime = FromSeconds(seconds);
  if (settings.mModels.empty()) {
    settings.mModels.emplace_back("model");
  }

  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  SystemClock clock;
  Random random(settings.mSeed);
  LoadRunner runner(loop, clock, random, settings);
  runner.Start([&loop] { loop.Stop(); });
  loop.Run();
  PrintMetrics(runner.Results().Metrics(runner.Elapsed()), output == "json");
  return runner.Results().IsClean() ? EXIT_SUCCESS : EXIT_FAILURE;
}
