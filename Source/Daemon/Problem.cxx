#include "Daemon/Problem.h"

#include <nlohmann/json.hpp>

#include "Base/EnumNames.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<RanState, 3> kRanNames{ {
  { RanState::No, "no" },
  { RanState::Yes, "yes" },
  { RanState::Unknown, "unknown" },
} };
} // namespace

std::string_view
RanStateName(RanState aState)
{
  return FindEnumName(kRanNames, aState);
}

int
ProblemStatus(Cause aCause)
{
  switch (aCause) {
    case Cause::BadRequest:
    case Cause::BadIdempotencyKey:
      return 400;
    case Cause::BadToken:
      return 401;
    case Cause::ModelForbidden:
      return 403;
    case Cause::UnknownModel:
    case Cause::UnknownService:
      return 404;
    case Cause::KeyReused:
    case Cause::KeyTooOld:
      return 409;
    case Cause::TooLarge:
      return 413;
    case Cause::CrashSuspect:
      return 422;
    case Cause::RateLimit:
    case Cause::ConcurrencyLimit:
      return 429;
    case Cause::NoCapacity:
    case Cause::CircuitOpen:
    case Cause::StreamLimit:
    case Cause::StoreDown:
    case Cause::BookingQueueFull:
    case Cause::Draining:
    case Cause::NotReady:
      return 503;
    case Cause::DeadlinePassed:
      return 504;
    case Cause::InternalError:
      return 500;
    default:
      // The router itself works, but an endpoint or service failed.
      return 502;
  }
}

std::string
FormatProblem(const Problem& aProblem, const std::string& aRequestId)
{
  const nlohmann::json json{ { "type", "about:blank" },
                             { "status", ProblemStatus(aProblem.mCause) },
                             { "code", CauseName(aProblem.mCause) },
                             { "detail", aProblem.mDetail },
                             { "request_id", aRequestId },
                             { "ran", RanStateName(aProblem.mRan) } };
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace bulrushfold
