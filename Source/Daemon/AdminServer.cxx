#include "Daemon/AdminServer.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include <nlohmann/json.hpp>

#include "Base/Secret.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

constexpr const char* kPrefix = "/admin/v1/";
constexpr const char* kBearer = "Bearer ";
constexpr std::size_t kOperatorDigits = 8;
constexpr int kSecondsPerMinute = 60;

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool
ContainsDigest(const std::vector<std::string>& aDigests,
               const std::string& aDigest)
{
  bool isFound = false;
  for (const auto& it : aDigests) {
    // No early exit, so that the time does not tell which digest matched.
    isFound = EqualConstantTime(it, aDigest) || isFound;
  }
  return isFound;
}

/** Object aKey as it is in force, parsed; an empty object if there is none. */
Json
ParseObject(const ClusterController& aCluster, std::string_view aKey)
{
  const auto& objects = aCluster.Node().Config().Objects();
  const auto it = objects.find(std::string(aKey));
  if (it == objects.end()) {
    return Json::object();
  }
  Json json = Json::parse(it->second.mBody, nullptr, false);
  return json.is_object() ? json : Json::object();
}

Json
LoadToJson(const LoadReport& aLoad)
{
  return { { "running", aLoad.mRunning },
           { "queued", aLoad.mQueued },
           { "slots", aLoad.mSlots },
           { "pieces_total", aLoad.mPiecesTotal },
           { "pieces_used", aLoad.mPiecesUsed },
           { "age_ms", ToMilliseconds(aLoad.mAge) } };
}

Json
EndpointToJson(const Endpoint& aEndpoint)
{
  Json json{ { "name", aEndpoint.mName },
             { "failure_domain", aEndpoint.mFailureDomain },
             { "address", FormatAddress(aEndpoint.mAddress) },
             { "kind", EndpointKindName(aEndpoint.mKind) },
             { "checks_fencing", aEndpoint.mChecksFencing },
             { "state", EndpointStateName(aEndpoint.mState) } };
  if (aEndpoint.mKind == EndpointKind::Service) {
    json["service"] = aEndpoint.mService;
    return json;
  }
  json["role"] = EngineRoleName(aEndpoint.mRole);
  json["models"] = aEndpoint.mModels;
  json["link"] = aEndpoint.mLink;
  json["link_bytes_per_s"] = aEndpoint.mLinkBytesPerSecond;
  return json;
}

} // namespace

AdminServer::AdminServer(EventLoop& aLoop,
                         const Settings& aSettings,
                         const std::string& aIncarnation,
                         ClusterController& aCluster,
                         const Configuration& aConfiguration,
                         AdminChanges& aChanges,
                         OutcomeController& aOutcomes,
                         const LoadController& aLoads,
                         StatusHook aStatus)
  : mSettings(aSettings)
  , mIncarnation(aIncarnation)
  , mCluster(aCluster)
  , mConfiguration(aConfiguration)
  , mChanges(aChanges)
  , mOutcomes(aOutcomes)
  , mLoads(aLoads)
  , mStatus(std::move(aStatus))
  , mServer(aLoop, {}, [this](std::shared_ptr<HttpExchange> aExchange) {
    Handle(std::move(aExchange));
  })
{
}

absl::Status
AdminServer::Listen()
{
  return mServer.Listen(mSettings.mDaemon.mAdminAddress);
}

AdminServer::Role
AdminServer::RoleOf(const std::string& aDigest) const
{
  const bool isOperator =
    ContainsDigest(mSettings.mAdmin.mOperatorTokens, aDigest);
  const bool isViewer = ContainsDigest(mSettings.mAdmin.mViewerTokens, aDigest);
  return isOperator ? Role::Operator : isViewer ? Role::Viewer : Role::None;
}

void
AdminServer::Handle(std::shared_ptr<HttpExchange> aExchange)
{
  const HttpRequest& request = aExchange->Request();
  const std::string header =
    request.mHeaders.Find("Authorization").value_or("");
  const std::string digest = absl::StartsWith(header, kBearer)
                               ? Sha256Hex(header.substr(strlen(kBearer)))
                               : "";
  const Role role = RoleOf(digest);
  if (role == Role::None) {
    ReplyProblem(*aExchange,
                 { AdminCode::BadToken,
                   "expected a valid token in Authorization: Bearer" });
    return;
  }
  if (!absl::StartsWith(request.mPath, kPrefix)) {
    ReplyProblem(*aExchange,
                 { AdminCode::NotFound,
                   absl::StrCat("no resource has the path ", request.mPath) });
    return;
  }
  const std::vector<std::string> path =
    absl::StrSplit(request.mPath.substr(strlen(kPrefix)), '/');
  if (request.mMethod == HttpMethod::Get) {
    HandleRead(std::move(aExchange), path, role);
  } else if (role != Role::Operator) {
    ReplyProblem(*aExchange,
                 { AdminCode::Forbidden,
                   "the token may not make changes",
                   AppliedState::No });
  } else {
    HandleChange(std::move(aExchange), path, digest);
  }
}

void
AdminServer::HandleRead(std::shared_ptr<HttpExchange> aExchange,
                        const std::vector<std::string>& aPath,
                        Role aRole)
{
  const std::string& what = aPath[0];
  const std::size_t n = aPath.size();
  if (what == "presets" && n == 1) {
    ShowPresets(*aExchange);
  } else if (what == "endpoints" && n == 1) {
    ShowEndpoints(*aExchange);
  } else if (what == "workspaces" && n == 1) {
    ShowWorkspaces(*aExchange, aRole);
  } else if (what == "status" && n == 1) {
    ShowStatus(*aExchange);
  } else if (what == "changes" && n >= 3) {
    ShowCoverage(*aExchange, aPath);
  } else if (what == "explain" && n == 2) {
    Explain(std::move(aExchange), aPath[1]);
  } else if (what == "report" && n == 1) {
    MakeReport(std::move(aExchange));
  } else if (what == "audit" && n == 1) {
    mChanges.ListAudit(std::move(aExchange));
  } else {
    ReplyProblem(*aExchange,
                 { AdminCode::NotFound,
                   absl::StrCat("no resource has the path ",
                                aExchange->Request().mPath) });
  }
}

void
AdminServer::HandleChange(std::shared_ptr<HttpExchange> aExchange,
                          const std::vector<std::string>& aPath,
                          const std::string& aDigest)
{
  const bool isPut = aExchange->Request().mMethod == HttpMethod::Put;
  const std::size_t n = aPath.size();
  AdminChange change;
  change.mBody = aExchange->Request().mBody;
  change.mOperator = aDigest.substr(0, kOperatorDigits);
  if (aPath[0] == "presets" && n == 2 && isPut) {
    change.mAction = AdminAction::PutPreset;
    change.mKey = kPresetsKey;
    change.mName = aPath[1];
  } else if (aPath[0] == "presets" && n == 3 && aPath[2] == "put-in-force") {
    change.mAction = AdminAction::PutInForce;
    change.mKey = kPresetsKey;
    change.mName = aPath[1];
  } else if (aPath[0] == "endpoints" && n == 3 && isPut) {
    change.mAction = AdminAction::PutEndpoint;
    change.mKey = absl::StrCat(std::string(kEndpointsPrefix), aPath[1]);
    change.mName = aPath[2];
  } else if (aPath[0] == "endpoints" && n == 4 && aPath[3] == "drain") {
    change.mAction = AdminAction::DrainEndpoint;
    change.mKey = absl::StrCat(std::string(kEndpointsPrefix), aPath[1]);
    change.mName = aPath[2];
  } else if (aPath[0] == "workspaces" && n == 2 && isPut) {
    change.mAction = AdminAction::PutWorkspace;
    change.mKey = kWorkspacesKey;
    change.mName = aPath[1];
  } else {
    ReplyProblem(
      *aExchange,
      { AdminCode::NotFound,
        absl::StrCat("no change has the path ", aExchange->Request().mPath),
        AppliedState::No });
    return;
  }
  if (!mStatus().mIsReady) {
    ReplyProblem(*aExchange,
                 { AdminCode::NotReady,
                   "the daemon has not compared its configuration yet, or is "
                   "stopping",
                   AppliedState::No });
    return;
  }
  mChanges.Run(std::move(aExchange), change);
}

void
AdminServer::ShowPresets(HttpExchange& aExchange) const
{
  const Json object = ParseObject(mCluster, kPresetsKey);
  const std::uint64_t version = mCluster.Version(kPresetsKey);
  ReplyJson(aExchange,
            Dump({ { "key", kPresetsKey },
                   { "version", version },
                   { "in_force", object.value("in_force", "") },
                   { "presets", object.value("presets", Json::object()) } }),
            version);
}

void
AdminServer::ShowEndpoints(HttpExchange& aExchange) const
{
  Json objects = Json::object();
  for (const auto& [key, object] : mCluster.Node().Config().Objects()) {
    if (absl::StartsWith(
          key, { kEndpointsPrefix.data(), kEndpointsPrefix.size() })) {
      objects[key.substr(kEndpointsPrefix.size())] = {
        { "key", key }, { "version", object.mVersion }
      };
    }
  }
  Json endpoints = Json::array();
  for (const auto& [name, endpoint] : mConfiguration.Endpoints()) {
    Json entry = EndpointToJson(endpoint);
    if (const auto load = mLoads.LastReport(name); load) {
      entry["load"] = LoadToJson(*load);
    }
    endpoints.push_back(std::move(entry));
  }
  ReplyJson(aExchange,
            Dump({ { "objects", objects }, { "endpoints", endpoints } }));
}

void
AdminServer::ShowWorkspaces(HttpExchange& aExchange, Role aRole) const
{
  Json workspaces =
    ParseObject(mCluster, kWorkspacesKey).value("workspaces", Json::object());
  if (aRole != Role::Operator) {
    for (auto& it : workspaces) {
      it.erase("token_sha256");
    }
  }
  const std::uint64_t version = mCluster.Version(kWorkspacesKey);
  ReplyJson(aExchange,
            Dump({ { "key", kWorkspacesKey },
                   { "version", version },
                   { "workspaces", workspaces } }),
            version);
}

void
AdminServer::ShowStatus(HttpExchange& aExchange) const
{
  const DaemonStatus status = mStatus();
  Json versions = Json::object();
  for (const auto& [key, object] : mCluster.Node().Config().Objects()) {
    versions[key] = object.mVersion;
  }
  const Membership& members = mCluster.Node().Members();
  Json daemons = Json::array();
  for (const auto& name : mCluster.Rings().Names()) {
    const MemberInfo* info = members.Find(name);
    daemons.push_back(
      { { "name", name },
        { "failure_domain", mCluster.Rings().FailureDomainOf(name) },
        { "incarnation", info == nullptr ? "" : info->mIncarnation },
        { "state", "live" } });
  }
  for (const auto& name : members.UnreachablePeers()) {
    const MemberInfo* info = members.Find(name);
    daemons.push_back(
      { { "name", name },
        { "failure_domain", info == nullptr ? "" : info->mFailureDomain },
        { "incarnation", info == nullptr ? "" : info->mIncarnation },
        { "state", "dead" } });
  }
  ReplyJson(
    aExchange,
    Dump({ { "daemon", mSettings.mDaemon.mName },
           { "incarnation", mIncarnation },
           { "failure_domain", mSettings.mDaemon.mFailureDomain },
           { "region", mSettings.mDaemon.mRegion },
           { "ready", status.mIsReady },
           { "preset", mConfiguration.Presets().mInForce },
           { "preset_version", mCluster.Version(kPresetsKey) },
           { "open_requests", status.mOpenRequests },
           { "bookings_waiting", status.mBookingsWaiting },
           { "store",
             { { "state", status.mIsStoreUp ? "up" : "down" },
               { "last_answer_ms",
                 status.mLastStoreAnswer.time_since_epoch().count() } } },
           { "versions", versions },
           { "daemons", daemons } }));
}

void
AdminServer::ShowCoverage(HttpExchange& aExchange,
                          const std::vector<std::string>& aPath)
{
  std::uint64_t version = 0;
  if (!absl::SimpleAtoi(aPath.back(), &version)) {
    ReplyProblem(aExchange,
                 { AdminCode::BadRequest,
                   absl::StrCat("expected a version, found ", aPath.back()) });
    return;
  }
  const std::string key =
    absl::StrJoin(aPath.begin() + 1, aPath.end() - 1, "/");
  const CoverageStatus* status = mCluster.QueryCoverage(key, version);
  const auto contains = [](const std::vector<std::string>& aNames,
                           const std::string& aName) {
    return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
  };
  Json daemons = Json::array();
  for (const auto& name : mCluster.Rings().Names()) {
    const bool isPending =
      status == nullptr || contains(status->mMissing, name);
    daemons.push_back(
      { { "name", name },
        { "failure_domain", mCluster.Rings().FailureDomainOf(name) },
        { "version", isPending ? 0 : version },
        { "state", isPending ? "pending" : "in_force" } });
  }
  const std::vector<std::string> unreachable =
    status == nullptr ? std::vector<std::string>() : status->mUnreachable;
  for (const auto& name : unreachable) {
    const MemberInfo* info = mCluster.Node().Members().Find(name);
    daemons.push_back(
      { { "name", name },
        { "failure_domain", info == nullptr ? "" : info->mFailureDomain },
        { "version", 0 },
        { "state", "unreachable" } });
  }
  const bool isEverywhere =
    status != nullptr && status->mMissing.empty() && unreachable.empty();
  ReplyJson(aExchange,
            Dump({ { "key", key },
                   { "version", version },
                   { "in_force_everywhere", isEverywhere },
                   { "daemons", daemons } }));
}

void
AdminServer::Explain(std::shared_ptr<HttpExchange> aExchange,
                     const std::string& aRequestId)
{
  mOutcomes.Explain(
    aRequestId,
    [exchange = std::move(aExchange),
     aRequestId](const OutcomeController::Found& aFound) {
      if (aFound.mExplanation.HasRecord()) {
        ReplyJson(*exchange, FormatExplanation(aFound.mExplanation));
        return;
      }
      ReplyProblem(
        *exchange,
        { AdminCode::NotFound,
          absl::StrCat("request ",
                       aRequestId,
                       " is not known",
                       aFound.mMissingDaemons.empty()
                         ? ""
                         : "; these daemons did not answer: ",
                       absl::StrJoin(aFound.mMissingDaemons, ", ")) });
    });
}

void
AdminServer::MakeReport(std::shared_ptr<HttpExchange> aExchange)
{
  int seconds = kMaxReportMinutes * kSecondsPerMinute;
  if (const auto text = aExchange->Request().Parameter("since_s");
      text && (!absl::SimpleAtoi(*text, &seconds) || seconds <= 0)) {
    ReplyProblem(
      *aExchange,
      { AdminCode::BadRequest, "since_s: expected seconds, 1 or more" });
    return;
  }
  const int minutes = (seconds + kSecondsPerMinute - 1) / kSecondsPerMinute;
  mOutcomes.MakeReport(
    minutes, [exchange = std::move(aExchange)](const Report& aReport) {
      ReplyJson(*exchange, FormatReportJson(aReport));
    });
}

} // namespace bulrushfold
