#ifndef BULRUSHFOLD_TESTS_OUTCOME_CAUSESCENARIOS_H
#define BULRUSHFOLD_TESTS_OUTCOME_CAUSESCENARIOS_H

#include <functional>
#include <map>

#include "OutcomeFixture.h"

namespace bulrushfold {

/** Tells a timeline to its end and returns its record. */
using CauseScenario = std::function<OutcomeRecord(TimelineBuilder&)>;
using CauseScenarios = std::map<Cause, CauseScenario>;

/** For each cause a timeline that must yield exactly it. */
CauseScenarios AllCauseScenarios();

} // namespace bulrushfold

#endif
