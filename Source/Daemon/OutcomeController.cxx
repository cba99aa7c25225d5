#include "Daemon/OutcomeController.h"

#include "Base/Log.h"
#include "Outcome/CauseFinder.h"

namespace bulrushfold {

namespace {

const MetricInfo&
RequestsInfo()
{
  static const MetricInfo sInfo{ "bulrushfold_requests_total",
                                 "Finished requests.",
                                 { "status", "cause" } };
  return sInfo;
}

const MetricInfo&
TokensInfo()
{
  static const MetricInfo sInfo{ "bulrushfold_tokens_total",
                                 "Tokens delivered to callers.",
                                 {} };
  return sInfo;
}

const MetricInfo&
FirstTokenInfo()
{
  static const MetricInfo sInfo{ "bulrushfold_first_token_seconds",
                                 "Time from a request to its first token.",
                                 {} };
  return sInfo;
}

} // namespace

OutcomeController::OutcomeController(const Clock& aClock,
                                     const Configuration& aConfiguration,
                                     Metrics& aMetrics,
                                     const Settings& aSettings)
  : mClock(aClock)
  , mConfiguration(aConfiguration)
  , mMetrics(aMetrics)
  , mTracer(aSettings.mDaemon.mName,
            aSettings.mDaemon.mFailureDomain,
            aSettings.mTelemetry.mMaxSpans)
{
}

void
OutcomeController::Take(const RequestContext& aRequest)
{
  const Preset& preset = mConfiguration.PresetInForce();
  OutcomeTargets targets;
  targets.mFirstToken = preset.mFirstTokenTarget;
  targets.mToken = preset.mTokenTarget;
  const OutcomeRecord record = CauseFinder(targets).Finish(aRequest.Timeline());
  mTracer.Add(aRequest.Timeline(), record, aRequest.mParent);
  Count(record);
  LogEvent(LogLevel::Info,
           "request_over",
           { { "request", record.mRequestId },
             { "workspace", record.mWorkspace },
             { "target", record.mTarget },
             { "http_status", aRequest.mStatus },
             { "status", std::string(OutcomeStatusName(record.mStatus)) },
             { "cause", std::string(CauseName(record.mCause)) },
             { "hop", std::string(HopName(record.mHop)) },
             { "attempts", record.mAttempts },
             { "tokens", record.mTokens },
             { "ms", ToMilliseconds(record.mTotal) } });
}

void
OutcomeController::Count(const OutcomeRecord& aRecord)
{
  mMetrics
    .GetCounter(RequestsInfo(),
                { std::string(OutcomeStatusName(aRecord.mStatus)),
                  std::string(CauseName(aRecord.mCause)) })
    .Add();
  mMetrics.GetCounter(TokensInfo()).Add(aRecord.mTokens);
  if (aRecord.mFirstToken) {
    mMetrics.GetSummary(FirstTokenInfo())
      .Record(*aRecord.mFirstToken, mClock.Now());
  }
}

} // namespace bulrushfold
