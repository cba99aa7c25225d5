#include "Outcome/Tracer.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t kNanosPerMicro = 1000;
// Values of the OTLP protocol: SPAN_KIND_SERVER, SPAN_KIND_INTERNAL,
// STATUS_CODE_ERROR.
constexpr int kKindServer = 2;
constexpr int kKindInternal = 1;
constexpr int kStatusError = 2;

Json
TextAttribute(std::string_view aKey, std::string_view aValue)
{
  return { { "key", std::string(aKey) },
           { "value", { { "stringValue", std::string(aValue) } } } };
}

/** OTLP JSON writes 64-bit integers as text. */
Json
CountAttribute(std::string_view aKey, std::uint64_t aValue)
{
  return { { "key", std::string(aKey) },
           { "value", { { "intValue", absl::StrCat(aValue) } } } };
}

std::string
NanosAt(WallTime aStart, Duration aOffset)
{
  const Duration time = aStart.time_since_epoch() + aOffset;
  return absl::StrCat(time.count() * kNanosPerMicro);
}

Json
RootAttributes(const OutcomeRecord& aRecord)
{
  return Json::array(
    { TextAttribute("bulrushfold.request_id", aRecord.mRequestId),
      TextAttribute("bulrushfold.workspace", aRecord.mWorkspace),
      TextAttribute("bulrushfold.target", aRecord.mTarget),
      TextAttribute("bulrushfold.status", OutcomeStatusName(aRecord.mStatus)),
      TextAttribute("bulrushfold.cause", CauseName(aRecord.mCause)),
      TextAttribute("bulrushfold.hop", HopName(aRecord.mHop)),
      TextAttribute("bulrushfold.preset", aRecord.mPreset),
      CountAttribute("bulrushfold.preset_version", aRecord.mPresetVersion),
      CountAttribute("bulrushfold.tokens", aRecord.mTokens) });
}

Json
HopAttributes(const Span& aSpan)
{
  Json attributes = Json::array();
  if (aSpan.mEndpoint) {
    attributes.push_back(
      TextAttribute("bulrushfold.endpoint", aSpan.mEndpoint->mName));
    attributes.push_back(TextAttribute("bulrushfold.failure_domain",
                                       aSpan.mEndpoint->mFailureDomain));
  }
  if (aSpan.mAttempt > 0) {
    attributes.push_back(CountAttribute("bulrushfold.attempt", aSpan.mAttempt));
  }
  if (!aSpan.mFault.empty()) {
    attributes.push_back(TextAttribute("bulrushfold.fault", aSpan.mFault));
  }
  return attributes;
}

Json
SpanToOtlp(const RequestTrace& aTrace, const Span& aSpan, bool aIsRoot)
{
  const OutcomeRecord& record = aTrace.mRecord;
  Json json{
    { "traceId", record.mTraceId },
    { "spanId", aSpan.mSpanId },
    { "name", std::string(aSpan.mName) },
    { "kind", aIsRoot ? kKindServer : kKindInternal },
    { "startTimeUnixNano", NanosAt(record.mStart, aSpan.mStart) },
    { "endTimeUnixNano", NanosAt(record.mStart, aSpan.mStart + aSpan.mLength) },
    { "attributes", aIsRoot ? RootAttributes(record) : HopAttributes(aSpan) },
  };
  if (!aSpan.mParentSpanId.empty()) {
    json["parentSpanId"] = aSpan.mParentSpanId;
  }
  const bool isServed = record.mStatus == OutcomeStatus::Served ||
                        record.mStatus == OutcomeStatus::Late;
  if (aIsRoot ? !isServed : !aSpan.mFault.empty()) {
    json["status"] = { { "code", kStatusError } };
  }
  return json;
}

Span
MakeHopSpan(const RequestTimeline& aTimeline, std::size_t aIndex)
{
  const HopVisit& visit = aTimeline.Visits()[aIndex];
  const std::string& id = aTimeline.PartialRecord().mRequestId;
  Span span;
  span.mSpanId = SpanIdOf(id, aIndex + 1);
  span.mParentSpanId = SpanIdOf(id, 0);
  span.mName = HopName(visit.mHop);
  span.mStart = visit.mStart - aTimeline.Start();
  span.mLength = std::max(visit.mEnd - visit.mStart, Duration::zero());
  span.mAttempt = visit.mAttempt;
  if (visit.mEndpoint) {
    span.mEndpoint = aTimeline.PartialRecord().mEndpoints[*visit.mEndpoint];
  }
  if (visit.mFault) {
    span.mFault = FaultKindName(*visit.mFault);
  }
  return span;
}

} // namespace

void
Tracer::Add(const RequestTimeline& aTimeline,
            const OutcomeRecord& aRecord,
            const std::optional<TraceContext>& aParent)
{
  RequestTrace trace;
  trace.mRecord = aRecord;
  trace.mIsSampled = !aParent || aParent->mIsSampled;
  Span root;
  root.mSpanId = SpanIdOf(aRecord.mRequestId, 0);
  root.mParentSpanId = aParent ? aParent->mParentSpanId : "";
  root.mName = "request";
  root.mLength = aRecord.mTotal;
  trace.mSpans.push_back(std::move(root));
  for (std::size_t i = 0; i < aTimeline.Visits().size(); ++i) {
    trace.mSpans.push_back(MakeHopSpan(aTimeline, i));
  }
  mSpanCount += trace.mSpans.size();
  mTraces.push_back(std::move(trace));
  ++mWaiting;
  while (mSpanCount > mMaxSpans && !mTraces.empty()) {
    DropOldest();
  }
}

const RequestTrace*
Tracer::Find(std::string_view aRequestId) const
{
  const auto it =
    std::find_if(mTraces.rbegin(), mTraces.rend(), [&](const auto& aTrace) {
      return aTrace.mRecord.mRequestId == aRequestId;
    });
  return it == mTraces.rend() ? nullptr : &*it;
}

std::optional<std::string>
Tracer::CollectExport(std::size_t aMaxSpans)
{
  Json spans = Json::array();
  while (mWaiting > 0 && spans.size() < aMaxSpans) {
    const RequestTrace& trace = mTraces[mTraces.size() - mWaiting];
    --mWaiting;
    if (!trace.mIsSampled) {
      continue;
    }
    for (std::size_t i = 0; i < trace.mSpans.size(); ++i) {
      spans.push_back(SpanToOtlp(trace, trace.mSpans[i], i == 0));
    }
  }
  if (spans.empty()) {
    return std::nullopt;
  }
  const Json resource{
    { "attributes",
      Json::array(
        { TextAttribute("service.name", "bulrushfold"),
          TextAttribute("service.instance.id", mDaemon),
          TextAttribute("bulrushfold.failure_domain", mFailureDomain) }) }
  };
  const Json scope{ { "scope", { { "name", "bulrushfold" } } },
                    { "spans", std::move(spans) } };
  const Json body{ { "resourceSpans",
                     Json::array(
                       { { { "resource", resource },
                           { "scopeSpans", Json::array({ scope }) } } }) } };
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void
Tracer::DropOldest()
{
  const RequestTrace& oldest = mTraces.front();
  mSpanCount -= oldest.mSpans.size();
  if (mWaiting == mTraces.size()) {
    mUnexported += oldest.mIsSampled ? oldest.mSpans.size() : 0;
    --mWaiting;
  }
  mTraces.pop_front();
}

std::string
FormatSpans(const RequestTrace& aTrace)
{
  Json json = Json::array();
  for (const auto& it : aTrace.mSpans) {
    Json span{ { "name", std::string(it.mName) },
               { "start_ms", ToMilliseconds(it.mStart) },
               { "length_ms", ToMilliseconds(it.mLength) } };
    if (it.mEndpoint) {
      span["endpoint"] = it.mEndpoint->mName;
      span["failure_domain"] = it.mEndpoint->mFailureDomain;
    }
    if (it.mAttempt > 0) {
      span["attempt"] = it.mAttempt;
    }
    if (!it.mFault.empty()) {
      span["fault"] = std::string(it.mFault);
    }
    json.push_back(std::move(span));
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace bulrushfold
