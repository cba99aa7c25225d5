#ifndef BULRUSHFOLD_EMULATOR_BOOKINGLOG_H
#define BULRUSHFOLD_EMULATOR_BOOKINGLOG_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bulrushfold {

/** What a caller was last told about a booking. */
enum class BookingClaim
{
  /** Answered: it ran exactly once. */
  Ran,
  /** Refused as not run, or never sent: it did not run. */
  NotRun,
  /** No answer or outcome unknown: it ran at most once. */
  Unknown,
};

/** Promises about bookings that the runs at the services contradict. */
struct BookingReport
{
  std::uint64_t mBookings = 0;
  /** Keys that ran more than once. */
  std::vector<std::string> mRepeatedRuns;
  /** Keys that ran although the caller was told "not run". */
  std::vector<std::string> mFalseNotRun;
  /** Keys that did not run although the caller received an answer. */
  std::vector<std::string> mFalseAnswers;
  /** Unknown outcomes that ran, and that did not run; both are allowed. */
  std::uint64_t mUnknownRan = 0;
  std::uint64_t mUnknownNotRun = 0;

  bool IsClean() const
  {
    return mRepeatedRuns.empty() && mFalseNotRun.empty() &&
           mFalseAnswers.empty();
  }
};

/** The claims about all bookings of a run, compared with what really ran. */
class BookingLog
{
public:
  /** Number of runs by Idempotency-Key. */
  using Runs = std::map<std::string, std::uint64_t>;

  /** Records the last claim about aKey. */
  void Record(const std::string& aKey, BookingClaim aClaim);
  /** Compares the claims with aRuns, the sum over all services. */
  BookingReport Compare(const Runs& aRuns) const;

private:
  std::map<std::string, BookingClaim> mClaims;
};

} // namespace bulrushfold

#endif
