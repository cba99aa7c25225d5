#include "Router/RequestLog.h"

#include "Base/Log.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace bulrushfold {

namespace {
const MetricInfo kPartDecisions{
  "bulrushfold_prompt_part_decisions_total",
  "Prompt parts that became refused or accepted again.",
  { "change" }
};
const MetricInfo kSuspectDecisions{
  "bulrushfold_crash_suspect_decisions_total",
  "Requests that became refused or accepted again.",
  { "change" }
};
const MetricInfo kResumed{
  "bulrushfold_resumed_streams_total",
  "Streams that callers resumed, by how their software version is known.",
  { "source" }
};
const MetricInfo kServiceReachable{
  "bulrushfold_service_reachable",
  "0 while this daemon reaches no endpoint of the service, otherwise 1.",
  { "service" }
};

/** Keys of requests and prompt parts, as log lines name them. */
std::string
FormatParts(const std::vector<std::uint64_t>& aParts)
{
  return absl::StrJoin(
    aParts, ",", [](std::string* aText, std::uint64_t aPart) {
      absl::StrAppend(aText, absl::Hex(aPart, absl::kZeroPad16));
    });
}

bool
IsPromptPart(const RefusedPart& aPart)
{
  return aPart.mKind == CrashKeyKind::PromptPart;
}
} // namespace

void
RequestLog::RunLost(const RoutedRequest& aRequest,
                    const std::string& aEndpoint,
                    Duration aAnswering)
{
  LogEvent(LogLevel::Warning,
           "run_lost",
           { { "id", aRequest.mMetadata.mId },
             { "endpoint", aEndpoint },
             { "request", FormatParts({ aRequest.mHash }) },
             { "content", FormatParts({ aRequest.mCrashKeys.mContent }) },
             { "parts", FormatParts(aRequest.mMetadata.mSharedPromptParts) },
             { "answering_ms", ToMilliseconds(aAnswering) } });
}

void
RequestLog::SuspectRefused(const RoutedRequest& aRequest,
                           const RefusedPart& aPart)
{
  LogEvent(LogLevel::Warning,
           IsPromptPart(aPart) ? "prompt_refused" : "crash_suspect_refused",
           { { "id", aRequest.mMetadata.mId },
             { CrashKeyKindName(aPart.mKind), FormatParts({ aPart.mPart }) },
             { "crashes", aPart.mCrashes },
             { "lost_runs", aPart.mOwnRuns + aPart.mPeerRuns } });
}

void
RequestLog::PartDecided(const RefusedPart& aPart, bool aIsRefused, Instant aNow)
{
  const std::string change = aIsRefused ? "refused" : "accepted";
  mMetrics
    .GetCounter(IsPromptPart(aPart) ? kPartDecisions : kSuspectDecisions,
                { change })
    .Add();
  LogEvent(LogLevel::Warning,
           IsPromptPart(aPart) ? "prompt_part_decided"
                               : "crash_suspect_decided",
           { { CrashKeyKindName(aPart.mKind), FormatParts({ aPart.mPart }) },
             { "change", change },
             { "crashes", aPart.mCrashes },
             { "own_runs", aPart.mOwnRuns },
             { "peer_runs", aPart.mPeerRuns },
             { "first_age_ms", ToMilliseconds(aNow - aPart.mFirstLossAt) },
             { "last_age_ms", ToMilliseconds(aNow - aPart.mLastLossAt) } });
}

void
RequestLog::VersionDecided(const RoutedRequest& aRequest,
                           const VersionDecision& aDecision,
                           std::size_t aAsked,
                           std::size_t aAnswered)
{
  const std::string_view source = VersionSourceName(aDecision.mSource);
  mMetrics.GetCounter(kResumed, { std::string(source) }).Add();
  LogEvent(
    aDecision.mSource == VersionSource::Unknown ? LogLevel::Warning
                                                : LogLevel::Info,
    "version_decided",
    { { "id", aRequest.mMetadata.mId },
      { "resumes", aRequest.mMetadata.mResumedAttempt },
      { "service", aRequest.mParameters.mService },
      { "last_event", aRequest.mMetadata.mLastEventId },
      { "source", source },
      { "software", aDecision.mSoftware.value_or("") },
      { "asked", aAsked },
      { "answered", aAnswered },
      { "registry", mDirectory.Revision() },
      { "waited_ms", ToMilliseconds(Since(aRequest.mParameters.mArrival)) } });
}

void
RequestLog::ReachChanged(const ReachChange& aChange)
{
  mMetrics.GetGauge(kServiceReachable, { aChange.mService })
    .Set(aChange.mIsReachable ? 1 : 0);
  if (aChange.mIsReachable) {
    LogEvent(LogLevel::Warning,
             "service_reachable",
             { { "service", aChange.mService },
               { "endpoint", aChange.mEndpoint },
               { "result", SendResultName(aChange.mResult) },
               { "after_ms", ToMilliseconds(aChange.mSpan) } });
    return;
  }
  LogEvent(LogLevel::Warning,
           "service_unreachable",
           { { "service", aChange.mService },
             { "endpoint", aChange.mEndpoint },
             { "result", SendResultName(aChange.mResult) },
             { "failed", aChange.mFailed },
             { "usable", aChange.mUsable },
             { "last_answer_ms", ToMilliseconds(aChange.mSpan) } });
}

} // namespace bulrushfold
