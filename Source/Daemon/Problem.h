#ifndef BULRUSHFOLD_DAEMON_PROBLEM_H
#define BULRUSHFOLD_DAEMON_PROBLEM_H

#include <optional>
#include <string>
#include <string_view>

#include "Base/Clock.h"

namespace bulrushfold {

/** Error codes of the caller interface; the names are stable. */
enum class ProblemCode
{
  BadRequest,
  Unauthorized,
  ModelNotAllowed,
  NotFound,
  MethodNotAllowed,
  UnknownModel,
  TooLarge,
  IdempotencyKeyRequired,
  IdempotencyKeyInvalid,
  IdempotencyKeyExpired,
  IdempotencyKeyReused,
  RateLimited,
  ConcurrencyLimited,
  NoCapacity,
  DeadlineExceeded,
  EndpointFailed,
  OutcomeUnknown,
  StoreUnavailable,
  CrashSuspect,
  Draining,
  NotReady,
};

/** Whether the request ran, as far as the router knows. */
enum class RanState
{
  /** Certainly not. */
  No,
  Yes,
  Unknown,
};

/** An error answer to a caller. */
struct Problem
{
  ProblemCode mCode = ProblemCode::BadRequest;
  RanState mRan = RanState::No;
  std::string mDetail;
  /** Time after which a retry may succeed. */
  std::optional<Duration> mRetryAfter;
};

std::string_view ProblemCodeName(ProblemCode aCode);
std::string_view RanStateName(RanState aState);

/** HTTP status of aCode. */
int ProblemStatus(ProblemCode aCode);

/** aProblem as application/problem+json (RFC 9457). */
std::string FormatProblem(const Problem& aProblem,
                          const std::string& aRequestId);

} // namespace bulrushfold

#endif
