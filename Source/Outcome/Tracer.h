#ifndef BULRUSHFOLD_OUTCOME_TRACER_H
#define BULRUSHFOLD_OUTCOME_TRACER_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Base/Clock.h"
#include "Outcome/OutcomeRecord.h"
#include "Outcome/RequestTimeline.h"
#include "Outcome/Traceparent.h"

namespace bulrushfold {

/** A stretch of a request's time: the whole request, or one hop. */
struct Span
{
  std::string mSpanId;
  /** Empty for the span of a request that came without traceparent. */
  std::string mParentSpanId;
  /** "request" or the name of the hop. */
  std::string_view mName;
  /** Offset from the start of the request. */
  Duration mStart{};
  Duration mLength{};
  std::optional<EndpointUse> mEndpoint;
  std::uint64_t mAttempt = 0;
  /** Name of the fault; empty when there was none. */
  std::string_view mFault;
};

/** The record and spans of one finished request. */
struct RequestTrace
{
  OutcomeRecord mRecord;
  bool mIsSampled = true;
  std::vector<Span> mSpans;
};

/**
 * Keeps the spans of recent requests for explanations and prepares them for
 * export. The oldest requests leave when the bound on spans is reached.
 *
 * The daemon calls Add once for each finished request, and CollectExport on a
 * timer when an OTLP address is set; it sends the body as POST /v1/traces with
 * "Content-Type: application/json". A body that could not be sent is dropped.
 */
class Tracer
{
public:
  /** aMaxSpans bounds the spans kept, and also those waiting for export. */
  Tracer(std::string aDaemon, std::string aFailureDomain, std::size_t aMaxSpans)
    : mDaemon(std::move(aDaemon))
    , mFailureDomain(std::move(aFailureDomain))
    , mMaxSpans(aMaxSpans)
  {
  }

  /**
   * Adds the spans of a finished request. aParent is the caller's traceparent;
   * the record's trace id must be the one of aParent.
   */
  void Add(const RequestTimeline& aTimeline,
           const OutcomeRecord& aRecord,
           const std::optional<TraceContext>& aParent);

  /** The newest trace of a request; null when it is not kept. */
  const RequestTrace* Find(std::string_view aRequestId) const;

  /**
   * OTLP JSON (ExportTraceServiceRequest) of requests not exported yet, oldest
   * first and about aMaxSpans spans; empty when there are none.
   */
  std::optional<std::string> CollectExport(std::size_t aMaxSpans);

  std::size_t SpanCount() const { return mSpanCount; }
  /** Spans that left before they were exported. */
  std::uint64_t Unexported() const { return mUnexported; }

private:
  void DropOldest();

  std::string mDaemon;
  std::string mFailureDomain;
  std::size_t mMaxSpans;
  std::deque<RequestTrace> mTraces;
  std::size_t mSpanCount = 0;
  /** Number of traces at the end of mTraces that wait for export. */
  std::size_t mWaiting = 0;
  std::uint64_t mUnexported = 0;
};

/** JSON text of the spans of aTrace, for explanations. */
std::string FormatSpans(const RequestTrace& aTrace);

} // namespace bulrushfold

#endif
