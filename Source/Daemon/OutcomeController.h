#ifndef BULRUSHFOLD_DAEMON_OUTCOMECONTROLLER_H
#define BULRUSHFOLD_DAEMON_OUTCOMECONTROLLER_H

#include "Base/Clock.h"
#include "Cluster/Configuration.h"
#include "Daemon/RequestContext.h"
#include "Outcome/Metrics.h"
#include "Outcome/OutcomeRecord.h"
#include "Outcome/Tracer.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** Turns each finished request into its outcome, spans, metrics and log line.
 */
class OutcomeController
{
public:
  OutcomeController(const Clock& aClock,
                    const Configuration& aConfiguration,
                    Metrics& aMetrics,
                    const Settings& aSettings);

  void Take(const RequestContext& aRequest);
  Tracer& Spans() { return mTracer; }

private:
  void Count(const OutcomeRecord& aRecord);

  const Clock& mClock;
  const Configuration& mConfiguration;
  Metrics& mMetrics;
  Tracer mTracer;
};

} // namespace bulrushfold

#endif
