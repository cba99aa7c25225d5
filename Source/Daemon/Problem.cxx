#include "Daemon/Problem.h"

#include <nlohmann/json.hpp>

#include "Base/EnumNames.h"

namespace bulrushfold {

namespace {

constexpr EnumNames<ProblemCode, 21> kCodeNames{ {
  { ProblemCode::BadRequest, "bad_request" },
  { ProblemCode::Unauthorized, "unauthorized" },
  { ProblemCode::ModelNotAllowed, "model_not_allowed" },
  { ProblemCode::NotFound, "not_found" },
  { ProblemCode::MethodNotAllowed, "method_not_allowed" },
  { ProblemCode::UnknownModel, "unknown_model" },
  { ProblemCode::TooLarge, "too_large" },
  { ProblemCode::IdempotencyKeyRequired, "idempotency_key_required" },
  { ProblemCode::IdempotencyKeyInvalid, "idempotency_key_invalid" },
  { ProblemCode::IdempotencyKeyExpired, "idempotency_key_expired" },
  { ProblemCode::IdempotencyKeyReused, "idempotency_key_reused" },
  { ProblemCode::RateLimited, "rate_limited" },
  { ProblemCode::ConcurrencyLimited, "concurrency_limited" },
  { ProblemCode::NoCapacity, "no_capacity" },
  { ProblemCode::DeadlineExceeded, "deadline_exceeded" },
  { ProblemCode::EndpointFailed, "endpoint_failed" },
  { ProblemCode::OutcomeUnknown, "outcome_unknown" },
  { ProblemCode::StoreUnavailable, "store_unavailable" },
  { ProblemCode::CrashSuspect, "crash_suspect" },
  { ProblemCode::Draining, "draining" },
  { ProblemCode::NotReady, "not_ready" },
} };

constexpr EnumNames<RanState, 3> kRanNames{ {
  { RanState::No, "no" },
  { RanState::Yes, "yes" },
  { RanState::Unknown, "unknown" },
} };

} // namespace

std::string_view
ProblemCodeName(ProblemCode aCode)
{
  return FindEnumName(kCodeNames, aCode);
}

std::string_view
RanStateName(RanState aState)
{
  return FindEnumName(kRanNames, aState);
}

int
ProblemStatus(ProblemCode aCode)
{
  switch (aCode) {
    case ProblemCode::BadRequest:
    case ProblemCode::IdempotencyKeyRequired:
    case ProblemCode::IdempotencyKeyInvalid:
      return 400;
    case ProblemCode::Unauthorized:
      return 401;
    case ProblemCode::ModelNotAllowed:
      return 403;
    case ProblemCode::NotFound:
    case ProblemCode::UnknownModel:
      return 404;
    case ProblemCode::MethodNotAllowed:
      return 405;
    case ProblemCode::IdempotencyKeyExpired:
    case ProblemCode::IdempotencyKeyReused:
      return 409;
    case ProblemCode::TooLarge:
      return 413;
    case ProblemCode::CrashSuspect:
      return 422;
    case ProblemCode::RateLimited:
    case ProblemCode::ConcurrencyLimited:
      return 429;
    case ProblemCode::EndpointFailed:
    case ProblemCode::OutcomeUnknown:
      return 502;
    case ProblemCode::NoCapacity:
    case ProblemCode::StoreUnavailable:
    case ProblemCode::Draining:
    case ProblemCode::NotReady:
      return 503;
    case ProblemCode::DeadlineExceeded:
      return 504;
  }
  return 500;
}

std::string
FormatProblem(const Problem& aProblem, const std::string& aRequestId)
{
  const nlohmann::json json{ { "type", "about:blank" },
                             { "status", ProblemStatus(aProblem.mCode) },
                             { "code", ProblemCodeName(aProblem.mCode) },
                             { "detail", aProblem.mDetail },
                             { "request_id", aRequestId },
                             { "ran", RanStateName(aProblem.mRan) } };
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace bulrushfold
