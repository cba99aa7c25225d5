// Messages of Source/Cluster. All of them are sent one way; an answer is a
// separate message. The comment before each message names its MessageKind.
namespace cpp bulrushfold.wire

enum MemberState {
  ALIVE = 0,
  SUSPECT = 1,
  LEAVING = 2,
  DEAD = 3,
}

// State of one daemon in the view of the sender. The optional fields
// failureDomain, address and incarnation describe the daemon and are omitted
// from reports of its failure.
struct MemberRecord {
  1: required string name,
  // Increases with each start of the daemon and each refuted suspicion.
  2: required i64 generation,
  3: required MemberState state,
  4: optional string failureDomain,
  5: optional string address,
  6: optional string incarnation,
  // Daemon that reported the failure.
  7: optional string observer,
}

// HEARTBEAT
struct Heartbeat {
  1: required i64 generation,
  // Hash of the live daemons in the view of the sender.
  2: required i64 viewHash,
  3: required bool wantsReply,
  4: required list<MemberRecord> records,
}

// MEMBERSHIP. With domainHashes, a request for the records of a failure domain
// whose hash differs; without, the records of failure domain "domain".
struct MembershipSync {
  1: required map<string, i64> domainHashes,
  2: required string domain,
  3: required i64 domainHash,
  4: required list<MemberRecord> records,
}

struct ObjectVersion {
  1: required string key,
  2: required i64 version,
}

enum ConfigReadiness {
  // The daemon has started and not yet compared its configuration with a peer.
  // It may lack every change.
  STARTING = 0,
  // The daemon was paused and has not yet compared its configuration since. It
  // may lack the latest changes.
  WOKEN = 1,
  READY = 2,
}

// CONFIG_DIGEST
struct ConfigDigest {
  // Hash of all keys and versions of the sender.
  1: required i64 hash,
  2: required bool wantsReply,
  // True when "versions" names all objects of the sender.
  3: required bool isComplete,
  4: required list<ObjectVersion> versions,
  5: required ConfigReadiness readiness,
  // Key whose version the sender requests; empty: none.
  6: required string askedKey,
  // Number of the query, which the answer repeats; 0: none. A daemon that was
  // paused detects by it an answer that was sent before the pause.
  7: required i64 round,
}

// CONFIG_UPDATE
struct ConfigUpdate {
  1: required string key,
  2: required i64 version,
  // Version to which the patch applies; 0: "body" is the complete object.
  3: required i64 baseVersion,
  4: required binary body,
  // XXH3 hash of the complete object after the update.
  5: required i64 bodyHash,
  6: required bool wantsAck,
}

// CONFIG_FETCH
struct ConfigFetch {
  1: required list<string> keys,
}

enum CrashAction {
  // To the owner of the digest: an endpoint crashed while it executed the
  // request.
  CRASHED = 0,
  // To the owner: the request succeeded.
  SUCCEEDED = 1,
  // To the owner: requests permission to execute the request while no other
  // execution of it is in progress.
  ASK_RUN = 2,
  // From the owner: the request may be executed until the lease expires.
  GRANT_RUN = 3,
  // From the owner: another execution of the request is in progress.
  DENY_RUN = 4,
  // To all daemons: the states of the digests.
  COPY = 5,
  // From a daemon that has started: requests the states of all digests.
  FETCH = 6,
  // To the owner: the execution ended without a result and without a crash.
  RUN_ENDED = 7,
}

struct CrashEntry {
  1: required string digest,
  // Increases with each change that the owner makes.
  2: required i64 sequence,
  3: required i32 crashes,
  4: required i64 ttlMs,
  // Daemon with the permission to execute the request alone; empty: none.
  5: required string runner,
  6: required i64 runMs,
  7: required bool isCleared,
  // For CRASHED: the endpoint and incarnation that crashed, and whether the
  // request was executed alone.
  8: optional string endpoint,
  9: optional bool wasAlone,
}

// CRASH_REPORT
struct CrashReport {
  1: required CrashAction action,
  2: required list<CrashEntry> entries,
}
