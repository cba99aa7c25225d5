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

/**
 * Counts of the requests for one hop, endpoint, failure domain, workspace or
 * target.
 */
struct ReportGroup
{
  std::string mName;
  /** Only for endpoints; otherwise empty. */
  std::string mFailureDomain;
  /** Requests not served in time, in the current and the previous window. */
  std::uint64_t mCount = 0;
  std::uint64_t mPreviousCount = 0;
  /** All requests of the current window; 0 where they are not counted. */
  std::uint64_t mRequests = 0;
};

/** One cause; the groups are sorted by count, most frequent first. */
struct ReportCause
{
  Cause mCause = Cause::InternalError;
  std::uint64_t mCount = 0;
  std::uint64_t mPreviousCount = 0;
  /** mPreviousCount scaled to the number of requests in the current window. */
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

/** Counts of one minute; causes without requests are omitted. */
struct ReportPoint
{
  Minute mMinute = 0;
  std::uint64_t mServed = 0;
  std::vector<MinuteCount> mCauses;
};

/** Causes in the current window, compared with the previous window. */
struct Report
{
  ReportWindow mWindow;
  std::uint64_t mRequests = 0;
  std::uint64_t mPreviousRequests = 0;
  std::uint64_t mNotServed = 0;
  std::uint64_t mPreviousNotServed = 0;
  /** Daemons that did not answer; their requests may be missing. */
  std::vector<std::string> mMissingDaemons;
  /** Sorted by increase, then by count, in descending order. */
  std::vector<ReportCause> mCauses;
  std::vector<ReportGroup> mEndpoints;
  std::vector<ReportGroup> mFailureDomains;
  std::vector<ReportGroup> mWorkspaces;
  std::vector<ReportPoint> mPoints;
};

/**
 * Merges the report parts from several daemons. Each incarnation of a daemon
 * contributes one part: its own part, otherwise the largest copy.
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

/** Formats aReport as JSON; docs/admin-api.md describes the format. */
std::string FormatReportJson(const Report& aReport);

/**
 * Inverse of FormatReportJson. Returns InvalidArgument when aText is not a
 * report.
 */
absl::StatusOr<Report> ParseReportJson(const std::string& aText);

/** Formats aReport as text tables for a terminal. */
std::string FormatReportTable(const Report& aReport);

/** Formats aReport as one HTML page without external references. */
std::string FormatReportHtml(const Report& aReport);

} // namespace bulrushfold

#endif
