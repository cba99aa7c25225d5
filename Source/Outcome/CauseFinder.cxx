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
    case FaultKind::PeerLost:
      return Cause::SlowPeer;
    case FaultKind::StoreFailed:
      return Cause::SlowStore;
    case FaultKind::DaemonPaused:
      return Cause::DaemonPaused;
  }
  return Cause::InternalError;
}

/** A cause with its place. */
struct Verdict
{
  Cause mCause = Cause::InternalError;
  Hop mHop = Hop::Admission;
  std::optional<std::size_t> mBlamed;
};

/** By how much a request exceeds its targets, by part. */
struct Lateness
{
  Duration mBefore{};
  Duration mAfter{};

  bool IsLate() const { return Overshoot() > Duration::zero(); }
  Duration Overshoot() const { return mBefore + mAfter; }
  bool Covers(Phase aPhase) const
  {
    return (aPhase == Phase::BeforeFirstToken ? mBefore : mAfter) >
           Duration::zero();
  }
};

Lateness
MeasureLateness(const RequestTimeline& aTimeline,
                const OutcomeTargets& aTargets)
{
  const Duration total = aTimeline.Total();
  Lateness late;
  if (aTimeline.IsService()) {
    late.mBefore = std::max(total - aTargets.mService, Duration::zero());
    return late;
  }
  const auto& partialRecord = aTimeline.PartialRecord();
  const Duration first = partialRecord.mFirstToken.value_or(total);
  late.mBefore = std::max(first - aTargets.mFirstToken, Duration::zero());
  if (partialRecord.mFirstToken) {
    const auto allowed =
      aTargets.mToken * static_cast<Duration::rep>(partialRecord.mTokens);
    late.mAfter = std::max(total - first - allowed, Duration::zero());
  }
  return late;
}

Verdict
VerdictOfFault(const TimelineFault& aFault)
{
  return { CauseOfFault(aFault.mKind), aFault.mHop, aFault.mEndpoint };
}

/** Costliest fault for which aFilter holds; null if there is none. */
template<typename Filter>
const TimelineFault*
CostliestFault(const RequestTimeline& aTimeline, const Filter& aFilter)
{
  const TimelineFault* worst = nullptr;
  for (const auto& it : aTimeline.Faults()) {
    if (aFilter(it) && (worst == nullptr || it.mLost > worst->mLost)) {
      worst = &it;
    }
  }
  return worst;
}

Phase
PhaseOf(const TimelineFault& aFault)
{
  return aFault.mBeforeFirstToken ? Phase::BeforeFirstToken
                                  : Phase::AfterFirstToken;
}

/** Time that aHop spent beyond its expected time, in the late part. */
Duration
ExcessOf(const RequestTimeline& aTimeline,
         Hop aHop,
         const Lateness& aLate,
         const OutcomeTargets& aTargets)
{
  Duration excess{};
  if (aLate.Covers(Phase::BeforeFirstToken)) {
    excess += std::max(aTimeline.Productive(aHop, Phase::BeforeFirstToken) -
                         aTimeline.Expected(aHop).value_or(Duration::zero()),
                       Duration::zero());
  }
  if (aLate.Covers(Phase::AfterFirstToken)) {
    Duration expected{};
    if (aHop == Hop::Decode) {
      const auto tokens =
        static_cast<Duration::rep>(aTimeline.PartialRecord().mTokens);
      expected = aTargets.mToken * tokens;
    }
    excess +=
      std::max(aTimeline.Productive(aHop, Phase::AfterFirstToken) - expected,
               Duration::zero());
  }
  return excess;
}

/** The hop with the longest excess; then the one with the most time. */
Hop
SlowestHop(const RequestTimeline& aTimeline,
           const Lateness& aLate,
           const OutcomeTargets& aTargets)
{
  Hop slowest = Hop::Admission;
  auto most = std::make_pair(Duration::zero(), Duration::zero());
  for (std::size_t i = 0; i < kHopCount; ++i) {
    const auto hop = static_cast<Hop>(i);
    const auto time =
      std::make_pair(ExcessOf(aTimeline, hop, aLate, aTargets),
                     aTimeline.Productive(hop, Phase::BeforeFirstToken) +
                       aTimeline.Productive(hop, Phase::AfterFirstToken));
    if (time > most) {
      most = time;
      slowest = hop;
    }
  }
  return slowest;
}

Verdict
ExplainDelay(const RequestTimeline& aTimeline,
             const Lateness& aLate,
             const OutcomeTargets& aTargets)
{
  const auto sufficient = [&](const TimelineFault& aFault) {
    return aLate.Covers(PhaseOf(aFault)) && aFault.mLost >= aLate.Overshoot();
  };
  if (const auto* it = CostliestFault(aTimeline, sufficient); it != nullptr) {
    return VerdictOfFault(*it);
  }
  const Hop hop = SlowestHop(aTimeline, aLate, aTargets);
  const Duration excess = ExcessOf(aTimeline, hop, aLate, aTargets);
  const auto worse = [&](const TimelineFault& aFault) {
    return aLate.Covers(PhaseOf(aFault)) && aFault.mLost > excess;
  };
  if (const auto* it = CostliestFault(aTimeline, worse); it != nullptr) {
    return VerdictOfFault(*it);
  }
  return { kCauseOfSlowHop[HopIndex(hop)], hop, aTimeline.EndpointOf(hop) };
}

/** The hop at which most time was spent, faults included. */
Hop
LongestHop(const RequestTimeline& aTimeline)
{
  const auto& times = aTimeline.PartialRecord().mHopTimes;
  return static_cast<Hop>(std::max_element(times.begin(), times.end()) -
                          times.begin());
}

/** True for causes that only say that something before them went wrong. */
bool
IsConsequence(Cause aCause)
{
  return aCause == Cause::BookingUnknown || aCause == Cause::InternalError ||
         aCause == Cause::RetryBudgetSpent;
}

/** True for causes that lie in the endpoint of the current hop. */
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

/** A cause that the daemon gave: at its fault, or where the request stood. */
Verdict
VerdictOfDecision(const RequestTimeline& aTimeline, Cause aCause)
{
  const auto matches = [aCause](const TimelineFault& aFault) {
    return IsConsequence(aCause) || CauseOfFault(aFault.mKind) == aCause;
  };
  if (const auto* it = CostliestFault(aTimeline, matches); it != nullptr) {
    return VerdictOfFault(*it);
  }
  const Hop hop = aTimeline.CurrentHop();
  const bool atEntry = hop == Hop::Caller || hop == Hop::Admission;
  const auto blamed =
    ConcernsEndpoint(aCause) ? aTimeline.EndpointOf(hop) : std::nullopt;
  return { aCause, atEntry ? InfoOf(aCause).mUsualHop : hop, blamed };
}

Verdict
VerdictOfDeadline(const RequestTimeline& aTimeline,
                  const Lateness& aLate,
                  const OutcomeTargets& aTargets)
{
  if (aLate.IsLate()) {
    return ExplainDelay(aTimeline, aLate, aTargets);
  }
  const auto any = [](const TimelineFault&) { return true; };
  if (const auto* it = CostliestFault(aTimeline, any); it != nullptr) {
    return VerdictOfFault(*it);
  }
  return { Cause::DeadlinePassed, LongestHop(aTimeline), std::nullopt };
}

/** The given cause, else the costliest fault, else aDefault. */
Verdict
VerdictOfFailure(const RequestTimeline& aTimeline, Cause aDefault)
{
  if (aTimeline.GivenCause()) {
    return VerdictOfDecision(aTimeline, *aTimeline.GivenCause());
  }
  const auto any = [](const TimelineFault&) { return true; };
  if (const auto* it = CostliestFault(aTimeline, any); it != nullptr) {
    return VerdictOfFault(*it);
  }
  return VerdictOfDecision(aTimeline, aDefault);
}

Verdict
VerdictOfRefusal(const RequestTimeline& aTimeline,
                 const Lateness& aLate,
                 const OutcomeTargets& aTargets)
{
  const Cause cause = aTimeline.GivenCause().value_or(Cause::InternalError);
  if (cause == Cause::DeadlinePassed) {
    return VerdictOfDeadline(aTimeline, aLate, aTargets);
  }
  return VerdictOfDecision(aTimeline, cause);
}

Verdict
FindVerdict(const RequestTimeline& aTimeline,
            const Lateness& aLate,
            const OutcomeTargets& aTargets)
{
  switch (aTimeline.GetEnding()) {
    case Ending::Complete:
      return aLate.IsLate()
               ? ExplainDelay(aTimeline, aLate, aTargets)
               : Verdict{ Cause::ServedInTime, LongestHop(aTimeline), {} };
    case Ending::Refused:
      return VerdictOfRefusal(aTimeline, aLate, aTargets);
    case Ending::DeadlinePassed:
      return VerdictOfDeadline(aTimeline, aLate, aTargets);
    case Ending::CallerDisconnected:
      return aLate.IsLate() ? ExplainDelay(aTimeline, aLate, aTargets)
                            : Verdict{ Cause::CallerDisconnected,
                                       LongestHop(aTimeline),
                                       {} };
    case Ending::Unknown:
      return VerdictOfFailure(aTimeline, Cause::BookingUnknown);
    case Ending::Failed:
    case Ending::Open:
      break;
  }
  return VerdictOfFailure(aTimeline, Cause::InternalError);
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
    case Ending::Open:
      break;
  }
  return OutcomeStatus::Failed;
}

} // namespace

OutcomeRecord
CauseFinder::MakeRecord(const RequestTimeline& aTimeline) const
{
  const Lateness late = MeasureLateness(aTimeline, mTargets);
  const Verdict verdict = FindVerdict(aTimeline, late, mTargets);
  OutcomeRecord record = aTimeline.PartialRecord();
  record.mTotal = aTimeline.Total();
  record.mStatus = StatusOf(aTimeline.GetEnding(), late.IsLate());
  record.mCause = verdict.mCause;
  record.mHop = verdict.mHop;
  record.mBlamed = verdict.mBlamed;
  return record;
}

} // namespace bulrushfold
