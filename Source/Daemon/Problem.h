#ifndef BULRUSHFOLD_DAEMON_PROBLEM_H
#define BULRUSHFOLD_DAEMON_PROBLEM_H

#include <optional>
#include <string>
#include <string_view>

#include "Base/Clock.h"
#include "Outcome/Cause.h"

namespace bulrushfold {

/** Whether the request ran, as far as the router knows. */
enum class RanState
{
  /** The request certainly did not run. */
  No,
  Yes,
  Unknown,
};

/** An error answer to a caller. */
struct Problem
{
  /** The name of the cause is the stable "code" of the answer. */
  Cause mCause = Cause::BadRequest;
  RanState mRan = RanState::No;
  std::string mDetail;
  /** Time after which a retry may succeed. */
  std::optional<Duration> mRetryAfter;
};

std::string_view RanStateName(RanState aState);

/** HTTP status of an error answer with cause aCause. */
int ProblemStatus(Cause aCause);

/** aProblem as application/problem+json (RFC 9457). */
std::string FormatProblem(const Problem& aProblem,
                          const std::string& aRequestId);

} // namespace bulrushfold

#endif
