// Records of non-idempotent calls (bookings), as they are written to the store,
// and the messages about them between daemons.
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
  // True when the body was longer than the limit and is not stored.
  4: required bool truncated,
}

struct BookingRecord {
  // Idempotency key: WORKSPACE/UUIDv7.
  1: required string key,
  // Digest of the complete call that is sent to the endpoint.
  2: required string digest,
  3: required BookingState state,
  4: required i32 attempt,
  // DAEMON/INCARNATION that has the permit to send the call to an endpoint.
  5: required string holder,
  // Id of the request at that daemon; a retry by the caller has another id.
  6: required string request,
  7: optional BookingAnswer answer,
}

struct BookingSegmentRef {
  1: required i64 epoch,
  2: required i64 number,
  // Minimum and maximum key time, milliseconds since 1970.
  3: required i64 firstKeyTime,
  4: required i64 lastKeyTime,
  5: required i32 records,
}

// Body of the head object of a shard.
struct BookingHead {
  1: required string writer,
  2: required i64 epoch,
  3: required i64 batch,
  // Milliseconds since 1970; records of older keys may have been removed.
  4: required i64 trimmedBefore,
  5: required list<BookingRecord> records,
  // Oldest first; a record in a later segment replaces the record with the same
  // key in an earlier one.
  6: required list<BookingSegmentRef> segments,
  7: required i64 nextSegment,
  // Segments that are no longer read and can be deleted.
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

// Result of a call that was permitted. When "ran" is false, the call was not
// sent and the permit is released.
struct BookingResult {
  1: required string key,
  2: required string request,
  3: required bool ran,
  4: optional BookingAnswer answer,
}

enum BookingResultVerdict {
  RECORDED = 1,
  NOT_OWNER = 2,
  // The result is not recorded yet; the sender repeats the message.
  BUSY = 3,
  // There is no such record, or it was trimmed; the sender does not retry.
  GONE = 4,
  // The record belongs to another request.
  REJECTED = 5,
}

struct BookingResultReply {
  1: required BookingResultVerdict verdict,
}
