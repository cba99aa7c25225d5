#ifndef BULRUSHFOLD_EMULATOR_EMULATORPROGRAM_H
#define BULRUSHFOLD_EMULATOR_EMULATORPROGRAM_H

#include <functional>
#include <string>

#include "Base/Clock.h"
#include "Net/EventLoop.h"
#include "Settings/Settings.h"
#include "absl/status/status.h"

namespace CLI {
class App;
class Option;
}

namespace bulrushfold {

/** Adds an option whose value is IP:PORT. */
CLI::Option* AddAddressOption(CLI::App& aApp,
                              const std::string& aName,
                              SocketAddress& aAddress,
                              const std::string& aHelp);

/** Adds an option whose value is milliseconds, with fractions. */
CLI::Option* AddMillisecondsOption(CLI::App& aApp,
                                   const std::string& aName,
                                   Duration& aSpan,
                                   const std::string& aHelp);

/**
 * Runs an emulator until SIGTERM or SIGINT. aListened is the result of its
 * Listen call. Returns the exit code of the program.
 */
int RunEmulator(EventLoop& aLoop,
                const SocketAddress& aAddress,
                const absl::Status& aListened);

} // namespace bulrushfold

#endif
