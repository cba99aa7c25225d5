#ifndef BULRUSHFOLD_TESTS_OUTCOME_CAUSESTORIES_H
#define BULRUSHFOLD_TESTS_OUTCOME_CAUSESTORIES_H

#include <functional>
#include <map>

#include "OutcomeFixture.h"

namespace bulrushfold {

/** Tells a timeline to its end and returns its record. */
using CauseStory = std::function<OutcomeRecord(TimelineStory&)>;
using CauseStories = std::map<Cause, CauseStory>;

/** For each cause a timeline that must yield exactly it. */
CauseStories AllCauseStories();

} // namespace bulrushfold

#endif
