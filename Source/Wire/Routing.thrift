// Messages of Source/Router. They are sent one way.
namespace cpp bulrushfold.wire

// A stream that one daemon has placed on a decode engine.
struct StreamRun {
  1: required i64 number,
  2: required string endpoint,
  3: required i32 promptTokens,
  // Expected number of tokens in the complete answer.
  4: required i32 answerTokens,
  // Maximum number of tokens in the answer.
  6: required i32 mostTokens,
  // Milliseconds since the engine began to generate; -1: not begun.
  5: required i32 ageMs,
  // Key of the prompt part that no other stream shares; 0: unknown.
  7: i64 promptKey,
}

// A prompt whose KV cache is still at an engine after its run was interrupted.
struct KeptPrompt {
  1: required i64 promptKey,
  2: required string endpoint,
  3: required i32 tokens,
  4: required i32 ageMs,
}

// Requests of one daemon in progress at one endpoint.
struct EndpointShare {
  1: required string endpoint,
  2: required i32 requests,
  // Prompt tokens that a prefill engine has not computed yet.
  3: required i32 prefillTokens,
}

// Requests and retries of one daemon to one service in the last window.
struct RetryUse {
  1: required string serviceName,
  2: required i32 requests,
  3: required i32 retries,
}

// A request that an endpoint was processing when its connection was lost.
// Not sent any more; kept because older daemons require the list.
struct CrashSuspect {
  1: required i64 requestHash,
  2: required i32 losses,
  3: required i32 ageMs,
}

// A run whose connection was lost.
struct LostPrompt {
  // Hash of the id and incarnation of the engine or plain endpoint.
  1: required i64 engine,
  // Keys of the shared prompt parts, in the order of the prompt.
  2: required list<i64> parts,
  3: required i32 ageMs,
  // Unique in the fleet.
  4: i64 id,
  // Hash of path, caller and body; 0: unknown.
  5: i64 requestHash,
  // Time from the send to the loss.
  6: i32 tookMs,
  // Hash of path and body; 0: unknown.
  7: i64 contentHash,
}

// An answer that shows that an engine with lost runs is up.
struct EngineAnswer {
  1: required i64 engine,
  2: required i32 ageMs,
  // Time from the send to the answer.
  3: required i32 tookMs,
}

// A request or prompt part that was answered well after runs with it were lost.
struct AnsweredPart {
  1: required i64 part,
  2: required i32 ageMs,
}

// A deferred request: it was refused with a retry time.
struct TurnedAway {
  1: required i64 requestHash,
  // Milliseconds since the first attempt of the caller.
  2: required i32 ageMs,
}

// An engine that was ordered to change its role.
struct RoleOrder {
  1: required string endpoint,
  // True: from prefill to decode; false: from decode to prefill.
  2: required bool isToDecode,
  // Milliseconds until the change should be complete.
  3: required i32 leftMs,
}

// The software version that begins a stream, or has begun it.
struct StreamOrigin {
  // Identifies the stream over the attempts of its caller.
  1: required i64 stream,
  2: required string serviceName,
  3: required string software,
  // Milliseconds for which the caller may resume the stream.
  4: required i32 leftMs,
  // The caller has received an event, so that the version is final.
  5: bool hasBegun,
}

// Use of a workspace's quota at the sender since its start.
struct QuotaUse {
  1: required string workspace,
  2: required double units,
}

// ROUTING_STATUS: the complete state that a daemon reports to its peers. Each
// message replaces the previous one of the same sender, but for the origins.
struct RoutingStatus {
  1: required list<StreamRun> runs,
  2: required list<EndpointShare> shares,
  3: required list<RetryUse> retries,
  4: required list<CrashSuspect> suspects,
  // True when the sender is stopping.
  5: required bool isLeaving,
  // Address at which the sender accepts messages, IPv4:PORT.
  6: required string address,
  7: required list<TurnedAway> turnedAway,
  8: required list<RoleOrder> roleOrders,
  9: list<KeptPrompt> keptPrompts,
  10: list<LostPrompt> lostPrompts,
  11: list<AnsweredPart> answeredParts,
  12: list<EngineAnswer> engineAnswers,
  13: list<QuotaUse> quotaUses,
  // Origins that are new, or that the receiver may not know.
  14: list<StreamOrigin> origins,
}
