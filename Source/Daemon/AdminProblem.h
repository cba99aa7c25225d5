#ifndef BULRUSHFOLD_DAEMON_ADMINPROBLEM_H
#define BULRUSHFOLD_DAEMON_ADMINPROBLEM_H

#include <cstdint>
#include <optional>
#include <string>

#include "Net/HttpServer.h"

namespace bulrushfold {

/** Error codes of the administration API; docs/admin-api.md explains them. */
enum class AdminCode
{
  BadRequest,
  BadToken,
  Forbidden,
  NotFound,
  Conflict,
  VersionRequired,
  StoreDown,
  NotReady,
  OutcomeUnknown,
};

/** Whether a refused change had an effect. */
enum class AppliedState
{
  NotApplicable,
  No,
  Unknown,
};

/** An error answer of the administration API. */
struct AdminProblem
{
  AdminCode mCode = AdminCode::BadRequest;
  std::string mDetail;
  AppliedState mApplied = AppliedState::NotApplicable;
  std::optional<std::uint64_t> mCurrentVersion{};
  std::string mChangeId{};
  std::string mKey{};
};

/** Answers with aProblem as application/problem+json. */
void ReplyProblem(HttpExchange& aExchange, const AdminProblem& aProblem);

/** Answers with a JSON body; with ETag when aVersion is given. */
void ReplyJson(HttpExchange& aExchange,
               const std::string& aBody,
               std::optional<std::uint64_t> aVersion = std::nullopt);

} // namespace bulrushfold

#endif
