#ifndef BULRUSHFOLD_SOAK_SCENARIOS_H
#define BULRUSHFOLD_SOAK_SCENARIOS_H

#include <memory>
#include <vector>

#include "Soak/Scenario.h"

namespace bulrushfold {

/** Makes all scenarios of the soak program. */
std::vector<std::unique_ptr<Scenario>> MakeScenarios(SoakContext& aContext);

} // namespace bulrushfold

#endif
