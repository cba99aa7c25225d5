#ifndef BULRUSHFOLD_OUTCOME_REPORT_H
#define BULRUSHFOLD_OUTCOME_REPORT_H

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Outcome/OutcomeAggregate.h"
#include "Outcome/ReportPart.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** Requests counted under one name. */
struct ReportGroup
{
  std::string mName;
  /** Only of endpoints. */
  std::string mFailureDomain;
  /** Requests that were not served in time, now and in the time before. */
  std::uint64_t mCount = 0;
  std::uint64_t mPreviousCount = 0;
  /** All requests, where they can be told; otherwise 0. */
  std::uint64_t mRequests = 0;
};

/** One cause with the groups where it occurred, most frequent first. */
struct ReportCause
{
  Cause mCause = Cause::InternalError;
  std::uint64_t mCount = 0;
  std::uint64_t mPreviousCount = 0;
  /** mPreviousCount scaled to the present number of requests. */
  double mExpectedCount = 0;
  std::vector<ReportGroup> mHops;
  std::vector<ReportGroup> mEndpoints;
  std::vector<ReportGroup> mFailureDomains;
  std::vector<ReportGroup> mWorkspaces;
  std::vector<ReportGroup> mTargets;

  double Increase() const
  {
    return static_cast<double>(mCount) - mExpectedCount;
  }
};

/** Counts of one minute; causes without requests are left out. */
struct ReportPoint
{
  Minute mMinute = 0;
  std::uint64_t mServed = 0;
  std::vector<MinuteCount> mCauses;
};

/** Causes of a period, compared with the period before. */
struct Report
{
  ReportWindow mWindow;
  std::uint64_t mRequests = 0;
  std::uint64_t mPreviousRequests = 0;
  std::uint64_t mNotServed = 0;
  std::uint64_t mPreviousNotServed = 0;
  /** Daemons that did not answer; their requests may be missing. */
  std::vector<std::string> mMissingDaemons;
  /** Ranked: the greatest increase first, then the greatest count. */
  std::vector<ReportCause> mCauses;
  std::vector<ReportGroup> mEndpoints;
  std::vector<ReportGroup> mFailureDomains;
  std::vector<ReportGroup> mWorkspaces;
  std::vector<ReportPoint> mPoints;
};

/**
 * Merges the parts of several daemons. Of each incarnation only one part
 * counts: its own, otherwise the largest copy.
 */
class ReportBuilder
{
public:
  explicit ReportBuilder(const ReportWindow& aWindow)
    : mWindow(aWindow)
  {
  }

  void Add(const ReportPart& aPart);
  void AddMissingDaemon(std::string aDaemon);
  Report Build() const;

private:
  ReportWindow mWindow;
  std::map<std::pair<std::string, std::string>, ReportPart> mParts;
  std::vector<std::string> mMissing;
};

/** JSON text of aReport; docs/admin-api.md describes it. */
std::string FormatReportJson(const Report& aReport);

/** Inverse of FormatReportJson; InvalidArgument when aText is not a report. */
absl::StatusOr<Report> ParseReportJson(const std::string& aText);

/** Table for a terminal. */
std::string FormatReportTable(const Report& aReport);

/** One HTML page without external references. */
std::string FormatReportHtml(const Report& aReport);

} // namespace bulrushfold

#endif
