#include "Outcome/CauseFinder.h"

#include <algorithm>
#include <array>

namespace bulrushfold {

namespace {

constexpr std::array<Cause, kHopCount> kCauseOfSlowHop{
  Cause::SlowCaller,      Cause::DaemonPaused, Cause::Queueing,
  Cause::SlowReservation, Cause::SlowPrefill,  Cause::SlowTransfer,
  Cause::SlowDecode,      Cause::SlowService,  Cause::SlowStore,
  Cause::SlowPeer,        Cause::SlowCaller,
};

Cause
CauseOfFault(FaultKind aKind)
{
  switch (aKind) {
    case FaultKind::EndpointDied:
      return Cause::EndpointDied;
    case FaultKind::EndpointTimedOut:
      return Cause::EndpointTimedOut;
    case FaultKind::EndpointError:
      return Cause::EndpointError;
    case FaultKind::EndpointRefused:
      return Cause::EndpointRefused;
    case FaultKind::KvEvicted:
      return Cause::KvEvicted;
    case FaultKind::TransferStalled:
      return Cause::StalledTransfer;
    case FaultKind::AttemptRefused:
      return Cause::Retry;
    case FaultKind::PeerUnreachable:
      return Cause::SlowPeer;
    case FaultKind::StoreFailed:
      return Cause::SlowStore;
    case FaultKind::DaemonPaused:
      return Cause::DaemonPaused;
  }
  return Cause::InternalError;
}

/** A cause with the hop and the endpoint where it occurred. */
struct Attribution
{
  Cause mCause = Cause::InternalError;
  Hop mHop = Hop::Admission;
  std::optional<std::size_t> mBlamedIndex;
};

/** Time by which a request exceeded its latency targets, by phase. */
struct Lateness
{
  Duration mBeforeFirstToken{};
  Duration mAfterFirstToken{};

  bool IsLate() const { return Total() > Duration::zero(); }
  Duration Total() const { return mBeforeFirstToken + mAfterFirstToken; }
  bool IsLateIn(Phase aPhase) const
  {
    return (aPhase == Phase::BeforeFirstToken
              ? mBeforeFirstToken
              : mAfterFirstToken) > Duration::zero();
  }
};

Lateness
MeasureLateness(const RequestTimeline& aTimeline,
                const OutcomeTargets& aTargets)
{
  const Duration total = aTimeline.Total();
  Lateness lateness;
  if (aTimeline.IsService()) {
    lateness.mBeforeFirstToken =
      std::max(total - aTargets.mService, Duration::zero());
    return lateness;
  }
  const auto& partialRecord = aTimeline.PartialRecord();
  const Duration first = partialRecord.mFirstToken.value_or(total);
  lateness.mBeforeFirstToken =
    std::max(first - aTargets.mFirstToken, Duration::zero());
  if (partialRecord.mFirstToken) {
    const auto allowed =
      aTargets.mToken * static_cast<Duration::rep>(partialRecord.mTokens);
    lateness.mAfterFirstToken =
      std::max(total - first - allowed, Duration::zero());
  }
  return lateness;
}

Attribution
AttributeToFault(const TimelineFault& aFault)
{
  return { CauseOfFault(aFault.mKind), aFault.mHop, aFault.mEndpointIndex };
}

/**
 * Returns the fault with the most lost time among those that aFilter accepts;
 * null if aFilter accepts none.
 */
template<typename Filter>
const TimelineFault*
CostliestFault(const RequestTimeline& aTimeline, const Filter& aFilter)
{
  const TimelineFault* costliest = nullptr;
  for (const auto& it : aTimeline.Faults()) {
    if (aFilter(it) &&
        (costliest == nullptr || it.mLostTime > costliest->mLostTime)) {
      costliest = &it;
    }
  }
  return costliest;
}

Phase
PhaseOf(const TimelineFault& aFault)
{
  return aFault.mIsBeforeFirstToken ? Phase::BeforeFirstToken
                                    : Phase::AfterFirstToken;
}

/** Returns the time beyond the expected time of aHop, in the late phases. */
Duration
ExcessOf(const RequestTimeline& aTimeline,
         Hop aHop,
         const Lateness& aLateness,
         const OutcomeTargets& aTargets)
{
  Duration excess{};
  if (aLateness.IsLateIn(Phase::BeforeFirstToken)) {
    excess +=
      std::max(aTimeline.ProductiveTime(aHop, Phase::BeforeFirstToken) -
                 aTimeline.ExpectedTime(aHop).value_or(Duration::zero()),
               Duration::zero());
  }
  if (aLateness.IsLateIn(Phase::AfterFirstToken)) {
    Duration expected{};
    if (aHop == Hop::Decode) {
      const auto tokens =
        static_cast<Duration::rep>(aTimeline.PartialRecord().mTokens);
      expected = aTargets.mToken * tokens;
    }
    excess += std::max(aTimeline.ProductiveTime(aHop, Phase::AfterFirstToken) -
                         expected,
                       Duration::zero());
  }
  return excess;
}

/**
 * Returns the hop with the longest excess, and among equal ones the hop with
 * the most productive time.
 */
Hop
SlowestHop(const RequestTimeline& aTimeline,
           const Lateness& aLateness,
           const OutcomeTargets& aTargets)
{
  Hop slowest = Hop::Admission;
  auto longest = std::make_pair(Duration::zero(), Duration::zero());
  for (std::size_t i = 0; i < kHopCount; ++i) {
    const auto hop = static_cast<Hop>(i);
    const auto time =
      std::make_pair(ExcessOf(aTimeline, hop, aLateness, aTargets),
                     aTimeline.ProductiveTime(hop, Phase::BeforeFirstToken) +
                       aTimeline.ProductiveTime(hop, Phase::AfterFirstToken));
    if (time > longest) {
      longest = time;
      slowest = hop;
    }
  }
  return slowest;
}

Attribution
AttributeDelay(const RequestTimeline& aTimeline,
               const Lateness& aLateness,
               const OutcomeTargets& aTargets)
{
  const auto sufficient = [&](const TimelineFault& aFault) {
    return aLateness.IsLateIn(PhaseOf(aFault)) &&
           aFault.mLostTime >= aLateness.Total();
  };
  if (const auto* it = CostliestFault(aTimeline, sufficient); it != nullptr) {
    return AttributeToFault(*it);
  }
  const Hop hop = SlowestHop(aTimeline, aLateness, aTargets);
  const Duration excess = ExcessOf(aTimeline, hop, aLateness, aTargets);
  const auto exceedsHop = [&](const TimelineFault& aFault) {
    return aLateness.IsLateIn(PhaseOf(aFault)) && aFault.mLostTime > excess;
  };
  if (const auto* it = CostliestFault(aTimeline, exceedsHop); it != nullptr) {
    return AttributeToFault(*it);
  }
  return { kCauseOfSlowHop[HopIndex(hop)],
           hop,
           aTimeline.LastEndpointIndex(hop) };
}

/** Returns the hop with the most time, including time lost by faults. */
Hop
LongestHop(const RequestTimeline& aTimeline)
{
  const auto& times = aTimeline.PartialRecord().mHopTimes;
  return static_cast<Hop>(std::max_element(times.begin(), times.end()) -
                          times.begin());
}

/** True for causes that always follow from an earlier failure. */
bool
IsConsequence(Cause aCause)
{
  return aCause == Cause::BookingUnknown || aCause == Cause::InternalError ||
         aCause == Cause::RetryBudgetSpent;
}

/** True for causes that are faults of the endpoint of the current hop. */
bool
ConcernsEndpoint(Cause aCause)
{
  switch (aCause) {
    case Cause::EndpointDied:
    case Cause::EndpointTimedOut:
    case Cause::EndpointError:
    case Cause::EndpointRefused:
    case Cause::KvEvicted:
    case Cause::StalledTransfer:
      return true;
    default:
      return false;
  }
}

/**
 * Attributes the request to a cause that the daemon reported. Hop and endpoint
 * are those of the matching fault, otherwise those of the current hop.
 */
Attribution
AttributeToReportedCause(const RequestTimeline& aTimeline, Cause aCause)
{
  const auto matches = [aCause](const TimelineFault& aFault) {
    return IsConsequence(aCause) || CauseOfFault(aFault.mKind) == aCause;
  };
  if (const auto* it = CostliestFault(aTimeline, matches); it != nullptr) {
    return AttributeToFault(*it);
  }
  const Hop hop = aTimeline.CurrentHop();
  const bool isAtEntry = hop == Hop::Caller || hop == Hop::Admission;
  const auto blamed =
    ConcernsEndpoint(aCause) ? aTimeline.LastEndpointIndex(hop) : std::nullopt;
  return { aCause, isAtEntry ? InfoOf(aCause).mUsualHop : hop, blamed };
}

Attribution
AttributeDeadline(const RequestTimeline& aTimeline,
                  const Lateness& aLateness,
                  const OutcomeTargets& aTargets)
{
  if (aLateness.IsLate()) {
    return AttributeDelay(aTimeline, aLateness, aTargets);
  }
  const auto any = [](const TimelineFault&) { return true; };
  if (const auto* it = CostliestFault(aTimeline, any); it != nullptr) {
    return AttributeToFault(*it);
  }
  return { Cause::DeadlinePassed, LongestHop(aTimeline), std::nullopt };
}

/** Uses the reported cause, otherwise the costliest fault, else aDefault. */
Attribution
AttributeFailure(const RequestTimeline& aTimeline, Cause aDefault)
{
  if (aTimeline.ReportedCause()) {
    return AttributeToReportedCause(aTimeline, *aTimeline.ReportedCause());
  }
  const auto any = [](const TimelineFault&) { return true; };
  if (const auto* it = CostliestFault(aTimeline, any); it != nullptr) {
    return AttributeToFault(*it);
  }
  return AttributeToReportedCause(aTimeline, aDefault);
}

Attribution
AttributeRefusal(const RequestTimeline& aTimeline,
                 const Lateness& aLateness,
                 const OutcomeTargets& aTargets)
{
  const Cause cause = aTimeline.ReportedCause().value_or(Cause::InternalError);
  if (cause == Cause::DeadlinePassed) {
    return AttributeDeadline(aTimeline, aLateness, aTargets);
  }
  return AttributeToReportedCause(aTimeline, cause);
}

Attribution
AttributeOutcome(const RequestTimeline& aTimeline,
                 const Lateness& aLateness,
                 const OutcomeTargets& aTargets)
{
  switch (aTimeline.GetEnding()) {
    case Ending::Complete:
      return aLateness.IsLate()
               ? AttributeDelay(aTimeline, aLateness, aTargets)
               : Attribution{ Cause::ServedInTime, LongestHop(aTimeline), {} };
    case Ending::Refused:
      return AttributeRefusal(aTimeline, aLateness, aTargets);
    case Ending::DeadlinePassed:
      return AttributeDeadline(aTimeline, aLateness, aTargets);
    case Ending::CallerDisconnected:
      return aLateness.IsLate() ? AttributeDelay(aTimeline, aLateness, aTargets)
                                : Attribution{ Cause::CallerDisconnected,
                                               LongestHop(aTimeline),
                                               {} };
    case Ending::Unknown:
      return AttributeFailure(aTimeline, Cause::BookingUnknown);
    case Ending::Failed:
    case Ending::InProgress:
      break;
  }
  return AttributeFailure(aTimeline, Cause::InternalError);
}

OutcomeStatus
StatusOf(Ending aEnding, bool aIsLate)
{
  switch (aEnding) {
    case Ending::Complete:
      return aIsLate ? OutcomeStatus::Late : OutcomeStatus::Served;
    case Ending::Refused:
      return OutcomeStatus::Refused;
    case Ending::Unknown:
      return OutcomeStatus::Unknown;
    case Ending::CallerDisconnected:
      return OutcomeStatus::Cancelled;
    case Ending::Failed:
    case Ending::DeadlinePassed:
    case Ending::InProgress:
      break;
  }
  return OutcomeStatus::Failed;
}

} // namespace

OutcomeRecord
CauseFinder::MakeRecord(const RequestTimeline& aTimeline) const
{
  const Lateness lateness = MeasureLateness(aTimeline, mTargets);
  const Attribution attribution =
    AttributeOutcome(aTimeline, lateness, mTargets);
  OutcomeRecord record = aTimeline.PartialRecord();
  record.mTotal = aTimeline.Total();
  record.mStatus = StatusOf(aTimeline.GetEnding(), lateness.IsLate());
  record.mCause = attribution.mCause;
  record.mHop = attribution.mHop;
  record.mBlamedIndex = attribution.mBlamedIndex;
  return record;
}

} // namespace bulrushfold
