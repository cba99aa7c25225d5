// Messages between entry daemons and the owners of endpoints. Times are
// relative to the receipt of the message, because the clocks of two daemons
// differ.
namespace cpp bulrushfold.wire

// RESERVE; the reply is ReserveReply.
struct Reserve {
  1: required string request,
  2: required i32 attempt,
  // DAEMON/INCARNATION
  3: required string daemon,
  4: required string endpoint,
  // Number from the C++ enum WorkKind.
  5: required i32 kind,
  6: required i64 workUs,
  7: required i64 pieces,
  8: required double linkBytes,
  9: required i64 readyInUs,
  10: required i64 latestInUs,
  11: required i64 spareSlots,
}

struct ReserveReply {
  1: required bool isGranted,
  2: required i64 term,
  3: required i64 expiresInUs,
  4: required i64 freeInUs,
  // Number from the C++ enum RefuseReason; only valid when not granted.
  5: required i32 reason,
}

// RELEASE; sent one way.
struct Release {
  1: required string request,
  2: required i32 attempt,
  3: required string endpoint,
  4: required i32 kind,
}

// CLAIM; sent one way.
struct Claim {
  1: required string request,
  2: required i32 attempt,
  3: required string daemon,
  4: required string endpoint,
  5: required i32 kind,
  6: required i64 pieces,
  7: required i64 remainingUs,
  8: required bool isStarted,
}

// LIMIT_LEASE; the reply is LimitLeaseReply.
struct LimitLeaseRequest {
  1: required string workspace,
  2: required double requestsPerSecond,
  3: required double concurrent,
}

struct LimitLeaseReply {
  1: required double requestsPerSecond,
  2: required double concurrent,
}
