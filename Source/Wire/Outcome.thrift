// Payloads of OUTCOME_BATCH, EXPLAIN and REPORT. Each name occurs once, in a
// table of the message; records refer to names by index.
namespace cpp bulrushfold.wire

// Record of a request in progress.
struct OutcomeBegin {
  // The 16 bytes of the request id.
  1: required binary id,
  2: required i32 workspace,
  3: required i32 target,
  // Milliseconds between the time in the id and the start; absent: 0.
  4: optional i64 startOffset,
}

// Record of an ended request. The times total, hopTimes and firstToken are in
// units of 100 microseconds.
struct OutcomeEnd {
  1: required binary id,
  2: required i32 workspace,
  3: required i32 target,
  // As in OutcomeBegin.
  4: optional i64 startOffset,
  // 16 bytes; absent: equal to id.
  5: optional binary traceId,
  // Indices in OutcomeBatch.endpoints.
  6: optional list<i32> endpoints,
  // Index in endpoints of this record, of the endpoint that the cause concerns.
  7: optional i32 blamed,
  8: required i64 total,
  // Pairs of hop number and time; absent in records of served requests.
  9: optional list<i32> hopTimes,
  10: optional i64 firstToken,
  11: optional i64 tokens,
  // Absent: 1.
  12: optional i64 attempts,
  // Numbers from the C++ enums OutcomeStatus, Cause and Hop. Status and cause
  // are absent in records of served requests.
  13: optional i32 status,
  14: optional i32 cause,
  15: required i32 hop,
  // Index of the name of the preset.
  16: required i32 preset,
  17: required i64 presetVersion,
}

struct OutcomeEndpoint {
  1: required i32 name,
  2: required i32 failureDomain,
}

struct OutcomeBatch {
  1: required string daemon,
  2: required string incarnation,
  3: required list<string> names,
  4: required list<OutcomeEndpoint> endpoints,
  5: required list<OutcomeBegin> begins,
  6: required list<OutcomeEnd> ends,
}

struct ExplainQuery {
  1: required string requestId,
}

struct ExplainReply {
  // At most one begin or end; absent: the sender has no record of the request.
  1: optional OutcomeBatch outcome,
  // Spans as JSON, only from the entry daemon.
  2: optional string spans,
}

struct ReportQuery {
  // Last minute of the report, in minutes since 1970, and number of minutes.
  1: required i64 lastMinute,
  2: required i32 minutes,
}

struct ReportCount {
  // 0: the period of the report; 1: the previous period of the same length.
  1: required i32 window,
  2: required i32 cause,
  3: required i32 status,
  4: required i32 hop,
  5: required i32 endpoint,
  6: required i32 failureDomain,
  7: required i32 workspace,
  8: required i32 target,
  9: required i64 count,
}

struct ReportMinute {
  1: required i64 minute,
  2: required i32 cause,
  3: required i64 count,
}

struct ReportPart {
  1: required string daemon,
  2: required string incarnation,
  // True when the daemon itself made this part; false for a copy.
  3: required bool isOwn,
  4: required list<ReportCount> counts,
  5: required list<ReportMinute> minutes,
}

struct ReportReply {
  1: required list<string> names,
  2: required list<ReportPart> parts,
}
