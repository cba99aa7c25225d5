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

/** A span of a trace: the whole request, or one visit of a hop. */
struct Span
{
  std::string mSpanId;
  /** Empty for the root span of a request without a traceparent header. */
  std::string mParentSpanId;
  /** "request" for the root span, otherwise the name of the hop. */
  std::string_view mName;
  /** Offset from the start of the request. */
  Duration mStart{};
  Duration mDuration{};
  std::optional<EndpointUse> mEndpoint;
  std::uint64_t mAttempt = 0;
  /** Name of the fault; empty without a fault. */
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
 * Stores the spans of recent requests for explanations and prepares them for
 * export. The oldest requests are removed when the limit on spans is reached.
 *
 * The daemon calls Add once for each finished request. When an OTLP address is
 * configured, the daemon also calls CollectExport on a timer and sends the body
 * as POST /v1/traces with "Content-Type: application/json". A body that could
 * not be sent is dropped.
 */
class Tracer
{
public:
  /** aMaxSpans limits the stored spans, including those not exported yet. */
  Tracer(std::string aDaemon, std::string aFailureDomain, std::size_t aMaxSpans)
    : mDaemon(std::move(aDaemon))
    , mFailureDomain(std::move(aFailureDomain))
    , mMaxSpans(aMaxSpans)
  {
  }

  /**
   * Adds the spans of a finished request. aParent is the traceparent of the
   * caller, and the record must have its trace id.
   */
  void Add(const RequestTimeline& aTimeline,
           const OutcomeRecord& aRecord,
           const std::optional<TraceContext>& aParent);

  /** Returns the newest trace of a request; null when there is none. */
  const RequestTrace* Find(std::string_view aRequestId) const;

  /**
   * Returns the requests that have not been exported as OTLP JSON
   * (ExportTraceServiceRequest), oldest first and about aMaxSpans spans. Empty
   * when there are none.
   */
  std::optional<std::string> CollectExport(std::size_t aMaxSpans);

  std::size_t SpanCount() const { return mSpanCount; }
  /** Number of spans that were removed before they were exported. */
  std::uint64_t DroppedSpans() const { return mDroppedSpans; }

private:
  void DropOldest();

  std::string mDaemon;
  std::string mFailureDomain;
  std::size_t mMaxSpans;
  std::deque<RequestTrace> mTraces;
  std::size_t mSpanCount = 0;
  /** Number of traces at the end of mTraces that are not exported yet. */
  std::size_t mAwaitingExport = 0;
  std::uint64_t mDroppedSpans = 0;
};

/** Formats the spans of aTrace as JSON, for explanations. */
std::string FormatSpans(const RequestTrace& aTrace);

} // namespace bulrushfold

#endif
