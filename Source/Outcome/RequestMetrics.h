#ifndef BULRUSHFOLD_OUTCOME_REQUESTMETRICS_H
#define BULRUSHFOLD_OUTCOME_REQUESTMETRICS_H

#include "Outcome/Metrics.h"
#include "Outcome/OutcomeRecord.h"

namespace bulrushfold {

/**
 * Metrics of finished requests. The entry daemon calls Record for each of its
 * records before it stores the record in the OutcomeStore.
 *
 * - bulrushfold_requests_total{workspace,status,cause}
 * - bulrushfold_tokens_total{workspace}: tokens delivered to callers
 * - bulrushfold_faults_total{endpoint,failure_domain,cause}: requests not
 *   served in time, by the endpoint that the cause concerns
 * - bulrushfold_first_token_seconds, bulrushfold_request_seconds{status}
 * - bulrushfold_hop_seconds{hop}: time at each hop, of requests with time there
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
 * Writes the log event request_over, with the HTTP status of the answer (0: no
 * answer). The level is warning for late, failed, unknown and lost requests.
 */
void LogOutcome(const OutcomeRecord& aRecord, int aHttpStatus);

} // namespace bulrushfold

#endif
