// Records of non-idempotent calls and the messages about them.
namespace cpp bulrushfold.wire

enum BookingState {
  INTENT = 1,
  DONE = 2,
  NOT_RUN = 3,
}

struct BookingAnswer {
  1: required i32 status,
  2: required string contentType,
  3: required binary body,
  // The body was longer than the limit and is not kept.
  4: required bool truncated,
}

struct BookingRecord {
  // WORKSPACE/UUIDv7
  1: required string key,
  // Digest of everything that the endpoint would receive.
  2: required string digest,
  3: required BookingState state,
  4: required i32 attempt,
  // DAEMON/INCARNATION that may dispatch.
  5: required string holder,
  // Request of the holder; a retry of the caller has another one.
  6: required string request,
  7: optional BookingAnswer answer,
}

struct BookingSegmentRef {
  1: required i64 epoch,
  2: required i64 number,
  // Least and greatest key time, milliseconds since 1970.
  3: required i64 firstKeyTime,
  4: required i64 lastKeyTime,
  5: required i32 records,
}

// Body of a shard's head object.
struct BookingHead {
  1: required string writer,
  2: required i64 epoch,
  3: required i64 batch,
  // Milliseconds since 1970; records of older keys may have been removed.
  4: required i64 trimmedBefore,
  5: required list<BookingRecord> records,
  // Oldest first; the record of a later segment replaces an earlier one.
  6: required list<BookingSegmentRef> segments,
  7: required i64 nextSegment,
  // Segments that no record is read from any more, to be deleted.
  8: required list<BookingSegmentRef> garbage,
}

// Body of a sealed segment object.
struct BookingSegment {
  1: required list<BookingRecord> records,
}

enum BookingVerdict {
  PERMIT = 1,
  DONE = 2,
  NOT_RUN = 3,
  OUTCOME_UNKNOWN = 4,
  BODY_DIFFERS = 5,
  NOT_OWNER = 6,
}

struct BookingBegin {
  1: required string key,
  2: required string digest,
  3: required string holder,
  4: required string request,
  5: required i64 remainingMs,
}

struct BookingBeginReply {
  1: required BookingVerdict verdict,
  2: required i32 attempt,
  3: required string reason,
  4: optional BookingAnswer answer,
}

// Result of a permitted call, or its release when "ran" is false.
struct BookingResult {
  1: required string key,
  2: required string request,
  3: required bool ran,
  4: optional BookingAnswer answer,
}

enum BookingResultVerdict {
  RECORDED = 1,
  NOT_OWNER = 2,
  // Not recorded yet; send it again.
  BUSY = 3,
  // No such record, or it was trimmed; nothing is left to do.
  GONE = 4,
  // The record belongs to another request.
  REJECTED = 5,
}

struct BookingResultReply {
  1: required BookingResultVerdict verdict,
}
