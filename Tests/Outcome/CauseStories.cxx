#include "CauseStories.h"

namespace bulrushfold {

namespace {

/** Stories of answers that were late because of one slow hop. */
void
AddSlowHops(CauseStories& aStories)
{
  aStories[Cause::Queueing] = [](TimelineStory& aIt) {
    return aIt.At(Hop::Queue, 900)
      .Attempt()
      .At(Hop::Prefill, "p1", 100)
      .At(Hop::Decode, "e1", 10)
      .Tokens(10, 30)
      .End(Ending::Complete);
  };
  aStories[Cause::SlowReservation] = [](TimelineStory& aIt) {
    return aIt.Attempt()
      .At(Hop::Reservation, 800)
      .At(Hop::Prefill, "p1", 100)
      .At(Hop::Decode, "e1", 10)
      .Tokens(10, 30)
      .End(Ending::Complete);
  };
  aStories[Cause::SlowPrefill] = [](TimelineStory& aIt) {
    return aIt.Attempt()
      .At(Hop::Prefill, "p1", 1500)
      .At(Hop::Transfer, "e1", 100)
      .At(Hop::Decode, "e1", 10)
      .Tokens(10, 30)
      .End(Ending::Complete);
  };
  aStories[Cause::SlowTransfer] = [](TimelineStory& aIt) {
    return aIt.Attempt()
      .At(Hop::Prefill, "p1", 200)
      .At(Hop::Transfer, "e1", 900)
      .At(Hop::Decode, "e1", 10)
      .Tokens(10, 30)
      .End(Ending::Complete);
  };
  aStories[Cause::SlowDecode] = [](TimelineStory& aIt) {
    return aIt.Attempt()
      .At(Hop::Prefill, "p1", 500)
      .At(Hop::Decode, "e1", 10)
      .Tokens(20, 90)
      .End(Ending::Complete);
  };
  aStories[Cause::SlowService] = [](TimelineStory& aIt) {
    return aIt.Service()
      .Attempt()
      .At(Hop::Store, 50)
      .At(Hop::Service, "s1", 6000)
      .End(Ending::Complete);
  };
  aStories[Cause::SlowStore] = [](TimelineStory& aIt) {
    return aIt.Service()
      .Attempt()
      .At(Hop::Store, 6000)
      .At(Hop::Service, "s1", 300)
      .End(Ending::Complete);
  };
  aStories[Cause::SlowPeer] = [](TimelineStory& aIt) {
    return aIt.Service()
      .Attempt()
      .At(Hop::Peer, 6000)
      .At(Hop::Service, "s1", 300)
      .End(Ending::Complete);
  };
  aStories[Cause::SlowCaller] = [](TimelineStory& aIt) {
    return aIt.Attempt()
      .At(Hop::Decode, "e1", 10)
      .Tokens(10, 30)
      .At(Hop::Delivery, 5000)
      .End(Ending::Complete);
  };
}

/** Stories of answers that a fault delayed or ended. */
void
AddFaults(CauseStories& aStories)
{
  aStories[Cause::DaemonPaused] = [](TimelineStory& aIt) {
    return aIt.Attempt()
      .At(Hop::Prefill, "p1", 100)
      .Pause(3000)
      .At(Hop::Decode, "e1", 10)
      .Tokens(10, 30)
      .End(Ending::Complete);
  };
  aStories[Cause::StalledTransfer] = [](TimelineStory& aIt) {
    return aIt.Attempt()
      .At(Hop::Prefill, "p1", 300)
      .At(Hop::Transfer, "e1", 700)
      .Fault(FaultKind::TransferStalled)
      .At(Hop::Transfer, "e2", 50)
      .At(Hop::Decode, "e2", 10)
      .Tokens(10, 30)
      .End(Ending::Complete);
  };
  aStories[Cause::Retry] = [](TimelineStory& aIt) {
    return aIt.Attempt()
      .At(Hop::Reservation, 700)
      .Fault(FaultKind::AttemptRefused)
      .Attempt()
      .At(Hop::Prefill, "p1", 300)
      .At(Hop::Decode, "e1", 10)
      .Tokens(10, 30)
      .End(Ending::Complete);
  };
  aStories[Cause::EndpointRefused] = [](TimelineStory& aIt) {
    return aIt.Attempt()
      .At(Hop::Prefill, "p1", 700)
      .Fault(FaultKind::EndpointRefused)
      .Attempt()
      .At(Hop::Prefill, "p2", 300)
      .At(Hop::Decode, "e1", 10)
      .Tokens(10, 30)
      .End(Ending::Complete);
  };
  aStories[Cause::KvEvicted] = [](TimelineStory& aIt) {
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
  aStories[Cause::EndpointDied] = [](TimelineStory& aIt) {
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
  aStories[Cause::EndpointTimedOut] = [](TimelineStory& aIt) {
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
  aStories[Cause::EndpointError] = [](TimelineStory& aIt) {
    return aIt.Service()
      .Attempt()
      .At(Hop::Service, "s1", 30)
      .Fault(FaultKind::EndpointError)
      .End(Ending::Failed);
  };
}

/** Stories of refusals and other ends without a delay. */
void
AddEndings(CauseStories& aStories)
{
  const auto refused = [](Cause aCause) {
    return [aCause](TimelineStory& aIt) {
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
    aStories[it] = refused(it);
  }
  aStories[Cause::KeyTooOld] = [](TimelineStory& aIt) {
    return aIt.Service()
      .At(Hop::Peer, 5)
      .End(Ending::Unknown, Cause::KeyTooOld);
  };
  aStories[Cause::DeadlinePassed] = [](TimelineStory& aIt) {
    return aIt.At(Hop::Queue, 200).End(Ending::DeadlinePassed);
  };
  aStories[Cause::CallerDisconnected] = [](TimelineStory& aIt) {
    return aIt.Attempt()
      .At(Hop::Prefill, "p1", 200)
      .End(Ending::CallerDisconnected);
  };
  aStories[Cause::BookingUnknown] = [](TimelineStory& aIt) {
    return aIt.Service().At(Hop::Peer, 3000).End(Ending::Unknown);
  };
  aStories[Cause::InternalError] = [](TimelineStory& aIt) {
    return aIt.At(Hop::Admission, 1).End(Ending::Failed);
  };
  aStories[Cause::DaemonDied] = [](TimelineStory& aIt) {
    BeginRecord begin;
    begin.mRequestId = aIt.Timeline().PartialRecord().mRequestId;
    return MakeLostRecord(begin);
  };
  aStories[Cause::ServedInTime] = [](TimelineStory& aIt) {
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

CauseStories
AllCauseStories()
{
  CauseStories stories;
  AddSlowHops(stories);
  AddFaults(stories);
  AddEndings(stories);
  return stories;
}

} // namespace bulrushfold
