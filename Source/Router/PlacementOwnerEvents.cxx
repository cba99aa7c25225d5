#include "Router/PlacementOwner.h"

#include <algorithm>

#include "Router/RemoteStream.h"
#include "Wire/ThriftCodec.h"

namespace bulrushfold {

namespace {
SendResult
ResultOf(std::int32_t aNumber)
{
  return static_cast<SendResult>(
    std::clamp(aNumber, 0, static_cast<int>(kLastSendResult)));
}
} // namespace

void
PlacementOwner::HandleEvents(const std::string& aClient,
                             const std::string& aPayload)
{
  const auto message = DecodeThrift<wire::PlacementEvents>(aPayload);
  Client* client = message.ok() ? Touch(aClient, message->session) : nullptr;
  if (client == nullptr) {
    return;
  }
  const Instant now = mClock.Now();
  for (const auto& it : message->adopted) {
    Adopt(aClient, *client, FromWire(it, now));
  }
  for (const auto& it : message->events) {
    HandleEvent(*client, it);
  }
  mTables.mPlain.Dispatch();
}

void
PlacementOwner::HandleEvent(Client& aClient, const wire::PlacementEvent& aEvent)
{
  using Kind = wire::PlacementEventKind;
  const Instant now = mClock.Now();
  switch (aEvent.kind) {
    case Kind::PLAIN_ENDED:
      HandlePlainEnded(aClient, aEvent);
      return;
    case Kind::SEND_RESULT:
      mTables.mHealth.OnResult(
        aEvent.serviceName, aEvent.endpoint, ResultOf(aEvent.result), now);
      return;
    case Kind::PROGRESS:
      mTables.mStreams.OnProgress(
        aEvent.serviceName,
        NonNegative(aEvent.tokens),
        static_cast<std::uint32_t>(std::max(aEvent.tokensPerEvent, 0)),
        std::chrono::microseconds(aEvent.elapsedUs));
      return;
    case Kind::RESERVATION_REFUSED:
      mTables.mStreams.OnReservationRefused(aEvent.endpoint,
                                            NonNegative(aEvent.tokens));
      return;
    case Kind::INTERRUPTED:
      mTables.mStreams.OnInterrupted(
        { static_cast<std::uint64_t>(aEvent.promptKey),
          aEvent.endpoint,
          NonNegative(aEvent.tokens),
          now });
      return;
    case Kind::ENDPOINT_LEAVING:
    case Kind::ENDPOINT_BACKOFF:
    case Kind::ENDPOINT_REPLACED:
      HandleEndpointEvent(aEvent);
      return;
    case Kind::STREAM_WITHDRAWN:
    case Kind::PREFILL_ENDED:
    case Kind::DECODE_STARTED:
    case Kind::DECODE_ENDED:
    case Kind::MOVED:
      HandleStreamEvent(aClient, aEvent);
      return;
  }
}

void
PlacementOwner::HandlePlainEnded(Client& aClient,
                                 const wire::PlacementEvent& aEvent)
{
  const Instant now = mClock.Now();
  const auto number = static_cast<std::uint64_t>(aEvent.number);
  const auto it = aClient.mPlain.find(number);
  if (it == aClient.mPlain.end()) {
    return;
  }
  const PlainRun run = it->second;
  EndPlain(aClient, number);
  if (run.mEndpoint.empty()) {
    return;
  }
  const SendResult result = ResultOf(aEvent.result);
  mTables.mHealth.OnResult(run.mService, run.mEndpoint, result, now);
  if (result == SendResult::Answered) {
    mTables.mPlain.Queue().OnServed(run.mService, now - run.mGrantedAt);
  }
  if (aEvent.__isset.load) {
    const auto count = [](std::int32_t aCount) {
      return static_cast<std::uint32_t>(std::max(aCount, 0));
    };
    mTables.mLoads.OnLoadReport(run.mEndpoint,
                                { count(aEvent.load.running),
                                  count(aEvent.load.waiting),
                                  count(aEvent.load.slots) },
                                now);
  }
}

void
PlacementOwner::HandleEndpointEvent(const wire::PlacementEvent& aEvent)
{
  const Instant now = mClock.Now();
  const EndpointRecord* record = mTables.mDirectory.Find(aEvent.endpoint);
  if (record == nullptr || record->mIncarnation != aEvent.incarnation) {
    return;
  }
  switch (aEvent.kind) {
    case wire::PlacementEventKind::ENDPOINT_LEAVING:
      mTables.mDirectory.OnLeavingAnnounced(aEvent.endpoint,
                                            aEvent.incarnation);
      return;
    case wire::PlacementEventKind::ENDPOINT_BACKOFF:
      mTables.mDirectory.OnBackoffRequested(
        aEvent.endpoint,
        aEvent.incarnation,
        now + std::chrono::milliseconds(aEvent.leftMs));
      return;
    default:
      mTables.mDirectory.OnAddressReused(aEvent.endpoint);
      return;
  }
}

void
PlacementOwner::HandleStreamEvent(Client& aClient,
                                  const wire::PlacementEvent& aEvent)
{
  const auto it =
    aClient.mStreams.find(static_cast<std::uint64_t>(aEvent.number));
  if (it == aClient.mStreams.end()) {
    return;
  }
  const std::uint64_t local = it->second->LocalNumber();
  switch (aEvent.kind) {
    case wire::PlacementEventKind::PREFILL_ENDED:
      mTables.mStreams.OnPrefillEnded(
        local, std::chrono::microseconds(aEvent.elapsedUs));
      return;
    case wire::PlacementEventKind::DECODE_STARTED:
      mTables.mStreams.OnDecodeStarted(local);
      return;
    case wire::PlacementEventKind::MOVED:
      mTables.mStreams.OnMoved(local, aEvent.endpoint);
      return;
    default:
      aClient.mStreams.erase(it);
      return;
  }
}

} // namespace bulrushfold
