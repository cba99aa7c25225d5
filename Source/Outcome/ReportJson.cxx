#include "Outcome/Report.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

Json
PlacesToJson(const std::vector<ReportPlace>& aPlaces)
{
  Json json = Json::array();
  for (const auto& it : aPlaces) {
    Json place{ { "name", it.mName },
                { "count", it.mCount },
                { "before", it.mBefore } };
    if (!it.mFailureDomain.empty()) {
      place["failure_domain"] = it.mFailureDomain;
    }
    if (it.mRequests > 0) {
      place["requests"] = it.mRequests;
    }
    json.push_back(std::move(place));
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
           { "before", aCause.mBefore },
           { "expected", aCause.mExpected },
           { "hops", PlacesToJson(aCause.mHops) },
           { "endpoints", PlacesToJson(aCause.mEndpoints) },
           { "failure_domains", PlacesToJson(aCause.mFailureDomains) },
           { "workspaces", PlacesToJson(aCause.mWorkspaces) },
           { "targets", PlacesToJson(aCause.mTargets) } };
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

/** Reads members; missing or mistyped ones throw Json::exception. */
std::vector<ReportPlace>
PlacesFromJson(const Json& aJson)
{
  std::vector<ReportPlace> places;
  for (const auto& it : aJson) {
    ReportPlace place;
    it.at("name").get_to(place.mName);
    it.at("count").get_to(place.mCount);
    it.at("before").get_to(place.mBefore);
    place.mFailureDomain = it.value("failure_domain", std::string());
    place.mRequests = it.value("requests", std::uint64_t{ 0 });
    places.push_back(std::move(place));
  }
  return places;
}

Cause
CauseFromName(const std::string& aName)
{
  // A newer daemon may name a cause that this program does not know.
  return FindCause(aName).value_or(Cause::InternalError);
}

ReportCause
CauseFromJson(const Json& aJson)
{
  ReportCause cause;
  cause.mCause = CauseFromName(aJson.at("cause").get<std::string>());
  aJson.at("count").get_to(cause.mCount);
  aJson.at("before").get_to(cause.mBefore);
  aJson.at("expected").get_to(cause.mExpected);
  cause.mHops = PlacesFromJson(aJson.at("hops"));
  cause.mEndpoints = PlacesFromJson(aJson.at("endpoints"));
  cause.mFailureDomains = PlacesFromJson(aJson.at("failure_domains"));
  cause.mWorkspaces = PlacesFromJson(aJson.at("workspaces"));
  cause.mTargets = PlacesFromJson(aJson.at("targets"));
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
  aJson.at("requests_before").get_to(report.mRequestsBefore);
  aJson.at("not_served").get_to(report.mNotServed);
  aJson.at("not_served_before").get_to(report.mNotServedBefore);
  aJson.at("missing_daemons").get_to(report.mMissingDaemons);
  for (const auto& it : aJson.at("causes")) {
    report.mCauses.push_back(CauseFromJson(it));
  }
  report.mEndpoints = PlacesFromJson(aJson.at("endpoints"));
  report.mFailureDomains = PlacesFromJson(aJson.at("failure_domains"));
  report.mWorkspaces = PlacesFromJson(aJson.at("workspaces"));
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
             { "requests_before", aReport.mRequestsBefore },
             { "not_served", aReport.mNotServed },
             { "not_served_before", aReport.mNotServedBefore },
             { "missing_daemons", aReport.mMissingDaemons },
             { "endpoints", PlacesToJson(aReport.mEndpoints) },
             { "failure_domains", PlacesToJson(aReport.mFailureDomains) },
             { "workspaces", PlacesToJson(aReport.mWorkspaces) } };
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
