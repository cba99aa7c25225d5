#include "CauseScenarios.h"

namespace bulrushfold {

namespace {

/** Adds scenarios of answers that are late because of one slow hop. */
void
AddSlowHops(CauseScenarios& aScenarios)
{
  aScenarios[Cause::Queueing] = [](TimelineBuilder& aIt) {
    return aIt.At(Hop::Queue, 900)
      .Attempt()
      .At(Hop::Prefill, "p1", 100)
      .At(Hop::Decode, "e1", 10)
      .Tokens(10, 30)
      .End(Ending::Complete);
  };
  aScenarios[Cause::SlowReservation] = [](TimelineBuilder& aIt) {
    return aIt.Attempt()
      .At(Hop::Reservation, 800)
      .At(Hop::Prefill, "p1", 100)
      .At(Hop::Decode, "e1", 10)
      .Tokens(10, 30)
      .End(Ending::Complete);
  };
  aScenarios[Cause::SlowPrefill] = [](TimelineBuilder& aIt) {
    return aIt.Attempt()
      .At(Hop::Prefill, "p1", 1500)
      .At(Hop::Transfer, "e1", 100)
      .At(Hop::Decode, "e1", 10)
      .Tokens(10, 30)
      .End(Ending::Complete);
  };
  aScenarios[Cause::SlowTransfer] = [](TimelineBuilder& aIt) {
    return aIt.Attempt()
      .At(Hop::Prefill, "p1", 200)
      .At(Hop::Transfer, "e1", 900)
      .At(Hop::Decode, "e1", 10)
      .Tokens(10, 30)
      .End(Ending::Complete);
  };
  aScenarios[Cause::SlowDecode] = [](TimelineBuilder& aIt) {
    return aIt.Attempt()
      .At(Hop::Prefill, "p1", 500)
      .At(Hop::Decode, "e1", 10)
      .Tokens(20, 90)
      .End(Ending::Complete);
  };
  aScenarios[Cause::SlowService] = [](TimelineBuilder& aIt) {
    return aIt.Service()
      .Attempt()
      .At(Hop::Store, 50)
      .At(Hop::Service, "s1", 6000)
      .End(Ending::Complete);
  };
  aScenarios[Cause::SlowStore] = [](TimelineBuilder& aIt) {
    return aIt.Service()
      .Attempt()
      .At(Hop::Store, 6000)
      .At(Hop::Service, "s1", 300)
      .End(Ending::Complete);
  };
  aScenarios[Cause::SlowPeer] = [](TimelineBuilder& aIt) {
    return aIt.Service()
      .Attempt()
      .At(Hop::Peer, 6000)
      .At(Hop::Service, "s1", 300)
      .End(Ending::Complete);
  };
  aScenarios[Cause::SlowCaller] = [](TimelineBuilder& aIt) {
    return aIt.Attempt()
      .At(Hop::Decode, "e1", 10)
      .Tokens(10, 30)
      .At(Hop::Delivery, 5000)
      .End(Ending::Complete);
  };
}

/** Adds scenarios of answers that a fault delays or ends. */
void
AddFaults(CauseScenarios& aScenarios)
{
  aScenarios[Cause::DaemonPaused] = [](TimelineBuilder& aIt) {
    return aIt.Attempt()
      .At(Hop::Prefill, "p1", 100)
      .Pause(3000)
      .At(Hop::Decode, "e1", 10)
      .Tokens(10, 30)
      .End(Ending::Complete);
  };
  aScenarios[Cause::StalledTransfer] = [](TimelineBuilder& aIt) {
    return aIt.Attempt()
      .At(Hop::Prefill, "p1", 300)
      .At(Hop::Transfer, "e1", 700)
      .Fault(FaultKind::TransferStalled)
      .At(Hop::Transfer, "e2", 50)
      .At(Hop::Decode, "e2", 10)
      .Tokens(10, 30)
      .End(Ending::Complete);
  };
  aScenarios[Cause::Retry] = [](TimelineBuilder& aIt) {
    return aIt.Attempt()
      .At(Hop::Reservation, 700)
      .Fault(FaultKind::AttemptRefused)
      .Attempt()
      .At(Hop::Prefill, "p1", 300)
      .At(Hop::Decode, "e1", 10)
      .Tokens(10, 30)
      .End(Ending::Complete);
  };
  aScenarios[Cause::EndpointRefused] = [](TimelineBuilder& aIt) {
    return aIt.Attempt()
      .At(Hop::Prefill, "p1", 700)
      .Fault(FaultKind::EndpointRefused)
      .Attempt()
      .At(Hop::Prefill, "p2", 300)
      .At(Hop::Decode, "e1", 10)
      .Tokens(10, 30)
      .End(Ending::Complete);
  };
  aScenarios[Cause::KvEvicted] = [](TimelineBuilder& aIt) {
    return aIt.Attempt()
      .At(Hop::Prefill, "p1", 600)
      .At(Hop::Transfer, "e1", 50)
      .Fault(FaultKind::KvEvicted)
      .Attempt()
      .At(Hop::Prefill, "p1", 400)
      .At(Hop::Decode, "e1", 10)
      .Tokens(10, 30)
      .End(Ending::Complete);
  };
  aScenarios[Cause::EndpointDied] = [](TimelineBuilder& aIt) {
    return aIt.Attempt()
      .At(Hop::Prefill, "p1", 300)
      .At(Hop::Decode, "e1", 10)
      .Tokens(10, 30)
      .Fault(FaultKind::EndpointDied)
      .Attempt()
      .At(Hop::Prefill, "p1", 900)
      .At(Hop::Decode, "e2", 10)
      .Tokens(10, 30)
      .End(Ending::Complete);
  };
  aScenarios[Cause::EndpointTimedOut] = [](TimelineBuilder& aIt) {
    return aIt.Attempt()
      .At(Hop::Prefill, "p1", 300)
      .At(Hop::Decode, "e1", 10)
      .Tokens(10, 30)
      .Wait(2000)
      .Fault(FaultKind::EndpointTimedOut)
      .At(Hop::Decode, "e1", 20)
      .Tokens(10, 30)
      .End(Ending::Complete);
  };
  aScenarios[Cause::EndpointError] = [](TimelineBuilder& aIt) {
    return aIt.Service()
      .Attempt()
      .At(Hop::Service, "s1", 30)
      .Fault(FaultKind::EndpointError)
      .End(Ending::Failed);
  };
}

/** Adds scenarios of refusals and of other endings without a delay. */
void
AddEndings(CauseScenarios& aScenarios)
{
  const auto refused = [](Cause aCause) {
    return [aCause](TimelineBuilder& aIt) {
      return aIt.At(Hop::Admission, 1).End(Ending::Refused, aCause);
    };
  };
  for (const Cause it : { Cause::NoCapacity,
                          Cause::CircuitOpen,
                          Cause::RateLimit,
                          Cause::ConcurrencyLimit,
                          Cause::StreamLimit,
                          Cause::RetryBudgetSpent,
                          Cause::UnknownModel,
                          Cause::UnknownService,
                          Cause::ModelForbidden,
                          Cause::BadToken,
                          Cause::BadRequest,
                          Cause::BadIdempotencyKey,
                          Cause::KeyReused,
                          Cause::TooLarge,
                          Cause::StoreDown,
                          Cause::BookingQueueFull,
                          Cause::CrashSuspect,
                          Cause::Draining,
                          Cause::NotReady }) {
    aScenarios[it] = refused(it);
  }
  aScenarios[Cause::KeyTooOld] = [](TimelineBuilder& aIt) {
    return aIt.Service()
      .At(Hop::Peer, 5)
      .End(Ending::Unknown, Cause::KeyTooOld);
  };
  aScenarios[Cause::DeadlinePassed] = [](TimelineBuilder& aIt) {
    return aIt.At(Hop::Queue, 200).End(Ending::DeadlinePassed);
  };
  aScenarios[Cause::CallerDisconnected] = [](TimelineBuilder& aIt) {
    return aIt.Attempt()
      .At(Hop::Prefill, "p1", 200)
      .End(Ending::CallerDisconnected);
  };
  aScenarios[Cause::BookingUnknown] = [](TimelineBuilder& aIt) {
    return aIt.Service().At(Hop::Peer, 3000).End(Ending::Unknown);
  };
  aScenarios[Cause::InternalError] = [](TimelineBuilder& aIt) {
    return aIt.At(Hop::Admission, 1).End(Ending::Failed);
  };
  aScenarios[Cause::DaemonDied] = [](TimelineBuilder& aIt) {
    BeginRecord begin;
    begin.mRequestId = aIt.Timeline().PartialRecord().mRequestId;
    return MakeLostRecord(begin);
  };
  aScenarios[Cause::ServedInTime] = [](TimelineBuilder& aIt) {
    return aIt.At(Hop::Admission, 1)
      .Attempt()
      .At(Hop::Reservation, 2)
      .At(Hop::Prefill, "p1", 300)
      .At(Hop::Transfer, "e1", 20)
      .At(Hop::Decode, "e1", 10)
      .Tokens(50, 30)
      .End(Ending::Complete);
  };
}

} // namespace

CauseScenarios
AllCauseScenarios()
{
  CauseScenarios scenarios;
  AddSlowHops(scenarios);
  AddFaults(scenarios);
  AddEndings(scenarios);
  return scenarios;
}

} // namespace bulrushfold
