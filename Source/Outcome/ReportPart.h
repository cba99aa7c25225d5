#ifndef BULRUSHFOLD_OUTCOME_REPORTPART_H
#define BULRUSHFOLD_OUTCOME_REPORTPART_H

#include <string>
#include <vector>

#include "Outcome/OutcomeAggregate.h"
#include "Outcome_types.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** The minutes of a report, and as many before them for comparison. */
struct ReportWindow
{
  MinuteRange mCurrent;
  MinuteRange mPrevious;
};

/** Longest report; the counts are kept for twice this time. */
constexpr int kMaxReportMinutes = 60;

/**
 * Window of the last aMinutes (clamped to 1 to kMaxReportMinutes) up to and
 * including aLast. All daemons of one report must be asked for the same one.
 */
ReportWindow MakeReportWindow(Minute aLast, int aMinutes);

/** Counts of one daemon's incarnation. */
struct ReportPart
{
  std::string mDaemon;
  std::string mIncarnation;
  /** True when the daemon itself made this part, false for copies. */
  bool mIsOwn = false;
  OutcomeCounts mCurrent;
  OutcomeCounts mPrevious;
  /** Minutes of the current window. */
  std::vector<MinuteCount> mMinutes;
};

/** Payload of a REPORT reply. */
wire::ReportReply EncodeReportParts(const std::vector<ReportPart>& aParts);

/** InvalidArgument: an index or number in aReply is not valid. */
absl::StatusOr<std::vector<ReportPart>> DecodeReportParts(
  const wire::ReportReply& aReply);

} // namespace bulrushfold

#endif
