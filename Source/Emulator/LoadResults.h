#ifndef BULRUSHFOLD_EMULATOR_LOADRESULTS_H
#define BULRUSHFOLD_EMULATOR_LOADRESULTS_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "Base/Clock.h"
#include "Emulator/AnswerChecker.h"
#include "Emulator/BookingLog.h"
#include "Emulator/LoadPlan.h"
#include "Emulator/LoadSettings.h"
#include "Emulator/SampleSet.h"

namespace bulrushfold {

/** How a request ended from the view of its caller. */
enum class LoadEnd
{
  Answered,
  /** The answer was a problem. */
  Refused,
  /** No attempt received a complete answer. */
  Lost,
  /** The caller cancelled. */
  Cancelled,
};

/** One finished request. */
struct LoadOutcome
{
  LoadEnd mEnd = LoadEnd::Lost;
  ProblemAnswer mProblem;
  std::set<AnswerFault> mFaults;
  std::string mRequestId;
  std::uint64_t mAttempts = 0;
  /** True when some byte may have been sent to a daemon. */
  bool mMayHaveRun = false;
  /** Latencies of an answer with tokens; 0 for others. */
  Duration mFirstToken{};
  Duration mTokenInterval{};
  std::uint64_t mTokens = 0;
};

/** Counts and times of a load run. */
class LoadResults
{
public:
  explicit LoadResults(const LoadSettings& aSettings);

  void Add(const LoadCall& aCall, const LoadOutcome& aOutcome);
  /** Compares the outcomes of the bookings with the runs at the services. */
  void CheckBookings(const BookingLog::Runs& aRuns);
  /** Called when the runs of a service could not be read. */
  void ReportUnreadService() { ++mUnreadServices; }

  /** Metrics by name, in the order of the output. */
  nlohmann::ordered_json Metrics(Duration aElapsed) const;
  /**
   * True when no answer was wrong or repeated, the runs of all services could
   * be read and they agree with the reported outcomes of the bookings.
   */
  bool IsClean() const;

private:
  void AddBooking(const LoadCall& aCall, const LoadOutcome& aOutcome);
  void AddTimes(const LoadCall& aCall, const LoadOutcome& aOutcome);

  const LoadSettings& mSettings;
  std::uint64_t mRequests = 0;
  std::map<std::string, std::uint64_t> mByKind;
  std::map<LoadEnd, std::uint64_t> mByEnd;
  std::map<std::string, std::uint64_t> mRefused;
  std::map<AnswerFault, std::uint64_t> mFaults;
  std::uint64_t mWrong = 0;
  std::uint64_t mRepeated = 0;
  std::uint64_t mAttempts = 0;
  std::uint64_t mTokens = 0;
  std::uint64_t mStreams = 0;
  std::uint64_t mWithinTargets = 0;
  std::uint64_t mUnreadServices = 0;
  SampleSet mFirstToken;
  SampleSet mTokenInterval;
  std::set<std::string> mRequestIds;
  BookingLog mBookingLog;
  BookingReport mBookings;
};

} // namespace bulrushfold

#endif
