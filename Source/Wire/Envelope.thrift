// Frame between two daemons. The payload is one message of kind "kind", encoded
// in the Thrift compact protocol.
namespace cpp bulrushfold.wire

enum MessageKind {
  HEARTBEAT = 1,
  CONFIG_DIGEST = 2,
  CONFIG_UPDATE = 3,
  CONFIG_FETCH = 4,
  RESERVE = 5,
  RELEASE = 6,
  CLAIM = 7,
  BOOKING_BEGIN = 8,
  BOOKING_RESULT = 9,
  CRASH_REPORT = 10,
  OUTCOME_BATCH = 11,
  EXPLAIN = 12,
  REPORT = 13,
  MEMBERSHIP = 14,
  ADMIN = 15,
  LIMIT_LEASE = 16,
  ROUTING_STATUS = 17,
  PLACE_PLAIN = 18,
  PLACE_STREAM = 19,
  PLACEMENT_EVENTS = 20,
  PLACEMENT_POLL = 21,
  STREAM_ORIGIN = 22,
  STREAM_ORIGINS = 23,
}

enum FrameRole {
  ONE_WAY = 0,
  CALL = 1,
  REPLY = 2,
  CALL_FAILED = 3,
}

struct Envelope {
  1: required i32 protocolVersion,
  2: required string sender,
  3: required string incarnation,
  4: required i64 sequence,
  5: required FrameRole role,
  6: required MessageKind kind,
  7: required i64 callId,
  8: required binary payload,
  // Name of the receiving daemon. A daemon refuses a frame with another name, so
  // that a recorded frame cannot be replayed to it.
  9: required string receiver,
}

struct SignedFrame {
  1: required string keyId,
  2: required binary mac,
  3: required binary envelope,
}
