// Messages of Source/Router, sent one way.
namespace cpp bulrushfold.wire

// A stream that one daemon has placed on a decode engine.
struct StreamRun {
  1: required i64 number,
  2: required string endpoint,
  3: required i32 promptTokens,
  // Expected length of the whole answer.
  4: required i32 answerTokens,
  // Length at which the answer ends in any case.
  6: required i32 mostTokens,
  // Milliseconds since the engine began to generate; -1: it has not.
  5: required i32 ageMs,
  // Of the part of the prompt that belongs to this stream alone; 0: unknown.
  7: i64 promptKey,
}

// A prompt whose KV cache an engine keeps after its run broke off.
struct KeptPrompt {
  1: required i64 promptKey,
  2: required string endpoint,
  3: required i32 tokens,
  4: required i32 ageMs,
}

// Work of one daemon at one endpoint.
struct EndpointShare {
  1: required string endpoint,
  2: required i32 requests,
  // Prompt tokens that a prefill engine has not computed yet.
  3: required i32 prefillTokens,
}

// Requests and repeated sends of one daemon to one service in the last window.
struct RetryUse {
  1: required string serviceName,
  2: required i32 requests,
  3: required i32 retries,
}

// A request whose endpoint broke the connection while it ran.
struct CrashSuspect {
  1: required i64 requestHash,
  2: required i32 losses,
  3: required i32 ageMs,
}

// A request that was told to come back.
struct TurnedAway {
  1: required i64 requestHash,
  // Since it came first.
  2: required i32 ageMs,
}

// An engine that was ordered to change its role.
struct RoleOrder {
  1: required string endpoint,
  // True: from prefill to decode.
  2: required bool isToDecode,
  // Time until the change should be done.
  3: required i32 leftMs,
}

// ROUTING_STATUS: all that a daemon tells its peers; each message replaces the
// one before.
struct RoutingStatus {
  1: required list<StreamRun> runs,
  2: required list<EndpointShare> shares,
  3: required list<RetryUse> retries,
  4: required list<CrashSuspect> suspects,
  // The sender ends now.
  5: required bool isLeaving,
  // Where the sender takes messages, IPv4:PORT.
  6: required string address,
  7: required list<TurnedAway> turnedAway,
  8: required list<RoleOrder> roleOrders,
  9: list<KeptPrompt> keptPrompts,
}
