#ifndef BULRUSHFOLD_OUTCOME_REQUESTMETRICS_H
#define BULRUSHFOLD_OUTCOME_REQUESTMETRICS_H

#include "Outcome/Metrics.h"
#include "Outcome/OutcomeRecord.h"

namespace bulrushfold {

/**
 * Metrics and log event of finished requests. The daemon calls Record for each
 * own record, before it goes to the OutcomeStore.
 *
 * - bulrushfold_requests_total{workspace,status,cause}
 * - bulrushfold_tokens_total{workspace}: tokens delivered to callers
 * - bulrushfold_faults_total{endpoint,failure_domain,cause}: requests not
 *   served in time, by the endpoint that the cause concerns
 * - bulrushfold_first_token_seconds, bulrushfold_request_seconds{status}
 * - bulrushfold_hop_seconds{hop}: time by hop, of requests that spent any there
 */
class RequestMetrics
{
public:
  explicit RequestMetrics(Metrics& aMetrics)
    : mMetrics(aMetrics)
  {
  }

  void Record(const OutcomeRecord& aRecord, Instant aNow);

private:
  Metrics& mMetrics;
};

/**
 * Writes event=request_over, with the HTTP status of the answer (0: none).
 * Late, failed, unknown and lost requests are warnings.
 */
void LogOutcome(const OutcomeRecord& aRecord, int aHttpStatus);

} // namespace bulrushfold

#endif
