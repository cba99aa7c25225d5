#include "Daemon/AdminProblem.h"

#include <nlohmann/json.hpp>

#include "Base/EnumNames.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

constexpr EnumNames<AdminCode, 9> kCodeNames{ {
  { AdminCode::BadRequest, "bad_request" },
  { AdminCode::BadToken, "bad_token" },
  { AdminCode::Forbidden, "forbidden" },
  { AdminCode::NotFound, "not_found" },
  { AdminCode::Conflict, "conflict" },
  { AdminCode::VersionRequired, "version_required" },
  { AdminCode::StoreDown, "store_down" },
  { AdminCode::NotReady, "not_ready" },
  { AdminCode::OutcomeUnknown, "outcome_unknown" },
} };

int
StatusOf(AdminCode aCode)
{
  switch (aCode) {
    case AdminCode::BadRequest:
      return 400;
    case AdminCode::BadToken:
      return 401;
    case AdminCode::Forbidden:
      return 403;
    case AdminCode::NotFound:
      return 404;
    case AdminCode::Conflict:
      return 409;
    case AdminCode::VersionRequired:
      return 428;
    case AdminCode::StoreDown:
    case AdminCode::NotReady:
      return 503;
    case AdminCode::OutcomeUnknown:
      return 504;
  }
  return 500;
}

} // namespace

void
ReplyProblem(HttpExchange& aExchange, const AdminProblem& aProblem)
{
  const int status = StatusOf(aProblem.mCode);
  nlohmann::json json{ { "type", "about:blank" },
                       { "status", status },
                       { "code", FindEnumName(kCodeNames, aProblem.mCode) },
                       { "detail", aProblem.mDetail } };
  if (aProblem.mApplied != AppliedState::NotApplicable) {
    json["applied"] = aProblem.mApplied == AppliedState::No ? "no" : "unknown";
  }
  if (aProblem.mCurrentVersion) {
    json["current_version"] = *aProblem.mCurrentVersion;
  }
  if (!aProblem.mChangeId.empty()) {
    json["change_id"] = aProblem.mChangeId;
  }
  if (!aProblem.mKey.empty()) {
    json["key"] = aProblem.mKey;
  }
  aExchange.Reply(
    status,
    { { "Content-Type", "application/problem+json" } },
    json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void
ReplyJson(HttpExchange& aExchange,
          const std::string& aBody,
          std::optional<std::uint64_t> aVersion)
{
  constexpr int kStatusOk = 200;
  HttpHeaders headers{ { "Content-Type", "application/json" } };
  if (aVersion) {
    headers.Add("ETag", absl::StrCat(*aVersion));
  }
  aExchange.Reply(kStatusOk, headers, aBody);
}

} // namespace bulrushfold
