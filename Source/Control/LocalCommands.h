#ifndef BULRUSHFOLD_CONTROL_LOCALCOMMANDS_H
#define BULRUSHFOLD_CONTROL_LOCALCOMMANDS_H

#include <iosfwd>
#include <string>

#include "Control/ControlCommand.h"
#include "Control/ExitCode.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

// Commands that need no daemon.

/** Writes all findings of a settings file. */
ExitCode CheckConfig(std::ostream& aOut,
                     const std::string& aFile,
                     OutputFormat aFormat);
/** Writes a settings file that documents every key. */
ExitCode WriteSampleConfig(std::ostream& aOut);
/** Reads a token from the first line of aIn and writes its SHA-256. */
ExitCode HashToken(std::istream& aIn,
                   std::ostream& aOut,
                   std::ostream& aErrors);

/**
 * Returns the first line of a token file without leading and trailing white
 * space. InvalidArgument: the file cannot be read, its first line is empty, or
 * other users can access it.
 */
absl::StatusOr<std::string> ReadTokenFile(const std::string& aPath);

} // namespace bulrushfold

#endif
