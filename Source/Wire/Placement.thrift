// Messages between a daemon and the placement owner of its fleet. All times are
// relative, because the clocks of the daemons differ.
namespace cpp bulrushfold.wire

include "Routing.thrift"

// PLACE_PLAIN, a call: asks for an endpoint for a plain request.
struct PlainPlacementRequest {
  // Number of the sender's session with the owner.
  1: required i64 session,
  // Unique in the sender.
  2: required i64 number,
  3: required string serviceName,
  4: required list<string> attempted,
  5: required bool needsUntried,
  // Milliseconds until an answer is late.
  6: required i32 targetMs,
  // Empty: no workspace.
  7: string workspace,
  // 0 is the most urgent.
  8: i32 urgency,
  // Units of the workspace's quota.
  9: double cost,
}

// Why a plain request gets no endpoint.
struct PlainRefusal {
  // The cause's place in PlainRefusalCause.
  1: required i32 cause,
  2: required i32 ahead,
  // Milliseconds; negative when the target has passed.
  3: required i32 targetLeftMs,
  4: required i32 waitedMs,
}

struct PlainPlacementReply {
  // Empty: no endpoint is available.
  1: required string endpoint,
  2: required double load,
  3: required i32 candidates,
  4: required i32 retryAfterMs,
  5: bool isOverQuota,
  // Set when the queue refused the request.
  6: optional PlainRefusal refusal,
}

// PLACE_STREAM, a call: asks for engines for a stream.
struct StreamPlacementRequest {
  1: required i64 session,
  2: required i64 number,
  3: required string serviceName,
  4: required i32 promptTokens,
  5: required i32 generatedTokens,
  6: required i32 answerTokens,
  7: required i32 mostTokens,
  8: required i32 firstEventMs,
  9: required i32 queueMs,
  10: required list<string> failedEndpoints,
  11: required i64 promptKey,
  12: required bool wasInterrupted,
  // The caller has retried or resumed, so the stream is not refused on arrival.
  13: required bool isRetry,
  14: required i64 requestHash,
  15: required i64 memoryTokens,
  // As in PlainPlacementRequest.
  16: string workspace,
  17: i32 urgency,
  18: double cost,
  // Set when the answer has begun: the software version of its engine.
  19: optional string software,
  // Identifies the stream over the attempts of its caller; 0: the caller may not
  // resume it.
  20: i64 stream,
  // Milliseconds for which the caller may resume the stream.
  21: i32 resumableMs,
}

enum StreamPlacementResult {
  PLACED = 0,
  EXPIRED = 1,
  UNSERVABLE = 2,
  OVERLOAD = 3,
  OVER_QUOTA = 4,
}

struct StreamPlacementReply {
  1: required StreamPlacementResult result,
  2: required string decode,
  3: required i32 decodeRuns,
  4: required double decodePeak,
  // Empty: the decode engine computes the prompt itself.
  5: required string prefill,
  6: required i32 prefillRequests,
  7: required i64 prefillTokens,
  8: required i64 cachedTokens,
  9: required i32 retryAfterMs,
}

enum PlacementEventKind {
  PLAIN_ENDED = 0,
  STREAM_WITHDRAWN = 1,
  PREFILL_ENDED = 2,
  DECODE_STARTED = 3,
  DECODE_ENDED = 4,
  MOVED = 5,
  PROGRESS = 6,
  RESERVATION_REFUSED = 7,
  INTERRUPTED = 8,
  SEND_RESULT = 9,
  ENDPOINT_LEAVING = 10,
  ENDPOINT_BACKOFF = 11,
  ENDPOINT_REPLACED = 12,
}

struct EndpointLoad {
  1: required i32 running,
  2: required i32 waiting,
  3: required i32 slots,
}

// What happened to a placement or an endpoint. The kind decides which of the
// optional fields are set.
struct PlacementEvent {
  1: required PlacementEventKind kind,
  // Number of the request; 0: the event is about an endpoint.
  2: required i64 number,
  3: string endpoint,
  4: string serviceName,
  // PREFILL_ENDED: 0 when the prefill failed. PROGRESS: duration of the answer.
  5: i64 elapsedUs,
  // RESERVATION_REFUSED, INTERRUPTED: tokens. PROGRESS: number of events.
  6: i64 tokens,
  7: i32 tokensPerEvent,
  8: i64 promptKey,
  // SEND_RESULT and PLAIN_ENDED: the result's place in SendResult.
  9: i32 result,
  10: optional EndpointLoad load,
  11: i64 incarnation,
  12: i32 leftMs,
}

// PLACEMENT_EVENTS, one way.
struct PlacementEvents {
  1: required i64 session,
  2: required list<PlacementEvent> events,
  // Runs that another daemon placed; the receiver is their new owner.
  3: required list<Routing.StreamRun> adopted,
}

// What the sender knows of the objects under a prefix of the store.
struct FeedPosition {
  1: required string prefix,
  // Revision of the store that the sender has seen.
  2: required i64 revision,
  // The feed of the last update and its sequence number; 0: none.
  3: required i64 feed,
  4: required i64 sequence,
}

struct FeedObject {
  1: required string key,
  2: required i64 version,
  3: required binary body,
  4: required bool isDeleted,
  // True: the object is too large for the feed, and the body is empty.
  5: required bool isLarge,
}

struct FeedUpdate {
  1: required string prefix,
  // False: the owner does not reach the store.
  2: required bool isCurrent,
  3: required i64 feed,
  4: required i64 sequence,
  5: required list<FeedObject> changes,
  // The keys of all objects, set when the owner does not know what was deleted
  // after the revision of the position.
  6: optional list<string> keys,
  // The newest version that the owner has seen, with its era.
  7: optional i64 version,
}

// PLACEMENT_POLL, a call that the owner answers when it has news, or after a
// time: it shows both sides that the other one is alive.
struct PlacementPoll {
  1: required i64 session,
  2: required Routing.RoutingStatus status,
  // True: answer at once, and do not count the sender as a client.
  3: required bool isProbe,
  4: required list<FeedPosition> positions,
  // Numbers of the plain requests and streams that the sender has asked to be
  // placed and that have not ended. The receiver frees all others, because a
  // message about their end may have been lost.
  5: required list<i64> plain,
  6: required list<i64> streams,
  // The sender watches the store itself, and the store answers.
  7: required bool reachesStore,
}

struct MoveProposal {
  1: required i64 number,
  2: required string target,
}

struct PlacementNews {
  // What all daemons but the receiver reported.
  1: required Routing.RoutingStatus status,
  2: required list<MoveProposal> moves,
  // Number of daemons that the owner places for, including itself.
  3: required i32 daemons,
  4: required list<FeedUpdate> updates,
}

// STREAM_ORIGIN, a call: asks which software version began a stream.
struct StreamOriginQuery {
  1: required i64 stream,
  2: required string serviceName,
  // Milliseconds since the earliest possible begin of the stream.
  3: required i32 windowMs,
}

struct StreamOriginReply {
  // Set when the receiver knows the stream.
  1: optional string software,
  // Set when one version alone has served the service in the window.
  2: optional string soleSoftware,
  // As in StreamOrigin.
  3: bool hasBegun,
}

// STREAM_ORIGINS, one way: what the placement owner knows, for the daemons that
// follow it in rank.
struct StreamOriginList {
  1: required list<Routing.StreamOrigin> origins,
}
