#ifndef BULRUSHFOLD_CONTROL_REPORTCOMMANDS_H
#define BULRUSHFOLD_CONTROL_REPORTCOMMANDS_H

#include <optional>
#include <string>

#include "Control/ControlCommand.h"

namespace bulrushfold {

/** Shows the cause of one request, with its time by hop. */
ExitCode ExplainRequest(CommandContext& aContext,
                        const std::string& aRequestId);

/**
 * Shows the causes of the time before now. aHtmlFile: also writes an HTML page
 * there, unless it is empty.
 */
ExitCode ShowReport(CommandContext& aContext,
                    std::uint64_t aSinceSeconds,
                    const std::string& aHtmlFile);

/** Seconds of "90s", "15m" or "1h", 1 s to 1 h; empty for other texts. */
std::optional<std::uint64_t> ParseSpan(const std::string& aText);

} // namespace bulrushfold

#endif
