#include "Emulator/EmulatorProgram.h"

#include <csignal>
#include <cstdlib>

#include <CLI/CLI.hpp>

#include "Base/Log.h"

namespace bulrushfold {

CLI::Option*
AddAddressOption(CLI::App& aApp,
                 const std::string& aName,
                 SocketAddress& aAddress,
                 const std::string& aHelp)
{
  const auto parse = [&aAddress](const CLI::results_t& aValues) {
    return ParseAddress(aValues.back(), aAddress);
  };
  return aApp.add_option(aName, parse, aHelp)->type_name("IP:PORT");
}

CLI::Option*
AddMillisecondsOption(CLI::App& aApp,
                      const std::string& aName,
                      Duration& aSpan,
                      const std::string& aHelp)
{
  const auto parse = [&aSpan](const CLI::results_t& aValues) {
    double milliseconds = 0;
    if (!CLI::detail::lexical_cast(aValues.back(), milliseconds) ||
        milliseconds < 0) {
      return false;
    }
    aSpan = FromSeconds(milliseconds / 1000);
    return true;
  };
  return aApp.add_option(aName, parse, aHelp)->type_name("MS");
}

int
RunEmulator(EventLoop& aLoop,
            const SocketAddress& aAddress,
            const absl::Status& aListened)
{
  if (!aListened.ok()) {
    LogEvent(
      LogLevel::Error, "listen_failed", { { "reason", aListened.ToString() } });
    return EXIT_FAILURE;
  }
  const auto stop = [&aLoop] { aLoop.Stop(); };
  const EventHandle terminate = aLoop.OnSignal(SIGTERM, stop);
  const EventHandle interrupt = aLoop.OnSignal(SIGINT, stop);
  std::signal(SIGPIPE, SIG_IGN);
  LogEvent(
    LogLevel::Info, "listening", { { "address", FormatAddress(aAddress) } });
  aLoop.Run();
  LogEvent(LogLevel::Info, "stopped", {});
  return EXIT_SUCCESS;
}

} // namespace bulrushfold
