#ifndef BULRUSHFOLD_OUTCOME_REPORTPART_H
#define BULRUSHFOLD_OUTCOME_REPORTPART_H

#include <string>
#include <vector>

#include "Outcome/OutcomeAggregate.h"
#include "Outcome_types.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** The minutes of a report, and the same number before for comparison. */
struct ReportWindow
{
  MinuteRange mCurrent;
  MinuteRange mPrevious;
};

/** Longest report. OutcomeAggregate stores the counts for twice this time. */
constexpr int kMaxReportMinutes = 60;

/**
 * Returns the window of the last aMinutes minutes up to and including aLast;
 * aMinutes is clamped to the range from 1 to kMaxReportMinutes. The queries to
 * all daemons of one report must have the same window.
 */
ReportWindow MakeReportWindow(Minute aLast, int aMinutes);

/** Counts of one incarnation of a daemon. */
struct ReportPart
{
  std::string mDaemon;
  std::string mIncarnation;
  /** True when the daemon itself made this part; false for a copy. */
  bool mIsOwn = false;
  OutcomeCounts mCurrent;
  OutcomeCounts mPrevious;
  /** Counts by minute of the current window. */
  std::vector<MinuteCount> mMinutes;
};

/** Encodes the payload of a REPORT reply. */
wire::ReportReply EncodeReportParts(const std::vector<ReportPart>& aParts);

/**
 * Decodes the payload of a REPORT reply. Returns InvalidArgument when an index
 * or number in aReply is invalid.
 */
absl::StatusOr<std::vector<ReportPart>> DecodeReportParts(
  const wire::ReportReply& aReply);

} // namespace bulrushfold

#endif
