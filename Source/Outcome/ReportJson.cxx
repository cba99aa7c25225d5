#include "Outcome/Report.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

Json
GroupsToJson(const std::vector<ReportGroup>& aGroups)
{
  Json json = Json::array();
  for (const auto& it : aGroups) {
    Json group{ { "name", it.mName },
                { "count", it.mCount },
                { "before", it.mPreviousCount } };
    if (!it.mFailureDomain.empty()) {
      group["failure_domain"] = it.mFailureDomain;
    }
    if (it.mRequests > 0) {
      group["requests"] = it.mRequests;
    }
    json.push_back(std::move(group));
  }
  return json;
}

Json
CauseToJson(const ReportCause& aCause)
{
  const CauseInfo& info = InfoOf(aCause.mCause);
  return { { "cause", std::string(info.mName) },
           { "explanation", std::string(info.mExplanation) },
           { "action", std::string(info.mSuggestedAction) },
           { "count", aCause.mCount },
           { "before", aCause.mPreviousCount },
           { "expected", aCause.mExpectedCount },
           { "hops", GroupsToJson(aCause.mHops) },
           { "endpoints", GroupsToJson(aCause.mEndpoints) },
           { "failure_domains", GroupsToJson(aCause.mFailureDomains) },
           { "workspaces", GroupsToJson(aCause.mWorkspaces) },
           { "targets", GroupsToJson(aCause.mTargets) } };
}

Json
PointToJson(const ReportPoint& aPoint)
{
  Json causes = Json::object();
  for (const auto& it : aPoint.mCauses) {
    causes[std::string(CauseName(it.mCause))] = it.mCount;
  }
  return { { "minute", aPoint.mMinute },
           { "served", aPoint.mServed },
           { "causes", std::move(causes) } };
}

/** Missing members and members of a wrong type throw Json::exception. */
std::vector<ReportGroup>
GroupsFromJson(const Json& aJson)
{
  std::vector<ReportGroup> groups;
  for (const auto& it : aJson) {
    ReportGroup group;
    it.at("name").get_to(group.mName);
    it.at("count").get_to(group.mCount);
    it.at("before").get_to(group.mPreviousCount);
    group.mFailureDomain = it.value("failure_domain", std::string());
    group.mRequests = it.value("requests", std::uint64_t{ 0 });
    groups.push_back(std::move(group));
  }
  return groups;
}

Cause
CauseFromName(const std::string& aName)
{
  // A newer daemon may report a cause that this version does not have.
  return FindCause(aName).value_or(Cause::InternalError);
}

ReportCause
CauseFromJson(const Json& aJson)
{
  ReportCause cause;
  cause.mCause = CauseFromName(aJson.at("cause").get<std::string>());
  aJson.at("count").get_to(cause.mCount);
  aJson.at("before").get_to(cause.mPreviousCount);
  aJson.at("expected").get_to(cause.mExpectedCount);
  cause.mHops = GroupsFromJson(aJson.at("hops"));
  cause.mEndpoints = GroupsFromJson(aJson.at("endpoints"));
  cause.mFailureDomains = GroupsFromJson(aJson.at("failure_domains"));
  cause.mWorkspaces = GroupsFromJson(aJson.at("workspaces"));
  cause.mTargets = GroupsFromJson(aJson.at("targets"));
  return cause;
}

ReportPoint
PointFromJson(const Json& aJson)
{
  ReportPoint point;
  aJson.at("minute").get_to(point.mMinute);
  aJson.at("served").get_to(point.mServed);
  for (const auto& [name, count] : aJson.at("causes").items()) {
    point.mCauses.push_back(
      { point.mMinute, CauseFromName(name), count.get<std::uint64_t>() });
  }
  return point;
}

Report
ReportFromJson(const Json& aJson)
{
  Report report;
  const auto first = aJson.at("first_minute").get<Minute>();
  const auto last = aJson.at("last_minute").get<Minute>();
  report.mWindow = MakeReportWindow(last, static_cast<int>(last - first + 1));
  aJson.at("requests").get_to(report.mRequests);
  aJson.at("requests_before").get_to(report.mPreviousRequests);
  aJson.at("not_served").get_to(report.mNotServed);
  aJson.at("not_served_before").get_to(report.mPreviousNotServed);
  aJson.at("missing_daemons").get_to(report.mMissingDaemons);
  for (const auto& it : aJson.at("causes")) {
    report.mCauses.push_back(CauseFromJson(it));
  }
  report.mEndpoints = GroupsFromJson(aJson.at("endpoints"));
  report.mFailureDomains = GroupsFromJson(aJson.at("failure_domains"));
  report.mWorkspaces = GroupsFromJson(aJson.at("workspaces"));
  for (const auto& it : aJson.at("minutes")) {
    report.mPoints.push_back(PointFromJson(it));
  }
  return report;
}

} // namespace

std::string
FormatReportJson(const Report& aReport)
{
  Json json{ { "first_minute", aReport.mWindow.mCurrent.mFirst },
             { "last_minute", aReport.mWindow.mCurrent.mLast },
             { "requests", aReport.mRequests },
             { "requests_before", aReport.mPreviousRequests },
             { "not_served", aReport.mNotServed },
             { "not_served_before", aReport.mPreviousNotServed },
             { "missing_daemons", aReport.mMissingDaemons },
             { "endpoints", GroupsToJson(aReport.mEndpoints) },
             { "failure_domains", GroupsToJson(aReport.mFailureDomains) },
             { "workspaces", GroupsToJson(aReport.mWorkspaces) } };
  json["causes"] = Json::array();
  for (const auto& it : aReport.mCauses) {
    json["causes"].push_back(CauseToJson(it));
  }
  json["minutes"] = Json::array();
  for (const auto& it : aReport.mPoints) {
    json["minutes"].push_back(PointToJson(it));
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<Report>
ParseReportJson(const std::string& aText)
{
  try {
    return ReportFromJson(Json::parse(aText));
  } catch (const Json::exception& e) {
    return absl::InvalidArgumentError(
      absl::StrCat("report: expected a report in JSON, found ", e.what()));
  }
}

} // namespace bulrushfold
