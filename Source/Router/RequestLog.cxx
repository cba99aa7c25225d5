#include "Router/RequestLog.h"

#include <utility>

#include "Base/EnumNames.h"
#include "Base/Log.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<RequestOutcome, 4> kOutcomeNames{ {
  { RequestOutcome::Answered, "answered" },
  { RequestOutcome::Refused, "refused" },
  { RequestOutcome::Aborted, "broken" },
  { RequestOutcome::CallerDisconnected, "caller_gone" },
} };

const MetricInfo kRequests{ "bulrushfold_requests_total",
                            "Requests by route and outcome.",
                            { "route", "outcome", "reason" } };
const MetricInfo kLate{ "bulrushfold_late_answers_total",
                        "Answers by route and the goal that they missed.",
                        { "route", "late" } };
const MetricInfo kLatency{
  "bulrushfold_request_seconds",
  "Time from arrival to the end of the answer, by route.",
  { "route" }
};
const MetricInfo kFirstByte{
  "bulrushfold_first_byte_seconds",
  "Time from arrival to the first byte of the answer, by route.",
  { "route" }
};
const MetricInfo kSends{ "bulrushfold_sends_total",
                         "Sends to endpoints that ended, by step and end.",
                         { "step", "end" } };

const MetricInfo kPlacements{
  "bulrushfold_placements_total",
  "Endpoints chosen for requests, by step and by who chose them.",
  { "step", "by" }
};
const MetricInfo kPlacementRefusals{
  "bulrushfold_placement_refusals_total",
  "Plain requests that got no endpoint, by route and cause.",
  { "route", "cause" }
};

std::string
RouteName(const RoutedRequest& aRequest)
{
  return aRequest.mParameters.mRoute == nullptr
           ? "none"
           : aRequest.mParameters.mRoute->mName;
}
} // namespace

std::string_view
RequestOutcomeName(RequestOutcome aOutcome)
{
  return FindEnumName(kOutcomeNames, aOutcome);
}

RequestLog::RequestLog(const Clock& aClock,
                       std::string aOwnName,
                       const EndpointDirectory& aDirectory,
                       Metrics& aMetrics)
  : mClock(aClock)
  , mOwnName(std::move(aOwnName))
  , mDirectory(aDirectory)
  , mMetrics(aMetrics)
{
}

const std::string&
RequestLog::PlacerOf(const RoutedRequest& aRequest) const
{
  return aRequest.mPlacedBy.empty() ? mOwnName : aRequest.mPlacedBy;
}

void
RequestLog::CountPlacement(const RoutedRequest& aRequest,
                           std::string_view aStep)
{
  mMetrics
    .GetCounter(
      kPlacements,
      { std::string(aStep), aRequest.mPlacedBy.empty() ? "self" : "owner" })
    .Add();
}

std::uint64_t
RequestLog::ConfigVersion(const RoutedRequest& aRequest) const
{
  return aRequest.mTable ? aRequest.mTable->Config().mVersion : 0;
}

std::string_view
RequestLog::MissedTarget(const RoutedRequest& aRequest, Instant aNow)
{
  const Route* route = aRequest.mParameters.mRoute;
  if (route == nullptr) {
    return "no";
  }
  const bool isStream = route->mKind == RequestKind::Stream;
  const Instant answered = isStream && aRequest.mFirstByteAt != Instant()
                             ? aRequest.mFirstByteAt
                             : aNow;
  if (answered - aRequest.mParameters.mArrival > route->mLatencyTarget) {
    return isStream ? "first_event" : "answer";
  }
  if (route->mEventIntervalTarget > Duration::zero() &&
      aRequest.mLongestEventInterval > route->mEventIntervalTarget) {
    return "pause";
  }
  return "no";
}

Duration
RequestLog::Since(Instant aTime) const
{
  return mClock.Now() - aTime;
}

void
RequestLog::Sent(const RoutedRequest& aRequest,
                 std::string_view aStep,
                 const std::string& aEndpoint,
                 double aLoad,
                 std::size_t aCandidates)
{
  CountPlacement(aRequest, aStep);
  LogEvent(
    LogLevel::Info,
    "request_sent",
    { { "id", aRequest.mMetadata.mId },
      { "route", RouteName(aRequest) },
      { "service", aRequest.mParameters.mService },
      { "step", aStep },
      { "endpoint", aEndpoint },
      { "software", mDirectory.SoftwareOf(aEndpoint) },
      { "placed_by", PlacerOf(aRequest) },
      { "load", aLoad },
      { "candidates", aCandidates },
      { "config", ConfigVersion(aRequest) },
      { "registry", mDirectory.Revision() },
      { "waited_ms", ToMilliseconds(Since(aRequest.mParameters.mArrival)) },
      { "left_ms",
        ToMilliseconds(aRequest.mParameters.mDeadline - mClock.Now()) } });
}

void
RequestLog::SendEnded(const RoutedRequest& aRequest,
                      std::string_view aStep,
                      const std::string& aEndpoint,
                      std::string_view aOutcome,
                      int aStatus,
                      Duration aDuration)
{
  mMetrics.GetCounter(kSends, { std::string(aStep), std::string(aOutcome) })
    .Add();
  // A send without an answer explains a failure. It is logged as a warning,
  // because ordinary lines are dropped first when there are too many.
  LogEvent(aStatus == 0 && aOutcome != "answered" ? LogLevel::Warning
                                                  : LogLevel::Info,
           "send_ended",
           { { "id", aRequest.mMetadata.mId },
             { "step", aStep },
             { "endpoint", aEndpoint },
             { "end", aOutcome },
             { "status", aStatus },
             { "took_ms", ToMilliseconds(aDuration) } });
}

void
RequestLog::RunSilent(const RoutedRequest& aRequest,
                      const std::string& aEndpoint,
                      std::optional<RefusalReason> aKeptFor)
{
  LogEvent(
    LogLevel::Info,
    "run_silent",
    { { "id", aRequest.mMetadata.mId },
      { "endpoint", aEndpoint },
      { "replacement", aKeptFor ? RefusalReasonName(*aKeptFor) : "prepared" },
      { "sends", aRequest.mSends } });
}

void
RequestLog::MoveSkipped(const RoutedRequest& aRequest,
                        const std::string& aEndpoint,
                        const absl::Status& aReason)
{
  LogEvent(LogLevel::Info,
           "move_skipped",
           { { "id", aRequest.mMetadata.mId },
             { "endpoint", aEndpoint },
             { "reason", aReason.message() } });
}

void
RequestLog::Queued(const RoutedRequest& aRequest, std::size_t aWaiting)
{
  LogEvent(
    LogLevel::Info,
    "request_queued",
    { { "id", aRequest.mMetadata.mId },
      { "route", RouteName(aRequest) },
      { "service", aRequest.mParameters.mService },
      { "prompt_tokens",
        aRequest.mMetadata.mTokens ? aRequest.mMetadata.mTokens->mPrompt : 0 },
      { "guessed_answer_tokens",
        aRequest.mMetadata.mTokens
          ? aRequest.mMetadata.mTokens->mEstimatedAnswer.value_or(0)
          : 0 },
      { "patience_ms",
        ToMilliseconds(
          aRequest.mMetadata.mCallerTimeout.value_or(Duration::zero())) },
      { "waiting", aWaiting },
      { "config", ConfigVersion(aRequest) },
      { "registry", mDirectory.Revision() } });
}

void
RequestLog::PlacementRefused(const RoutedRequest& aRequest,
                             const PlainRefusal& aRefusal)
{
  const std::string route = RouteName(aRequest);
  const std::string_view cause = PlainRefusalCauseName(aRefusal.mCause);
  mMetrics.GetCounter(kPlacementRefusals, { route, std::string(cause) }).Add();
  LogEvent(LogLevel::Warning,
           "placement_refused",
           { { "id", aRequest.mMetadata.mId },
             { "route", route },
             { "placed_by", PlacerOf(aRequest) },
             { "cause", cause },
             { "ahead", aRefusal.mAhead },
             { "target_left_ms", ToMilliseconds(aRefusal.mTargetLeft) },
             { "queued_ms", ToMilliseconds(aRefusal.mWaited) },
             { "sends", aRequest.mSends } });
}

void
RequestLog::Placed(const RoutedRequest& aRequest,
                   const StreamPlacement& aPlacement)
{
  CountPlacement(aRequest, "stream");
  LogEvent(
    LogLevel::Info,
    "request_placed",
    { { "id", aRequest.mMetadata.mId },
      { "placed_by", PlacerOf(aRequest) },
      { "decode", aPlacement.mDecode },
      { "software", mDirectory.SoftwareOf(aPlacement.mDecode) },
      { "resumes", aRequest.mMetadata.mResumedAttempt },
      { "decode_runs", aPlacement.mDecodeRuns },
      { "decode_peak_tokens", aPlacement.mDecodePeak },
      { "prefill", aPlacement.mPrefill },
      { "prefill_requests", aPlacement.mPrefillLoad.mRequests },
      { "kept_tokens", aPlacement.mCachedTokens },
      { "registry", mDirectory.Revision() },
      { "waited_ms", ToMilliseconds(Since(aRequest.mParameters.mArrival)) } });
}

void
RequestLog::Ended(const RoutedRequest& aRequest,
                  RequestOutcome aOutcome,
                  int aStatus,
                  std::string_view aReason,
                  const std::string& aEndpoint)
{
  const std::string route = RouteName(aRequest);
  const Instant now = mClock.Now();
  const Instant arrival = aRequest.mParameters.mArrival;
  mMetrics
    .GetCounter(kRequests,
                { route,
                  std::string(RequestOutcomeName(aOutcome)),
                  std::string(aReason) })
    .Add();
  mMetrics.GetHistogram(kLatency, { route }).Record(now - arrival);
  const bool hasFirst = aRequest.mFirstByteAt != Instant();
  if (hasFirst) {
    mMetrics.GetHistogram(kFirstByte, { route })
      .Record(aRequest.mFirstByteAt - arrival);
  }
  const std::string_view late =
    aOutcome == RequestOutcome::Answered ? MissedTarget(aRequest, now) : "no";
  if (aOutcome == RequestOutcome::Answered) {
    mMetrics.GetCounter(kLate, { route, std::string(late) }).Add();
  }
  // Ordinary lines are dropped first when there are too many, so only answers
  // that met their targets are logged as such.
  const bool isOrdinary = aOutcome == RequestOutcome::Answered && late == "no";
  LogEvent(
    isOrdinary ? LogLevel::Info : LogLevel::Warning,
    "request_ended",
    { { "id", aRequest.mMetadata.mId },
      { "route", route },
      { "outcome", RequestOutcomeName(aOutcome) },
      { "reason", aReason },
      { "status", aStatus },
      { "endpoint", aEndpoint },
      { "sends", aRequest.mSends },
      { "late", late },
      { "first_ms",
        hasFirst ? ToMilliseconds(aRequest.mFirstByteAt - arrival) : -1 },
      { "longest_pause_ms", ToMilliseconds(aRequest.mLongestEventInterval) },
      { "took_ms", ToMilliseconds(now - arrival) },
      { "config", ConfigVersion(aRequest) } });
}

} // namespace bulrushfold
