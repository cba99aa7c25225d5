#include "Outcome/RequestMetrics.h"

#include "Base/Log.h"

namespace bulrushfold {

namespace {

const MetricInfo&
RequestsInfo()
{
  static const MetricInfo kInfo{ "bulrushfold_requests_total",
                                 "Finished requests by status and cause.",
                                 { "workspace", "status", "cause" } };
  return kInfo;
}

const MetricInfo&
TokensInfo()
{
  static const MetricInfo kInfo{ "bulrushfold_tokens_total",
                                 "Tokens delivered to callers.",
                                 { "workspace" } };
  return kInfo;
}

const MetricInfo&
FaultsInfo()
{
  static const MetricInfo kInfo{
    "bulrushfold_faults_total",
    "Requests not served in time, by the endpoint that the cause concerns.",
    { "endpoint", "failure_domain", "cause" }
  };
  return kInfo;
}

const MetricInfo&
FirstTokenInfo()
{
  static const MetricInfo kInfo{ "bulrushfold_first_token_seconds",
                                 "Time until the first token.",
                                 {} };
  return kInfo;
}

const MetricInfo&
RequestTimeInfo()
{
  static const MetricInfo kInfo{ "bulrushfold_request_seconds",
                                 "Time from the start to the end.",
                                 { "status" } };
  return kInfo;
}

const MetricInfo&
HopTimeInfo()
{
  static const MetricInfo kInfo{ "bulrushfold_hop_seconds",
                                 "Time of requests at a hop.",
                                 { "hop" } };
  return kInfo;
}

LogLevel
LevelOf(OutcomeStatus aStatus)
{
  switch (aStatus) {
    case OutcomeStatus::Late:
    case OutcomeStatus::Failed:
    case OutcomeStatus::Unknown:
    case OutcomeStatus::Lost:
      return LogLevel::Warning;
    default:
      return LogLevel::Info;
  }
}

} // namespace

void
RequestMetrics::Record(const OutcomeRecord& aRecord, Instant aNow)
{
  const std::string status(OutcomeStatusName(aRecord.mStatus));
  const std::string cause(CauseName(aRecord.mCause));
  mMetrics.GetCounter(RequestsInfo(), { aRecord.mWorkspace, status, cause })
    .Add();
  mMetrics.GetCounter(TokensInfo(), { aRecord.mWorkspace })
    .Add(aRecord.mTokens);
  if (const auto* it = aRecord.BlamedEndpoint();
      it != nullptr && aRecord.mStatus != OutcomeStatus::Served) {
    mMetrics.GetCounter(FaultsInfo(), { it->mName, it->mFailureDomain, cause })
      .Add();
  }
  if (aRecord.mFirstToken) {
    mMetrics.GetSummary(FirstTokenInfo()).Record(*aRecord.mFirstToken, aNow);
  }
  mMetrics.GetSummary(RequestTimeInfo(), { status })
    .Record(aRecord.mTotal, aNow);
  for (std::size_t i = 0; i < kHopCount; ++i) {
    if (aRecord.mHopTimes[i] > Duration::zero()) {
      const std::string hop(HopName(static_cast<Hop>(i)));
      mMetrics.GetSummary(HopTimeInfo(), { hop })
        .Record(aRecord.mHopTimes[i], aNow);
    }
  }
}

void
LogOutcome(const OutcomeRecord& aRecord, int aHttpStatus)
{
  const auto* blamed = aRecord.BlamedEndpoint();
  LogEvent(LevelOf(aRecord.mStatus),
           "request_over",
           { { "request", aRecord.mRequestId },
             { "trace", aRecord.mTraceId },
             { "workspace", aRecord.mWorkspace },
             { "target", aRecord.mTarget },
             { "http_status", aHttpStatus },
             { "status", OutcomeStatusName(aRecord.mStatus) },
             { "cause", CauseName(aRecord.mCause) },
             { "hop", HopName(aRecord.mHop) },
             { "endpoint", blamed != nullptr ? blamed->mName : "none" },
             { "attempts", aRecord.mAttempts },
             { "tokens", aRecord.mTokens },
             { "ms", ToMilliseconds(aRecord.mTotal) },
             { "preset", aRecord.mPreset },
             { "preset_version", aRecord.mPresetVersion } });
}

} // namespace bulrushfold
