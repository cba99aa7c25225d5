#ifndef BULRUSHFOLD_OUTCOME_EXPLANATION_H
#define BULRUSHFOLD_OUTCOME_EXPLANATION_H

#include <optional>
#include <string>

#include "Outcome/OutcomeRecord.h"
#include "Outcome_types.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** Records and spans that a daemon has stored for a request. */
struct Explanation
{
  /** Record of a request that has ended. */
  std::optional<OutcomeRecord> mEnd;
  /** Record of a request in progress; empty when mEnd is set. */
  std::optional<BeginRecord> mBegin;
  /** Spans from FormatSpans; empty when this daemon has no trace. */
  std::string mSpans;

  bool HasRecord() const { return mEnd || mBegin; }
};

/** Encodes the payload of an EXPLAIN reply. */
wire::ExplainReply EncodeExplanation(const Explanation& aExplanation);

/**
 * Decodes the payload of an EXPLAIN reply. Returns InvalidArgument when a
 * record or the spans are invalid.
 */
absl::StatusOr<Explanation> DecodeExplanation(const wire::ExplainReply& aReply);

/**
 * Returns the preferred one of two explanations of the same request. An
 * outcome other than "lost" precedes any other record, an ended request
 * precedes one in progress, and an explanation with spans precedes one without.
 */
const Explanation& PreferredExplanation(const Explanation& aLeft,
                                        const Explanation& aRight);

/**
 * Formats the JSON body of GET /admin/v1/explain/REQUEST-ID. aExplanation must
 * have a record.
 */
std::string FormatExplanation(const Explanation& aExplanation);

} // namespace bulrushfold

#endif
