#ifndef BULRUSHFOLD_CONTROL_LISTCOMMANDS_H
#define BULRUSHFOLD_CONTROL_LISTCOMMANDS_H

#include <string>

#include "Control/ControlCommand.h"

namespace bulrushfold {

/** Commands that show the configuration and the state of the daemons. */
ExitCode ListPresets(CommandContext& aContext);
ExitCode ShowPreset(CommandContext& aContext, const std::string& aName);
/** Lists only endpoints of aFailureDomain, unless it is empty. */
ExitCode ListEndpoints(CommandContext& aContext,
                       const std::string& aFailureDomain);
ExitCode ListWorkspaces(CommandContext& aContext);
ExitCode ShowStatus(CommandContext& aContext);
ExitCode ListAudit(CommandContext& aContext, int aLimit);

} // namespace bulrushfold

#endif
