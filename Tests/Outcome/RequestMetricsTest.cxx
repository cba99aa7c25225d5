#include "Outcome/RequestMetrics.h"

#include <doctest/doctest.h>

#include "CauseScenarios.h"

namespace bulrushfold {

// Guards against metrics that differ from the records.
TEST_CASE("Each finished request is counted once by status and cause")
{
  Metrics metrics;
  RequestMetrics requestMetrics(metrics);
  ManualClock clock;
  for (const auto& [cause, scenario] : AllCauseScenarios()) {
    TimelineBuilder builder;
    requestMetrics.Record(scenario(builder), clock.Now());
    requestMetrics.Record(scenario(builder), clock.Now());
  }
  const std::string text = metrics.Format(clock.Now());
  for (const auto& it : CauseInfos()) {
    CAPTURE(it.mName);
    const std::string label = "cause=\"" + std::string(it.mName) + "\"} 2\n";
    CHECK(text.find(label) != std::string::npos);
  }
  CHECK(text.find("bulrushfold_faults_total{endpoint=\"e1\",failure_domain="
                  "\"suva\",cause=\"endpoint_silent\"} 2\n") !=
        std::string::npos);
  CHECK(text.find("bulrushfold_hop_seconds_count{hop=\"queue\"}") !=
        std::string::npos);
}

} // namespace bulrushfold
