#include "Outcome/Explanation.h"

#include <tuple>
#include <utility>

#include <nlohmann/json.hpp>

#include "Outcome/OutcomeCodec.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

Json
BeginToJson(const BeginRecord& aBegin)
{
  return { { "state", "in_progress" },
           { "request_id", aBegin.mRequestId },
           { "workspace", aBegin.mWorkspace },
           { "target", aBegin.mTarget },
           { "daemon", aBegin.mDaemon },
           { "start_ms", aBegin.mStart.time_since_epoch().count() } };
}

std::tuple<bool, bool, bool>
WeightOf(const Explanation& aIt)
{
  const bool isEnded = aIt.mEnd.has_value();
  const bool isCertain = isEnded && aIt.mEnd->mStatus != OutcomeStatus::Lost;
  return { isCertain, isEnded, !aIt.mSpans.empty() };
}

} // namespace

wire::ExplainReply
EncodeExplanation(const Explanation& aExplanation)
{
  OutcomeRecords records;
  if (const auto& end = aExplanation.mEnd; end) {
    records.mDaemon = end->mDaemon;
    records.mEnds.push_back(*end);
  } else if (const auto& begin = aExplanation.mBegin; begin) {
    records.mDaemon = begin->mDaemon;
    records.mIncarnation = begin->mIncarnation;
    records.mBegins.push_back(*begin);
  }
  wire::ExplainReply reply;
  if (aExplanation.HasRecord()) {
    reply.__set_outcome(EncodeOutcomes(records));
  }
  if (!aExplanation.mSpans.empty()) {
    reply.__set_spans(aExplanation.mSpans);
  }
  return reply;
}

absl::StatusOr<Explanation>
DecodeExplanation(const wire::ExplainReply& aReply)
{
  Explanation explanation;
  if (aReply.__isset.spans) {
    if (!Json::accept(aReply.spans)) {
      return absl::InvalidArgumentError("explain reply: spans are not JSON");
    }
    explanation.mSpans = aReply.spans;
  }
  if (!aReply.__isset.outcome) {
    return explanation;
  }
  auto records = DecodeOutcomes(aReply.outcome);
  if (!records.ok()) {
    return records.status();
  }
  if (!records->mEnds.empty()) {
    explanation.mEnd = std::move(records->mEnds.front());
  } else if (!records->mBegins.empty()) {
    explanation.mBegin = std::move(records->mBegins.front());
  }
  return explanation;
}

const Explanation&
PreferredExplanation(const Explanation& aLeft, const Explanation& aRight)
{
  if (aLeft.HasRecord() != aRight.HasRecord()) {
    return aLeft.HasRecord() ? aLeft : aRight;
  }
  return WeightOf(aRight) > WeightOf(aLeft) ? aRight : aLeft;
}

std::string
FormatExplanation(const Explanation& aExplanation)
{
  Json json = Json::object();
  if (aExplanation.mEnd) {
    json = Json::parse(FormatOutcome(*aExplanation.mEnd));
    json["state"] = "ended";
  } else if (aExplanation.mBegin) {
    json = BeginToJson(*aExplanation.mBegin);
  }
  if (!aExplanation.mSpans.empty()) {
    json["spans"] = Json::parse(aExplanation.mSpans, nullptr, false);
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace bulrushfold
