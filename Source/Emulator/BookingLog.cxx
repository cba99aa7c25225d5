#include "Emulator/BookingLog.h"

namespace bulrushfold {

void
BookingLog::Record(const std::string& aKey, ReportedOutcome aOutcome)
{
  mOutcomes[aKey] = aOutcome;
}

BookingReport
BookingLog::Compare(const Runs& aRuns) const
{
  BookingReport report;
  report.mBookings = mOutcomes.size();
  for (const auto& [key, outcome] : mOutcomes) {
    const auto it = aRuns.find(key);
    const std::uint64_t runs = it == aRuns.end() ? 0 : it->second;
    if (runs > 1) {
      report.mRepeatedRuns.push_back(key);
    }
    if (outcome == ReportedOutcome::NotRun && runs > 0) {
      report.mFalseNotRun.push_back(key);
    }
    if (outcome == ReportedOutcome::Ran && runs == 0) {
      report.mFalseAnswers.push_back(key);
    }
    if (outcome == ReportedOutcome::Unknown) {
      ++(runs > 0 ? report.mUnknownRan : report.mUnknownNotRun);
    }
  }
  return report;
}

} // namespace bulrushfold
