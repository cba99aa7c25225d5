#include "Outcome/OutcomeRecord.h"

#include <nlohmann/json.hpp>

#include "Outcome/RequestId.h"

namespace bulrushfold {

namespace {
using Json = nlohmann::json;

Json
HopTimesToJson(const HopTimes& aTimes)
{
  Json json = Json::object();
  for (std::size_t i = 0; i < kHopCount; ++i) {
    if (aTimes[i] > Duration::zero()) {
      json[std::string(HopName(static_cast<Hop>(i)))] =
        ToMilliseconds(aTimes[i]);
    }
  }
  return json;
}

Json
EndpointToJson(const EndpointUse& aUse)
{
  return { { "name", aUse.mName }, { "failure_domain", aUse.mFailureDomain } };
}
} // namespace

std::string
FormatOutcome(const OutcomeRecord& aRecord)
{
  const CauseInfo& info = InfoOf(aRecord.mCause);
  Json json{
    { "request_id", aRecord.mRequestId },
    { "trace_id", aRecord.mTraceId },
    { "workspace", aRecord.mWorkspace },
    { "target", aRecord.mTarget },
    { "daemon", aRecord.mDaemon },
    { "start_ms", aRecord.mStart.time_since_epoch().count() },
    { "total_ms", ToMilliseconds(aRecord.mTotal) },
    { "hop_ms", HopTimesToJson(aRecord.mHopTimes) },
    { "tokens", aRecord.mTokens },
    { "attempts", aRecord.mAttempts },
    { "status", std::string(OutcomeStatusName(aRecord.mStatus)) },
    { "cause", std::string(info.mName) },
    { "hop", std::string(HopName(aRecord.mHop)) },
    { "explanation", std::string(info.mExplanation) },
    { "action", std::string(info.mSuggestedAction) },
    { "preset", aRecord.mPreset },
    { "preset_version", aRecord.mPresetVersion },
  };
  json["endpoints"] = Json::array();
  for (const auto& it : aRecord.mEndpoints) {
    json["endpoints"].push_back(EndpointToJson(it));
  }
  if (aRecord.mFirstToken) {
    json["first_token_ms"] = ToMilliseconds(*aRecord.mFirstToken);
  }
  if (const auto* it = aRecord.Blamed(); it != nullptr) {
    json["blamed"] = EndpointToJson(*it);
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

OutcomeRecord
MakeLostRecord(const BeginRecord& aBegin)
{
  OutcomeRecord record;
  record.mRequestId = aBegin.mRequestId;
  record.mTraceId = TraceIdOf(aBegin.mRequestId);
  record.mWorkspace = aBegin.mWorkspace;
  record.mTarget = aBegin.mTarget;
  record.mDaemon = aBegin.mDaemon;
  record.mStart = aBegin.mStart;
  record.mStatus = OutcomeStatus::Lost;
  record.mCause = Cause::DaemonDied;
  record.mHop = InfoOf(Cause::DaemonDied).mUsualHop;
  return record;
}

} // namespace bulrushfold
