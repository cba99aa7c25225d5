#ifndef BULRUSHFOLD_OUTCOME_TRACEPARENT_H
#define BULRUSHFOLD_OUTCOME_TRACEPARENT_H

#include <optional>
#include <string>
#include <string_view>

namespace bulrushfold {

/** Content of a "traceparent" header (W3C Trace Context, level 1). */
struct TraceContext
{
  /** 32 lower-case hexadecimal digits, not all zero. */
  std::string mTraceId;
  /** 16 lower-case hexadecimal digits, not all zero. */
  std::string mParentSpanId;
  bool mIsSampled = true;
};

/**
 * Parses a header value. Empty when the value is malformed; the request then
 * starts a new trace. Versions after 00 may have further fields, which are
 * ignored.
 */
std::optional<TraceContext> ParseTraceparent(std::string_view aValue);

/** Formats a header value of version 00. */
std::string FormatTraceparent(const TraceContext& aContext);

} // namespace bulrushfold

#endif
