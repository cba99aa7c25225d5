#ifndef BULRUSHFOLD_EMULATOR_BOOKINGLOG_H
#define BULRUSHFOLD_EMULATOR_BOOKINGLOG_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bulrushfold {

/** Outcome of a booking according to the last answer to its caller. */
enum class ReportedOutcome
{
  /** Answered: the booking must have run exactly once. */
  Ran,
  /** Refused as not run, or never sent: the booking must not have run. */
  NotRun,
  /** No answer, or outcome unknown: the booking may have run once. */
  Unknown,
};

/** Differences between the reported outcomes and the runs at the services. */
struct BookingReport
{
  std::uint64_t mBookings = 0;
  /** Keys that ran more than once. */
  std::vector<std::string> mRepeatedRuns;
  /** Keys that ran although the answer to the caller said "not run". */
  std::vector<std::string> mFalseNotRun;
  /** Keys that did not run although the caller received an answer. */
  std::vector<std::string> mFalseAnswers;
  /** Bookings with an unknown outcome that ran or did not run; both valid. */
  std::uint64_t mUnknownRan = 0;
  std::uint64_t mUnknownNotRun = 0;

  bool IsClean() const
  {
    return mRepeatedRuns.empty() && mFalseNotRun.empty() &&
           mFalseAnswers.empty();
  }
};

/** Reported outcomes of all bookings of a load run. */
class BookingLog
{
public:
  /** Number of runs by Idempotency-Key. */
  using Runs = std::map<std::string, std::uint64_t>;

  /** Records the outcome of aKey, replacing an earlier one. */
  void Record(const std::string& aKey, ReportedOutcome aOutcome);
  /** Compares the outcomes with aRuns, the sum over all services. */
  BookingReport Compare(const Runs& aRuns) const;

private:
  std::map<std::string, ReportedOutcome> mOutcomes;
};

} // namespace bulrushfold

#endif
