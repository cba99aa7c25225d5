#ifndef BULRUSHFOLD_OUTCOME_REQUESTTIMELINE_H
#define BULRUSHFOLD_OUTCOME_REQUESTTIMELINE_H

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Base/Clock.h"
#include "Outcome/OutcomeRecord.h"

namespace bulrushfold {

/** A disturbance on the way of a request. */
enum class FaultKind
{
  /** The endpoint's connection broke, or its incarnation changed. */
  EndpointDied,
  /** No byte arrived within the silence bound. */
  EndpointTimedOut,
  /** The endpoint answered with an unexpected status or invalid data. */
  EndpointError,
  /** The endpoint answered no_memory, no_slot, draining or wrong_role. */
  EndpointRefused,
  /** The prefill result was evicted before the transfer. */
  KvEvicted,
  /** The transfer made no progress. */
  TransferStalled,
  /** An attempt ended without work, for example "not owner". */
  AttemptRefused,
  /** A peer did not answer. */
  PeerLost,
  /** The store did not answer or refused the write. */
  StoreFailed,
  /** The event loop of the entry daemon stood still. */
  DaemonPaused,
};

constexpr std::size_t kFaultKindCount = 10;

std::string_view FaultKindName(FaultKind aKind);

/** How a request ended, as the daemon sees it. */
enum class Ending
{
  Open,
  /** The whole answer was handed to the caller's connection. */
  Complete,
  /** Answered "not run". */
  Refused,
  /** Answered with an error, or a streamed answer broke off. */
  Failed,
  /** Answered "outcome unknown". */
  Unknown,
  /** The caller closed its connection. */
  CallerDisconnected,
  /** The caller's deadline passed while the request was being run. */
  DeadlinePassed,
};

/** Stay of a request at one hop. */
struct HopVisit
{
  Hop mHop = Hop::Caller;
  Instant mStart;
  Instant mEnd;
  /** Index in OutcomeRecord::mEndpoints. */
  std::optional<std::size_t> mEndpoint;
  std::uint64_t mAttempt = 0;
  /** Last fault noted during the visit. */
  std::optional<FaultKind> mFault;
};

/** A fault and the time that it cost. */
struct TimelineFault
{
  FaultKind mKind = FaultKind::EndpointDied;
  Hop mHop = Hop::Caller;
  std::optional<std::size_t> mEndpoint;
  Duration mLost{};
  bool mBeforeFirstToken = true;
};

/** Times by hop before and after the first token. */
enum class Phase
{
  BeforeFirstToken,
  AfterFirstToken,
};

/**
 * What happened to one request. The entry daemon owns one timeline for each
 * request in progress and delivers every event when it happens:
 *
 * - constructor: when the request was received; the first hop is Caller;
 * - PartialRecord(): trace id, workspace, target, daemon, preset, as they get
 * known;
 * - Enter(hop): each time the request starts to wait for something else. A
 *   request is at exactly one hop at any time. Enter Delivery only when the
 *   caller's connection does not accept the answer, and when the last byte was
 *   handed over; enter Decode again when it accepts bytes again;
 * - BeginAttempt: when a reservation or permit for a new attempt is asked for;
 * - AddTokens: when tokens pass the deliver filter;
 * - RecordFault: when a hop failed, before the next Enter;
 * - NotePause: for every open request when the loop notices a clock gap;
 * - Expect: the cost model's estimate of a hop, before the hop is entered;
 * - End: once. Later events are ignored.
 *
 * The time between two events is charged to the hop that was current. Time
 * since the last progress (start of the attempt, or a delivered token) counts
 * as lost when a fault is noted; after the first token the time until the next
 * token counts as lost too.
 */
class RequestTimeline
{
public:
  RequestTimeline(std::string aRequestId, Instant aStart, WallTime aWallStart);

  /** Fields of the record that the filters fill in. */
  OutcomeRecord& PartialRecord() { return mPartialRecord; }
  const OutcomeRecord& PartialRecord() const { return mPartialRecord; }
  /** Marks the request as a call of a plain service. */
  void SetService() { mIsService = true; }
  bool IsService() const { return mIsService; }

  void Enter(Hop aHop, Instant aNow);
  /** Like Enter, and names the endpoint that the hop concerns. */
  void Enter(Hop aHop, const EndpointUse& aEndpoint, Instant aNow);
  void Expect(Hop aHop, Duration aTime);
  void BeginAttempt(Instant aNow);
  void AddTokens(std::uint64_t aCount, Instant aNow);
  void RecordFault(FaultKind aKind, Instant aNow);
  void NotePause(Duration aGap, Instant aNow);
  /** aCause: needed for Refused; for Failed and Unknown where it is known. */
  void End(Ending aEnding,
           Instant aNow,
           std::optional<Cause> aCause = std::nullopt);

  /** Span id of the current hop, for "traceparent" towards endpoints. */
  std::string CurrentSpanId() const;

  Ending GetEnding() const { return mEnding; }
  std::optional<Cause> GivenCause() const { return mGivenCause; }
  Hop CurrentHop() const { return mHop; }
  Duration Total() const { return mLast - mStart; }
  Instant Start() const { return mStart; }
  /** Time by hop that no fault took away. */
  Duration Productive(Hop aHop, Phase aPhase) const;
  std::optional<Duration> Expected(Hop aHop) const;
  /** The endpoint last used at aHop. */
  std::optional<std::size_t> EndpointOf(Hop aHop) const;
  const std::vector<TimelineFault>& Faults() const { return mFaults; }
  const std::vector<HopVisit>& Visits() const { return mVisits; }

private:
  void Charge(Instant aNow);
  Duration TakePending(std::optional<Hop> aHop);
  void Progress();
  void OpenVisit(std::optional<std::size_t> aEndpoint, Instant aNow);
  std::size_t IndexOf(const EndpointUse& aEndpoint);

  OutcomeRecord mPartialRecord;
  Instant mStart;
  Instant mLast;
  Hop mHop = Hop::Caller;
  bool mIsService = false;
  Ending mEnding = Ending::Open;
  std::optional<Cause> mGivenCause;
  HopTimes mPending{};
  std::array<HopTimes, 2> mProductive{};
  std::array<std::optional<Duration>, kHopCount> mExpected;
  std::array<std::optional<std::size_t>, kHopCount> mEndpointOf;
  std::vector<TimelineFault> mFaults;
  /** The last fault still costs time, until the next token. */
  bool mFaultIsOpen = false;
  std::vector<HopVisit> mVisits;
  std::size_t mVisitCount = 0;
};

/** Span id of visit aIndex of a request; index 0 is the whole request. */
std::string SpanIdOf(std::string_view aRequestId, std::size_t aIndex);

} // namespace bulrushfold

#endif
