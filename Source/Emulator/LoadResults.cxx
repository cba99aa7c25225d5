#include "Emulator/LoadResults.h"

#include <array>

#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr std::array<std::pair<const char*, double>, 3> kQuantiles{
  { { "p50", 0.50 }, { "p95", 0.95 }, { "p99", 0.99 } }
};

ReportedOutcome
ReportedOutcomeOf(const LoadOutcome& aOutcome)
{
  const bool isRefused = aOutcome.mEnd == LoadEnd::Refused;
  if (aOutcome.mEnd == LoadEnd::Answered ||
      (isRefused && aOutcome.mProblem.mRan == RanStatus::Yes)) {
    return ReportedOutcome::Ran;
  }
  if ((isRefused && aOutcome.mProblem.mRan == RanStatus::No) ||
      !aOutcome.mMayHaveRun) {
    return ReportedOutcome::NotRun;
  }
  return ReportedOutcome::Unknown;
}

void
AddQuantiles(nlohmann::ordered_json& aMetrics,
             const std::string& aName,
             const SampleSet& aSamples)
{
  for (const auto& [name, probability] : kQuantiles) {
    aMetrics[absl::StrCat(aName, "_ms_", name)] =
      aSamples.Quantile(probability);
  }
}

} // namespace

LoadResults::LoadResults(const LoadSettings& aSettings)
  : mSettings(aSettings)
  , mFirstToken(aSettings.mRequests)
  , mTokenInterval(aSettings.mRequests)
{
}

void
LoadResults::Add(const LoadCall& aCall, const LoadOutcome& aOutcome)
{
  ++mRequests;
  ++mByKind[std::string(LoadKindName(aCall.mKind))];
  ++mByEnd[aOutcome.mEnd];
  mAttempts += aOutcome.mAttempts;
  mTokens += aOutcome.mTokens;
  if (aOutcome.mEnd == LoadEnd::Refused) {
    ++mRefused[aOutcome.mProblem.mCode];
  }
  std::set<AnswerFault> faults = aOutcome.mFaults;
  // Two answers with the same id mean that one went to the wrong caller.
  if (!aOutcome.mRequestId.empty() &&
      !mRequestIds.insert(aOutcome.mRequestId).second) {
    faults.insert(AnswerFault::WrongRequestId);
  }
  bool isWrong = false;
  bool isRepeated = false;
  for (const AnswerFault it : faults) {
    ++mFaults[it];
    (IsRepetition(it) ? isRepeated : isWrong) = true;
  }
  mWrong += isWrong ? 1 : 0;
  mRepeated += isRepeated ? 1 : 0;
  AddTimes(aCall, aOutcome);
  AddBooking(aCall, aOutcome);
}

void
LoadResults::AddTimes(const LoadCall& aCall, const LoadOutcome& aOutcome)
{
  if (!aCall.IsStreamed()) {
    return;
  }
  ++mStreams;
  if (aOutcome.mEnd != LoadEnd::Answered) {
    return;
  }
  mFirstToken.Add(ToMilliseconds(aOutcome.mFirstToken));
  mTokenInterval.Add(ToMilliseconds(aOutcome.mTokenInterval));
  if (aOutcome.mFirstToken <= mSettings.mFirstTokenTarget &&
      aOutcome.mTokenInterval <= mSettings.mTokenTarget) {
    ++mWithinTargets;
  }
}

void
LoadResults::AddBooking(const LoadCall& aCall, const LoadOutcome& aOutcome)
{
  if (aCall.mKind == LoadKind::Booking) {
    mBookingLog.Record(aCall.mKey, ReportedOutcomeOf(aOutcome));
  }
}

void
LoadResults::CheckBookings(const BookingLog::Runs& aRuns)
{
  mBookings = mBookingLog.Compare(aRuns);
}

bool
LoadResults::IsClean() const
{
  return mWrong == 0 && mRepeated == 0 && mUnreadServices == 0 &&
         mBookings.IsClean();
}

nlohmann::ordered_json
LoadResults::Metrics(Duration aElapsed) const
{
  const auto count = [this](LoadEnd aEnd) {
    const auto it = mByEnd.find(aEnd);
    return it == mByEnd.end() ? 0 : it->second;
  };
  const double seconds = ToSeconds(aElapsed);
  nlohmann::ordered_json metrics;
  metrics["requests"] = mRequests;
  for (const auto& [kind, n] : mByKind) {
    metrics["requests_" + kind] = n;
  }
  metrics["answered"] = count(LoadEnd::Answered);
  metrics["refused"] = count(LoadEnd::Refused);
  for (const auto& [code, n] : mRefused) {
    metrics["refused_" + code] = n;
  }
  metrics["lost"] = count(LoadEnd::Lost);
  metrics["cancelled"] = count(LoadEnd::Cancelled);
  metrics["wrong"] = mWrong;
  metrics["duplicated"] = mRepeated + mBookings.mRepeatedRuns.size();
  for (const auto& [fault, n] : mFaults) {
    metrics["fault_" + std::string(AnswerFaultName(fault))] = n;
  }
  metrics["retries"] = mAttempts - std::min(mAttempts, mRequests);
  metrics["bookings"] = mBookings.mBookings;
  metrics["bookings_repeated"] = mBookings.mRepeatedRuns.size();
  metrics["bookings_false_not_run"] = mBookings.mFalseNotRun.size();
  metrics["bookings_false_answer"] = mBookings.mFalseAnswers.size();
  metrics["bookings_unknown_ran"] = mBookings.mUnknownRan;
  metrics["bookings_unknown_not_run"] = mBookings.mUnknownNotRun;
  metrics["services_unread"] = mUnreadServices;
  AddQuantiles(metrics, "ttft", mFirstToken);
  AddQuantiles(metrics, "token", mTokenInterval);
  metrics["tokens"] = mTokens;
  metrics["streams"] = mStreams;
  metrics["within_targets"] = mWithinTargets;
  metrics["elapsed_s"] = seconds;
  const double perSecond = seconds > 0 ? 1 / seconds : 0;
  metrics["requests_per_s"] = static_cast<double>(mRequests) * perSecond;
  metrics["tokens_per_s"] = static_cast<double>(mTokens) * perSecond;
  metrics["goodput_per_s"] = static_cast<double>(mWithinTargets) * perSecond;
  return metrics;
}

} // namespace bulrushfold
