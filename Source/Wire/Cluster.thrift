// Messages of Source/Cluster. All of them are sent one way; an answer is a
// message of its own. The comment before each structure names its MessageKind.
namespace cpp bulrushfold.wire

enum MemberState {
  ALIVE = 0,
  SUSPECT = 1,
  LEAVING = 2,
  DEAD = 3,
}

// What is known of one daemon. The optional fields describe the daemon and are
// left out of reports of its failure.
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

// MEMBERSHIP: with hashes, a question for the records of a failure domain that
// differs; without, records of the failure domain "domain".
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
  // Started and not yet compared: it may lack every change.
  STARTING = 0,
  // Paused and not yet compared: it may lack the latest changes.
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
  // Key whose version the receiver is asked for; empty: none.
  6: required string askedKey,
  // Number of the question, repeated in the answer; 0: none. An answer that
  // was sent before a pause of its receiver is recognised by it.
  7: required i64 round,
}

// CONFIG_UPDATE
struct ConfigUpdate {
  1: required string key,
  2: required i64 version,
  // Version that the patch applies to; 0: "body" is the whole object.
  3: required i64 baseVersion,
  4: required binary body,
  // XXH3 of the whole object after the update.
  5: required i64 bodyHash,
  6: required bool wantsAck,
}

// CONFIG_FETCH
struct ConfigFetch {
  1: required list<string> keys,
}

enum CrashAction {
  // To the owner of the digest: an endpoint crashed while it ran the request.
  CRASHED = 0,
  // To the owner: the request finished.
  SUCCEEDED = 1,
  // To the owner: may the request run now, alone?
  ASK_RUN = 2,
  // From the owner: it may run until the lease ends.
  GRANT_RUN = 3,
  // From the owner: another run is in progress.
  DENY_RUN = 4,
  // To all daemons: state of the digests.
  COPY = 5,
  // From a daemon that started: a question for all states.
  FETCH = 6,
  // To the owner: the run ended without a result or a crash.
  RUN_ENDED = 7,
}

struct CrashEntry {
  1: required string digest,
  // Increases with each change by the owner.
  2: required i64 sequence,
  3: required i32 crashes,
  4: required i64 ttlMs,
  // Daemon that runs the request alone; empty: none.
  5: required string runner,
  6: required i64 runMs,
  7: required bool isCleared,
  // CRASHED: endpoint and incarnation that crashed, and whether the request
  // ran alone.
  8: optional string endpoint,
  9: optional bool wasAlone,
}

// CRASH_REPORT
struct CrashReport {
  1: required CrashAction action,
  2: required list<CrashEntry> entries,
}
