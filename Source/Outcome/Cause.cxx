#include "Outcome/Cause.h"

#include "Base/EnumNames.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<OutcomeStatus, kOutcomeStatusCount> kStatusNames{ {
  { OutcomeStatus::Served, "served" },
  { OutcomeStatus::Late, "late" },
  { OutcomeStatus::Refused, "refused" },
  { OutcomeStatus::Failed, "failed" },
  { OutcomeStatus::Unknown, "unknown" },
  { OutcomeStatus::Cancelled, "cancelled" },
  { OutcomeStatus::Lost, "lost" },
} };

constexpr std::array<CauseInfo, kCauseCount> kCauseInfos{ {
  { Cause::ServedInTime,
    "served_in_time",
    OutcomeStatus::Served,
    Hop::Decode,
    "The whole answer was delivered within its targets.",
    "None." },
  { Cause::Queueing,
    "queueing",
    OutcomeStatus::Late,
    Hop::Queue,
    "The request waited too long for free capacity at its entry daemon.",
    "Add decode or prefill endpoints, or lower the share of the busiest "
    "workspace." },
  { Cause::SlowReservation,
    "slow_reservation",
    OutcomeStatus::Late,
    Hop::Reservation,
    "Endpoint owners took too long to grant a reservation.",
    "Check status for daemons that are paused or not ready, and the slot_share "
    "of the preset." },
  { Cause::SlowPrefill,
    "slow_prefill",
    OutcomeStatus::Late,
    Hop::Prefill,
    "Prefill took too long.",
    "Check the load of the prefill endpoint; add prefill endpoints if several "
    "are affected." },
  { Cause::SlowTransfer,
    "slow_transfer",
    OutcomeStatus::Late,
    Hop::Transfer,
    "The KV cache moved too slowly between endpoints.",
    "Check the link of the two endpoints and its configured "
    "link_bytes_per_s." },
  { Cause::StalledTransfer,
    "stalled_transfer",
    OutcomeStatus::Late,
    Hop::Transfer,
    "A KV cache transfer made no progress and was abandoned.",
    "Check the link and both endpoints; drain the endpoint that the report "
    "names most." },
  { Cause::SlowDecode,
    "slow_decode",
    OutcomeStatus::Late,
    Hop::Decode,
    "The decode endpoint produced tokens too slowly.",
    "Lower slot_share in the preset or add decode endpoints; drain the "
    "endpoint if it alone is slow." },
  { Cause::SlowService,
    "slow_service",
    OutcomeStatus::Late,
    Hop::Service,
    "A plain service took too long to answer.",
    "Check the service endpoint; drain it if others of the service are fast." },
  { Cause::SlowStore,
    "slow_store",
    OutcomeStatus::Late,
    Hop::Store,
    "The store took too long to confirm a booking record.",
    "Check the store's latency and rate limit." },
  { Cause::SlowPeer,
    "slow_peer",
    OutcomeStatus::Late,
    Hop::Peer,
    "Another daemon took too long to answer, for example with a booking "
    "permit.",
    "Check status for paused daemons and for lost contact between regions." },
  { Cause::SlowCaller,
    "slow_caller",
    OutcomeStatus::Late,
    Hop::Delivery,
    "The caller sent its request or read its answer too slowly.",
    "Check the caller and its network; the router has nothing to change." },
  { Cause::DaemonPaused,
    "daemon_paused",
    OutcomeStatus::Late,
    Hop::Admission,
    "The entry daemon was paused or overloaded.",
    "Check the VM of the daemon for contention; replace the VM if it happens "
    "again." },
  { Cause::Retry,
    "retry",
    OutcomeStatus::Late,
    Hop::Peer,
    "The time went into retries after attempts that an endpoint or owner "
    "refused.",
    "Check the report for refusing endpoints; their load reports may lag too "
    "much." },
  { Cause::EndpointRefused,
    "endpoint_refused",
    OutcomeStatus::Late,
    Hop::Prefill,
    "An endpoint refused work for want of memory or slots, in spite of a "
    "reservation.",
    "Check the load of the endpoint and lower slot_share in the preset." },
  { Cause::KvEvicted,
    "kv_evicted",
    OutcomeStatus::Late,
    Hop::Transfer,
    "The prefill result was evicted before decode took it; the prefill was "
    "wasted.",
    "Check transfer times and the decode capacity; lower slot_share if decode "
    "is full." },
  { Cause::EndpointDied,
    "endpoint_died",
    OutcomeStatus::Failed,
    Hop::Decode,
    "The endpoint that ran the request died.",
    "Check the endpoint and its VM; drain it until it is replaced." },
  { Cause::EndpointTimedOut,
    "endpoint_silent",
    OutcomeStatus::Failed,
    Hop::Decode,
    "A connection to an endpoint, or the endpoint itself, stopped sending "
    "bytes.",
    "Check the network path and the endpoint; drain the endpoint if several "
    "requests name it." },
  { Cause::EndpointError,
    "endpoint_error",
    OutcomeStatus::Failed,
    Hop::Service,
    "The endpoint answered with an error or with an invalid answer.",
    "Check the log of the endpoint and its version." },
  { Cause::NoCapacity,
    "no_capacity",
    OutcomeStatus::Refused,
    Hop::Queue,
    "No endpoint could take the request, and the queue was full or the wait "
    "too long.",
    "Add endpoints, end drains, or use a preset with a longer queue." },
  { Cause::CircuitOpen,
    "circuit_open",
    OutcomeStatus::Refused,
    Hop::Reservation,
    "All suitable endpoints had failed recently and received no new work.",
    "Check the endpoints of the model or service; work resumes when their "
    "probes succeed." },
  { Cause::RateLimit,
    "rate_limit",
    OutcomeStatus::Refused,
    Hop::Admission,
    "The workspace sent more requests a second than its limit.",
    "Raise requests_per_s of the workspace or ask the caller to slow down." },
  { Cause::ConcurrencyLimit,
    "concurrency_limit",
    OutcomeStatus::Refused,
    Hop::Admission,
    "The workspace had more requests in progress than its limit.",
    "Raise max_concurrent of the workspace or ask the caller to slow down." },
  { Cause::StreamLimit,
    "stream_limit",
    OutcomeStatus::Refused,
    Hop::Admission,
    "The daemon held as many streams as its settings allow.",
    "Add daemons or raise limits.max_streams." },
  { Cause::RetryBudgetSpent,
    "retry_budget_spent",
    OutcomeStatus::Refused,
    Hop::Admission,
    "An attempt failed and too many requests were being retried to retry this "
    "one.",
    "Check the report for the faults that caused the retries." },
  { Cause::DeadlinePassed,
    "deadline_passed",
    OutcomeStatus::Failed,
    Hop::Caller,
    "The caller's deadline was shorter than the targets and ended first.",
    "Ask the caller for a longer Request-Timeout-Ms." },
  { Cause::UnknownModel,
    "unknown_model",
    OutcomeStatus::Refused,
    Hop::Admission,
    "The model does not exist or no endpoint serves it.",
    "Check the model name and the models of the endpoints." },
  { Cause::UnknownService,
    "unknown_service",
    OutcomeStatus::Refused,
    Hop::Admission,
    "The plain service or its path is not configured.",
    "Check config/services and the path of the call." },
  { Cause::ModelForbidden,
    "model_forbidden",
    OutcomeStatus::Refused,
    Hop::Admission,
    "The workspace may not use this model.",
    "Add the model to the workspace if it should have it." },
  { Cause::BadToken,
    "bad_token",
    OutcomeStatus::Refused,
    Hop::Admission,
    "The bearer token is missing or belongs to no workspace.",
    "Check the caller's token; add its SHA-256 to the workspace." },
  { Cause::BadRequest,
    "bad_request",
    OutcomeStatus::Refused,
    Hop::Admission,
    "The request is malformed.",
    "Ask the caller to correct the request; the answer names the place." },
  { Cause::BadIdempotencyKey,
    "bad_idempotency_key",
    OutcomeStatus::Refused,
    Hop::Admission,
    "A non-idempotent call carried no Idempotency-Key that is a UUIDv7.",
    "Ask the caller to send a new UUIDv7 for each booking." },
  { Cause::KeyReused,
    "key_reused",
    OutcomeStatus::Refused,
    Hop::Peer,
    "The Idempotency-Key was already used for a different request.",
    "Ask the caller to send a new UUIDv7 for each booking." },
  { Cause::KeyTooOld,
    "key_too_old",
    OutcomeStatus::Failed,
    Hop::Peer,
    "The Idempotency-Key is older than the booking records that are kept.",
    "Look the booking up at the service; the router no longer knows whether it "
    "ran." },
  { Cause::TooLarge,
    "too_large",
    OutcomeStatus::Refused,
    Hop::Caller,
    "The request is larger than the configured limit.",
    "Ask the caller for a smaller request or raise limits.max_body_bytes." },
  { Cause::CallerDisconnected,
    "caller_gone",
    OutcomeStatus::Cancelled,
    Hop::Caller,
    "The caller closed its connection while the request was in time.",
    "None, unless the caller reports lost connections." },
  { Cause::StoreDown,
    "store_down",
    OutcomeStatus::Refused,
    Hop::Store,
    "The store did not record the booking in time, so it was not run.",
    "Check the store; the caller may send the booking again." },
  { Cause::BookingQueueFull,
    "booking_queue_full",
    OutcomeStatus::Refused,
    Hop::Store,
    "Too many bookings were waiting for the store, so this one was not run.",
    "Check the store; raise bookings.max_pending only for short outages." },
  { Cause::BookingUnknown,
    "booking_unknown",
    OutcomeStatus::Unknown,
    Hop::Peer,
    "The booking was dispatched earlier and its result did not become known in "
    "time.",
    "Look the booking up at the service before anything else is done." },
  { Cause::CrashSuspect,
    "crash_suspect",
    OutcomeStatus::Refused,
    Hop::Admission,
    "The same request was running at several endpoint crashes and is refused.",
    "Keep the request for analysis; it passes again when its time to live "
    "ends." },
  { Cause::Draining,
    "draining",
    OutcomeStatus::Refused,
    Hop::Admission,
    "The daemon or every suitable endpoint was leaving.",
    "Send the request to another daemon, or end the drain." },
  { Cause::NotReady,
    "not_ready",
    OutcomeStatus::Refused,
    Hop::Admission,
    "The daemon had not yet compared its configuration with its peers.",
    "Wait a few seconds; check the store and the contact to peers if it "
    "lasts." },
  { Cause::DaemonDied,
    "daemon_died",
    OutcomeStatus::Lost,
    Hop::Peer,
    "The entry daemon died while it held the request.",
    "Check the VM of the daemon; callers should retry at another daemon." },
  { Cause::InternalError,
    "internal_error",
    OutcomeStatus::Failed,
    Hop::Admission,
    "The daemon failed in a way that it does not expect.",
    "Report the request id and the daemon's log to the developers." },
} };

constexpr bool
IsInOrder()
{
  for (std::size_t i = 0; i < kCauseCount; ++i) {
    if (static_cast<std::size_t>(kCauseInfos[i].mCause) != i) {
      return false;
    }
  }
  return true;
}
static_assert(IsInOrder(), "InfoOf uses the number as index");
} // namespace

const std::array<CauseInfo, kCauseCount>&
CauseInfos()
{
  return kCauseInfos;
}

const CauseInfo&
InfoOf(Cause aCause)
{
  return kCauseInfos[static_cast<std::size_t>(aCause)];
}

std::string_view
CauseName(Cause aCause)
{
  return InfoOf(aCause).mName;
}

std::optional<Cause>
FindCause(std::string_view aName)
{
  for (const auto& it : kCauseInfos) {
    if (it.mName == aName) {
      return it.mCause;
    }
  }
  return std::nullopt;
}

std::optional<Cause>
CauseOfNumber(int aNumber)
{
  if (aNumber < 0 || aNumber >= static_cast<int>(kCauseCount)) {
    return std::nullopt;
  }
  return static_cast<Cause>(aNumber);
}

std::string_view
OutcomeStatusName(OutcomeStatus aStatus)
{
  return FindEnumName(kStatusNames, aStatus);
}

std::optional<OutcomeStatus>
FindOutcomeStatus(std::string_view aName)
{
  return FindEnumValue(kStatusNames, aName);
}

std::optional<OutcomeStatus>
OutcomeStatusOfNumber(int aNumber)
{
  if (aNumber < 0 || aNumber >= static_cast<int>(kOutcomeStatusCount)) {
    return std::nullopt;
  }
  return static_cast<OutcomeStatus>(aNumber);
}

} // namespace bulrushfold
