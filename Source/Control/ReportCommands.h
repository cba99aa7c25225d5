#ifndef BULRUSHFOLD_CONTROL_REPORTCOMMANDS_H
#define BULRUSHFOLD_CONTROL_REPORTCOMMANDS_H

#include <optional>
#include <string>

#include "Control/ControlCommand.h"

namespace bulrushfold {

/** Shows the cause of one request and its times by hop. */
ExitCode ExplainRequest(CommandContext& aContext,
                        const std::string& aRequestId);

/**
 * Shows the report of causes for the last aSinceSeconds. Also writes it as an
 * HTML page to aHtmlFile, unless that is empty.
 */
ExitCode ShowReport(CommandContext& aContext,
                    std::uint64_t aSinceSeconds,
                    const std::string& aHtmlFile);

/** Parses "90s", "15m" or "1h" to seconds; empty unless it is 1 s to 1 h. */
std::optional<std::uint64_t> ParseDurationSeconds(const std::string& aText);

} // namespace bulrushfold

#endif
