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

/** A fault that delays or ends a request. */
enum class FaultKind
{
  /** The connection to the endpoint was lost, or its incarnation changed. */
  EndpointDied,
  /** No byte arrived from the endpoint within the read timeout. */
  EndpointTimedOut,
  /** The endpoint answered with an unexpected status or invalid data. */
  EndpointError,
  /** The endpoint answered no_memory, no_slot, draining or wrong_role. */
  EndpointRefused,
  /** The prefill result was evicted before the transfer. */
  KvEvicted,
  /** The transfer made no progress. */
  TransferStalled,
  /** The attempt was refused before work began, for example "not owner". */
  AttemptRefused,
  /** Another daemon did not answer. */
  PeerUnreachable,
  /** The store did not answer or refused the write. */
  StoreFailed,
  /** The event loop of the entry daemon was paused. */
  DaemonPaused,
};

constexpr std::size_t kFaultKindCount = 10;

std::string_view FaultKindName(FaultKind aKind);

/** State of a request, and how it ended from the view of the entry daemon. */
enum class Ending
{
  InProgress,
  /** The complete answer was written to the caller's connection. */
  Complete,
  /** The answer was "not run". */
  Refused,
  /** The answer was an error, or a streamed answer was interrupted. */
  Failed,
  /** The answer was "outcome unknown". */
  Unknown,
  /** The caller closed its connection. */
  CallerDisconnected,
  /** The deadline of the caller passed while the request was executed. */
  DeadlinePassed,
};

/** One period that a request spent at a hop. */
struct HopVisit
{
  Hop mHop = Hop::Caller;
  Instant mStart;
  Instant mEnd;
  /** Index in OutcomeRecord::mEndpoints. */
  std::optional<std::size_t> mEndpointIndex;
  std::uint64_t mAttempt = 0;
  /** Last fault recorded during the visit. */
  std::optional<FaultKind> mFault;
};

/** A fault and the time that was lost by it. */
struct TimelineFault
{
  FaultKind mKind = FaultKind::EndpointDied;
  Hop mHop = Hop::Caller;
  std::optional<std::size_t> mEndpointIndex;
  Duration mLostTime{};
  bool mIsBeforeFirstToken = true;
};

/** Phases of a request for which the times by hop are measured separately. */
enum class Phase
{
  BeforeFirstToken,
  AfterFirstToken,
};

/**
 * Measures the times of one request and records its faults. The entry daemon
 * has one timeline for each request in progress and reports each event when it
 * occurs:
 *
 * - constructor: the request was received; the first hop is Caller;
 * - PartialRecord(): trace id, workspace, target, daemon and preset, as soon as
 *   each is determined;
 * - Enter(hop): the request begins to wait for another component. A request is
 *   at exactly one hop at any time. It enters Delivery when the caller's
 *   connection does not accept more of the answer, and after the last byte was
 *   written; it enters Decode again when the connection accepts bytes again;
 * - BeginAttempt: a reservation or permit for a new attempt is requested;
 * - AddTokens: tokens are delivered to the caller;
 * - RecordFault: the current hop failed; reported before the next Enter;
 * - RecordPause: the event loop detected a clock gap; reported for every
 *   request in progress;
 * - SetExpectedTime: the estimate of the cost model for a hop, before the
 *   request enters the hop;
 * - End: the request ended. Later events are ignored.
 *
 * The time between two events is added to the hop that was current. The time
 * since the last progress (the start of the attempt, or a delivered token) is
 * pending: the next progress makes it productive, a fault makes it lost. After
 * the first token, the time between a fault and the next token is lost, too.
 */
class RequestTimeline
{
public:
  RequestTimeline(std::string aRequestId, Instant aStart, WallTime aWallStart);

  /** The incomplete outcome record, to which the filters add their fields. */
  OutcomeRecord& PartialRecord() { return mPartialRecord; }
  const OutcomeRecord& PartialRecord() const { return mPartialRecord; }
  /** Marks the request as a call of a plain service. */
  void SetService() { mIsService = true; }
  bool IsService() const { return mIsService; }

  void Enter(Hop aHop, Instant aNow);
  /** Enters a hop at which endpoint aEndpoint works on the request. */
  void Enter(Hop aHop, const EndpointUse& aEndpoint, Instant aNow);
  void SetExpectedTime(Hop aHop, Duration aTime);
  void BeginAttempt(Instant aNow);
  void AddTokens(std::uint64_t aCount, Instant aNow);
  void RecordFault(FaultKind aKind, Instant aNow);
  void RecordPause(Duration aGap, Instant aNow);
  /**
   * Ends the timeline. aCause is required for Refused, and is passed for Failed
   * and Unknown if the daemon has determined it.
   */
  void End(Ending aEnding,
           Instant aNow,
           std::optional<Cause> aCause = std::nullopt);

  /** Returns the span id of the current hop, for traceparent headers. */
  std::string CurrentSpanId() const;

  Ending GetEnding() const { return mEnding; }
  std::optional<Cause> ReportedCause() const { return mReportedCause; }
  Hop CurrentHop() const { return mCurrentHop; }
  Duration Total() const { return mLastEvent - mStart; }
  Instant Start() const { return mStart; }
  /** Returns the time at aHop in aPhase without time lost by faults. */
  Duration ProductiveTime(Hop aHop, Phase aPhase) const;
  std::optional<Duration> ExpectedTime(Hop aHop) const;
  /** Returns the index of the endpoint that was used last at aHop. */
  std::optional<std::size_t> LastEndpointIndex(Hop aHop) const;
  const std::vector<TimelineFault>& Faults() const { return mFaults; }
  const std::vector<HopVisit>& Visits() const { return mVisits; }

private:
  void AddElapsedTime(Instant aNow);
  Duration CollectPendingTime(std::optional<Hop> aHop);
  void ClassifyPendingTimes();
  void StartVisit(std::optional<std::size_t> aEndpoint, Instant aNow);
  std::size_t EndpointIndex(const EndpointUse& aEndpoint);

  OutcomeRecord mPartialRecord;
  Instant mStart;
  Instant mLastEvent;
  Hop mCurrentHop = Hop::Caller;
  bool mIsService = false;
  Ending mEnding = Ending::InProgress;
  std::optional<Cause> mReportedCause;
  HopTimes mPendingTimes{};
  std::array<HopTimes, 2> mProductiveTimes{};
  std::array<std::optional<Duration>, kHopCount> mExpectedTimes;
  std::array<std::optional<std::size_t>, kHopCount> mLastEndpointIndex;
  std::vector<TimelineFault> mFaults;
  /** True while pending time is lost by the last fault, until a token. */
  bool mIsFaultOngoing = false;
  std::vector<HopVisit> mVisits;
  std::size_t mVisitCount = 0;
};

/**
 * Returns the span id of visit aIndex of a request. Index 0 is the span of the
 * whole request.
 */
std::string SpanIdOf(std::string_view aRequestId, std::size_t aIndex);

} // namespace bulrushfold

#endif
