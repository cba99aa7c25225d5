#include "Daemon/AdminChanges.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "Base/EnumNames.h"
#include "Base/Identifiers.h"
#include "Base/Log.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

constexpr EnumNames<AdminAction, 5> kActionNames{ {
  { AdminAction::PutPreset, "put_preset" },
  { AdminAction::PutInForce, "put_in_force" },
  { AdminAction::PutEndpoint, "put_endpoint" },
  { AdminAction::DrainEndpoint, "drain_endpoint" },
  { AdminAction::PutWorkspace, "put_workspace" },
} };

constexpr std::string_view kAuditPrefix = "audit/";
// Maximum time that an operator waits for a change to be accepted.
constexpr Duration kAnswerTimeout = std::chrono::seconds(10);
constexpr std::size_t kDefaultAuditLimit = 100;

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

const char*
TableOf(AdminAction aAction)
{
  switch (aAction) {
    case AdminAction::PutPreset:
    case AdminAction::PutInForce:
      return "presets";
    case AdminAction::PutEndpoint:
    case AdminAction::DrainEndpoint:
      return "endpoints";
    case AdminAction::PutWorkspace:
      return "workspaces";
  }
  return "";
}

std::string
AuditStateOf(const ChangeStatus& aStatus)
{
  if (aStatus.mState == ChangeState::Accepted) {
    return "accepted";
  }
  return IsFinal(aStatus.mState) && aStatus.mState != ChangeState::Undecided
           ? "refused"
           : "unknown";
}

} // namespace

absl::StatusOr<std::string>
EditObject(const AdminChange& aChange, const std::string& aCurrent)
{
  const char* table = TableOf(aChange.mAction);
  Json object = aCurrent.empty() ? Json{ { table, Json::object() } }
                                 : Json::parse(aCurrent, nullptr, false);
  if (!object.is_object() || !object[table].is_object()) {
    return absl::InternalError(
      absl::StrCat("object ", aChange.mKey, " is malformed"));
  }
  const bool isPresent = object[table].contains(aChange.mName);
  if (aChange.mAction == AdminAction::PutInForce) {
    if (!isPresent) {
      return absl::NotFoundError(
        absl::StrCat("there is no preset ", aChange.mName));
    }
    object["in_force"] = aChange.mName;
    return Dump(object);
  }
  if (aChange.mAction == AdminAction::DrainEndpoint) {
    if (!isPresent) {
      return absl::NotFoundError(
        absl::StrCat("there is no endpoint ", aChange.mName));
    }
    object[table][aChange.mName]["state"] = "draining";
    return Dump(object);
  }
  const Json body = Json::parse(aChange.mBody, nullptr, false);
  if (!body.is_object()) {
    return absl::InvalidArgumentError("body: expected a JSON object");
  }
  object[table][aChange.mName] = body;
  if (aChange.mAction == AdminAction::PutPreset &&
      !object.contains("in_force")) {
    // Exactly one preset must be in force, so the first preset is put in force.
    object["in_force"] = aChange.mName;
  }
  return Dump(object);
}

AdminChanges::AdminChanges(EventLoop& aLoop,
                           const Clock& aClock,
                           Random& aRandom,
                           ClusterController& aCluster,
                           ObjectStore& aStore,
                           std::string aDaemon)
  : mLoop(aLoop)
  , mClock(aClock)
  , mRandom(aRandom)
  , mCluster(aCluster)
  , mStore(aStore)
  , mDaemon(std::move(aDaemon))
{
}

void
AdminChanges::Start()
{
  mCluster.mChangeUpdated.connect(
    [this](const ChangeStatus& aStatus) { HandleChange(aStatus); });
}

bool
AdminChanges::ReadHeaders(HttpExchange& aExchange,
                          std::uint64_t& aExpected,
                          std::string& aId) const
{
  const HttpHeaders& headers = aExchange.Request().mHeaders;
  const auto match = headers.Find("If-Match");
  AdminProblem problem;
  problem.mApplied = AppliedState::No;
  if (!match) {
    problem.mCode = AdminCode::VersionRequired;
    problem.mDetail = "expected If-Match with the version of the object";
  } else if (!absl::SimpleAtoi(*match, &aExpected)) {
    problem.mDetail =
      absl::StrCat("If-Match: expected a version, found ", *match);
  } else if (const auto id = headers.Find("Change-Id");
             id && !UuidV7Time(*id)) {
    problem.mDetail = absl::StrCat("Change-Id: expected a UUIDv7, found ", *id);
  } else {
    aId = id.value_or(MakeUuidV7(mClock.Wall(), mRandom));
    return true;
  }
  ReplyProblem(aExchange, problem);
  return false;
}

void
AdminChanges::Run(std::shared_ptr<HttpExchange> aExchange,
                  const AdminChange& aChange)
{
  std::uint64_t expected = 0;
  std::string id;
  if (!ReadHeaders(*aExchange, expected, id)) {
    return;
  }
  if (mPending.count(id) > 0) {
    ReplyProblem(*aExchange,
                 { AdminCode::OutcomeUnknown,
                   "the change is being made",
                   AppliedState::Unknown,
                   std::nullopt,
                   id,
                   aChange.mKey });
    return;
  }
  Pending& pending = mPending[id];
  pending.mExchange = std::move(aExchange);
  pending.mChange = aChange;
  pending.mExpected = expected;
  pending.mTime = mClock.Wall();
  pending.mTimer =
    mLoop.After(kAnswerTimeout, [this, id] { HandleTimeout(id); });
  ChangeStatus status;
  status.mId = id;
  status.mKey = aChange.mKey;
  WriteAudit(id, pending, status);
}

void
AdminChanges::WriteAudit(const std::string& aId,
                         const Pending& aPending,
                         const ChangeStatus& aStatus)
{
  const bool isNew = aPending.mAuditVersion == 0;
  const Json entry{ { "time_ms", aPending.mTime.time_since_epoch().count() },
                    { "daemon", mDaemon },
                    { "operator", aPending.mChange.mOperator },
                    { "change_id", aId },
                    { "action",
                      FindEnumName(kActionNames, aPending.mChange.mAction) },
                    { "key", aPending.mChange.mKey },
                    { "name", aPending.mChange.mName },
                    { "version", aStatus.mVersion },
                    { "state", isNew ? "unknown" : AuditStateOf(aStatus) },
                    { "detail", aStatus.mDetail } };
  mStore.Put(absl::StrCat(std::string(kAuditPrefix), aId),
             Dump(entry),
             isNew ? std::nullopt
                   : std::optional<std::uint64_t>(aPending.mAuditVersion),
             [this, aId, isNew](const absl::StatusOr<std::uint64_t>& aVersion) {
               if (isNew) {
                 HandleAuditCreated(aId, aVersion);
               } else if (!aVersion.ok()) {
                 LogEvent(LogLevel::Warning,
                          "audit_write_failed",
                          { { "change", aId },
                            { "reason", aVersion.status().ToString() } });
               }
             });
}

void
AdminChanges::HandleAuditCreated(const std::string& aId,
                                 const absl::StatusOr<std::uint64_t>& aVersion)
{
  const auto it = mPending.find(aId);
  if (it == mPending.end()) {
    return;
  }
  if (absl::IsFailedPrecondition(aVersion.status())) {
    ReplyFromAuditRecord(aId);
    return;
  }
  if (!aVersion.ok()) {
    // A change is proposed only after its audit record was created, so it was
    // not applied.
    Refuse(aId,
           { AdminCode::StoreDown,
             absl::StrCat("the audit record could not be written: ",
                          aVersion.status().ToString()),
             AppliedState::No,
             std::nullopt,
             "",
             it->second.mChange.mKey });
    return;
  }
  it->second.mAuditVersion = *aVersion;
  Propose(aId);
}

void
AdminChanges::ReplyFromAuditRecord(const std::string& aId)
{
  mStore.Get(
    absl::StrCat(std::string(kAuditPrefix), aId),
    [this, aId](const absl::StatusOr<StoredObject>& aObject) {
      const auto it = mPending.find(aId);
      if (it == mPending.end()) {
        return;
      }
      const Json entry =
        aObject.ok() ? Json::parse(aObject->mBody, nullptr, false) : Json();
      const std::string state =
        entry.is_object() ? entry.value("state", "unknown") : "unknown";
      if (state == "accepted") {
        const std::uint64_t version = entry.value("version", 0ULL);
        ReplyJson(*it->second.mExchange,
                  Dump({ { "change_id", aId },
                         { "key", entry.value("key", "") },
                         { "version", version } }),
                  version);
        mPending.erase(it);
        return;
      }
      const bool isRefused = state == "refused";
      Refuse(aId,
             { isRefused ? AdminCode::Conflict : AdminCode::OutcomeUnknown,
               absl::StrCat("the change was sent before; its state is ", state),
               isRefused ? AppliedState::No : AppliedState::Unknown,
               std::nullopt,
               aId,
               it->second.mChange.mKey });
    });
}

void
AdminChanges::Propose(const std::string& aId)
{
  Pending& pending = mPending.at(aId);
  const auto& objects = mCluster.Node().Config().Objects();
  const auto object = objects.find(pending.mChange.mKey);
  const auto body = EditObject(
    pending.mChange, object == objects.end() ? "" : object->second.mBody);
  if (body.ok()) {
    mCluster.Propose({ aId, pending.mChange.mKey, pending.mExpected, *body });
    return;
  }
  ChangeStatus status;
  status.mState = ChangeState::Invalid;
  status.mDetail = std::string(body.status().message());
  WriteAudit(aId, pending, status);
  Refuse(aId,
         { absl::IsNotFound(body.status()) ? AdminCode::NotFound
                                           : AdminCode::BadRequest,
           status.mDetail,
           AppliedState::No,
           std::nullopt,
           "",
           pending.mChange.mKey });
}

void
AdminChanges::HandleChange(const ChangeStatus& aStatus)
{
  const auto it = mPending.find(aStatus.mId);
  if (it == mPending.end() || !IsFinal(aStatus.mState)) {
    return;
  }
  Pending& pending = it->second;
  WriteAudit(aStatus.mId, pending, aStatus);
  LogEvent(
    LogLevel::Info,
    "config_change",
    { { "change", aStatus.mId },
      { "action",
        std::string(FindEnumName(kActionNames, pending.mChange.mAction)) },
      { "key", aStatus.mKey },
      { "name", pending.mChange.mName },
      { "operator", pending.mChange.mOperator },
      { "version", aStatus.mVersion },
      { "state", std::string(ChangeStateName(aStatus.mState)) } });
  AdminProblem problem{ AdminCode::StoreDown, aStatus.mDetail, AppliedState::No,
                        std::nullopt,         aStatus.mId,     aStatus.mKey };
  switch (aStatus.mState) {
    case ChangeState::Accepted:
      if (!pending.mIsAnswered) {
        ReplyJson(*pending.mExchange,
                  Dump({ { "change_id", aStatus.mId },
                         { "key", aStatus.mKey },
                         { "version", aStatus.mVersion } }),
                  aStatus.mVersion);
      }
      mPending.erase(it);
      return;
    case ChangeState::Invalid:
      problem.mCode = AdminCode::BadRequest;
      break;
    case ChangeState::Conflict:
      problem.mCode = AdminCode::Conflict;
      problem.mCurrentVersion = aStatus.mVersion;
      break;
    case ChangeState::Undecided:
      problem.mCode = AdminCode::OutcomeUnknown;
      problem.mApplied = AppliedState::Unknown;
      break;
    default:
      break;
  }
  Refuse(aStatus.mId, problem);
}

void
AdminChanges::HandleTimeout(const std::string& aId)
{
  Pending& pending = mPending.at(aId);
  pending.mIsAnswered = true;
  ReplyProblem(*pending.mExchange,
               { AdminCode::OutcomeUnknown,
                 "the change is not confirmed yet; it may still take effect",
                 AppliedState::Unknown,
                 std::nullopt,
                 aId,
                 pending.mChange.mKey });
}

void
AdminChanges::Refuse(const std::string& aId, const AdminProblem& aProblem)
{
  const auto it = mPending.find(aId);
  if (!it->second.mIsAnswered) {
    ReplyProblem(*it->second.mExchange, aProblem);
  }
  mPending.erase(it);
}

void
AdminChanges::ListAudit(std::shared_ptr<HttpExchange> aExchange)
{
  const auto id = aExchange->Request().Parameter("change_id");
  std::size_t limit = kDefaultAuditLimit;
  if (const auto text = aExchange->Request().Parameter("limit");
      text && !absl::SimpleAtoi(*text, &limit)) {
    ReplyProblem(*aExchange,
                 { AdminCode::BadRequest, "limit: expected a count" });
    return;
  }
  mStore.List(
    absl::StrCat(std::string(kAuditPrefix), id.value_or("")),
    [exchange = std::move(aExchange),
     limit](const absl::StatusOr<StoreListing>& aListing) {
      if (!aListing.ok()) {
        ReplyProblem(*exchange,
                     { AdminCode::StoreDown, aListing.status().ToString() });
        return;
      }
      Json entries = Json::array();
      // Keys are UUIDv7, which sort by time.
      std::vector<const StoredObject*> objects;
      for (const auto& it : aListing->mObjects) {
        objects.push_back(&it);
      }
      std::sort(
        objects.begin(), objects.end(), [](const auto* aL, const auto* aR) {
          return aL->mKey > aR->mKey;
        });
      for (const auto* it : objects) {
        Json entry = Json::parse(it->mBody, nullptr, false);
        if (entries.size() < limit && entry.is_object()) {
          entries.push_back(std::move(entry));
        }
      }
      ReplyJson(*exchange, Dump({ { "entries", entries } }));
    });
}

} // namespace bulrushfold
