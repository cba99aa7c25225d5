#include "Emulator/BookingLog.h"

namespace bulrushfold {

void
BookingLog::Record(const std::string& aKey, BookingClaim aClaim)
{
  mClaims[aKey] = aClaim;
}

BookingReport
BookingLog::Compare(const Runs& aRuns) const
{
  BookingReport report;
  report.mBookings = mClaims.size();
  for (const auto& [key, claim] : mClaims) {
    const auto it = aRuns.find(key);
    const std::uint64_t runs = it == aRuns.end() ? 0 : it->second;
    if (runs > 1) {
      report.mRepeatedRuns.push_back(key);
    }
    if (claim == BookingClaim::NotRun && runs > 0) {
      report.mFalseNotRun.push_back(key);
    }
    if (claim == BookingClaim::Ran && runs == 0) {
      report.mFalseAnswers.push_back(key);
    }
    if (claim == BookingClaim::Unknown) {
      ++(runs > 0 ? report.mUnknownRan : report.mUnknownNotRun);
    }
  }
  return report;
}

} // namespace bulrushfold
