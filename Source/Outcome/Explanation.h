#ifndef BULRUSHFOLD_OUTCOME_EXPLANATION_H
#define BULRUSHFOLD_OUTCOME_EXPLANATION_H

#include <optional>
#include <string>

#include "Outcome/OutcomeRecord.h"
#include "Outcome_types.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** What a daemon knows about a request. */
struct Explanation
{
  /** The request ended. */
  std::optional<OutcomeRecord> mEnd;
  /** The request is in progress; empty when mEnd is set. */
  std::optional<BeginRecord> mBegin;
  /** FormatSpans of the request's trace; empty where it is not kept. */
  std::string mSpans;

  bool HasRecord() const { return mEnd || mBegin; }
};

/** Payload of an EXPLAIN reply. */
wire::ExplainReply EncodeExplanation(const Explanation& aExplanation);

/** InvalidArgument: the reply holds an invalid record or spans. */
absl::StatusOr<Explanation> DecodeExplanation(const wire::ExplainReply& aReply);

/**
 * The better one of two answers to the same question: an ended request goes
 * before one in progress, an outcome other than "lost" before "lost", and an
 * answer with spans before one without.
 */
const Explanation& PreferredExplanation(const Explanation& aLeft,
                                        const Explanation& aRight);

/** JSON body of GET /admin/v1/explain/REQUEST-ID, for a known request. */
std::string FormatExplanation(const Explanation& aExplanation);

} // namespace bulrushfold

#endif
