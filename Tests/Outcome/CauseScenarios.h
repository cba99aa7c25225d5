#ifndef BULRUSHFOLD_TESTS_OUTCOME_CAUSESCENARIOS_H
#define BULRUSHFOLD_TESTS_OUTCOME_CAUSESCENARIOS_H

#include <functional>
#include <map>

#include "OutcomeFixture.h"

namespace bulrushfold {

/** Adds events to a timeline, ends the timeline and returns its record. */
using CauseScenario = std::function<OutcomeRecord(TimelineBuilder&)>;
using CauseScenarios = std::map<Cause, CauseScenario>;

/** Returns, for each cause, a scenario that must be assigned this cause. */
CauseScenarios AllCauseScenarios();

} // namespace bulrushfold

#endif
