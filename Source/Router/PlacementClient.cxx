#include "Router/PlacementClient.h"

#include <utility>

#include "Wire/ThriftCodec.h"

namespace bulrushfold {

namespace {
/** Time for the answer to a plain request: the owner lets it wait for 100 ms at
 * most. */
constexpr Duration kPlainTimeout = std::chrono::milliseconds(300);
} // namespace

PlacementClient::PlacementClient(const Clock& aClock,
                                 std::string aOwnName,
                                 std::int64_t aSession,
                                 PlacementLink aLink,
                                 PlainPlacer& aPlain,
                                 StreamPlacer& aStreams,
                                 Hooks aHooks)
  : mClock(aClock)
  , mOwnName(std::move(aOwnName))
  , mSession(aSession)
  , mLink(std::move(aLink))
  , mPlain(aPlain)
  , mStreams(aStreams)
  , mHooks(std::move(aHooks))
{
}

PlacementClient::~PlacementClient()
{
  *mIsAlive = false;
}

void
PlacementClient::RequestPlain(const PlainDemand& aDemand,
                              PlainPlacer::Hook aHook)
{
  if (!mOwner) {
    RequestOwnPlain(aDemand, aHook);
    return;
  }
  const std::uint64_t number = aDemand.mNumber;
  mWaitingPlain[number] = { aDemand, std::move(aHook) };
  wire::PlainPlacementRequest request = ToWire(aDemand, mClock.Now());
  request.session = mSession;
  // The owner must hear first of requests that have ended.
  SendEvents();
  mLink.mCall(
    *mOwner,
    wire::MessageKind::PLACE_PLAIN,
    EncodeThrift(request),
    kPlainTimeout,
    [this, alive = mIsAlive, number, session = mSession, owner = mOwner->mName](
      const absl::StatusOr<std::string>& aReply) {
      if (*alive) {
        HandlePlainReply(number, session, owner, aReply);
      }
    });
}

void
PlacementClient::RequestOwnPlain(const PlainDemand& aDemand,
                                 const PlainPlacer::Hook& aHook)
{
  if (const auto wait = mHooks.mTakeQuota(aDemand.mTerms); wait) {
    aHook(OverQuotaGrant(aDemand.mNumber, *wait));
    return;
  }
  mPlain.Request(
    aDemand, [this, aHook, terms = aDemand.mTerms](const PlainGrant& aGrant) {
      if (!aGrant.mChoice) {
        mHooks.mRefundQuota(terms);
      }
      aHook(aGrant);
    });
}

void
PlacementClient::HandlePlainReply(std::uint64_t aNumber,
                                  std::int64_t aSession,
                                  const std::string& aOwner,
                                  const absl::StatusOr<std::string>& aReply)
{
  const bool isPresent = aSession == mSession;
  const auto reply =
    aReply.ok() ? DecodeThrift<wire::PlainPlacementReply>(*aReply)
                : absl::StatusOr<wire::PlainPlacementReply>(aReply.status());
  if (reply.ok() && isPresent) {
    mLastHeardAt = mClock.Now();
  } else if (isPresent && !HandleFailure(reply.status())) {
    // The owner may have granted an endpoint, and its answer was lost.
    AddEvent(wire::PlacementEventKind::PLAIN_ENDED, aNumber);
  }
  const auto waiting = mWaitingPlain.extract(aNumber);
  PlainGrant grant = reply.ok() ? FromWire(*reply, aNumber) : PlainGrant();
  grant.mPlacedBy = aOwner;
  const bool isUsable = grant.mChoice && !waiting.empty() &&
                        mHooks.mIsUsable(grant.mChoice->mEndpoint);
  if (grant.mChoice && isPresent) {
    mGrantedPlain.insert(aNumber);
    if (!isUsable) {
      OnPlainEnded(aNumber, SendResult::Refused, std::nullopt);
    }
  }
  if (waiting.empty()) {
    return;
  }
  // Without an answer, and if this daemon knows better about the endpoint, it
  // chooses by itself.
  if (!reply.ok() || (grant.mChoice && !isUsable)) {
    RequestOwnPlain(waiting.mapped().mDemand, waiting.mapped().mHook);
  } else {
    waiting.mapped().mHook(grant);
  }
}

void
PlacementClient::WithdrawPlain(std::uint64_t aNumber)
{
  mPlain.Withdraw(aNumber);
  if (mWaitingPlain.erase(aNumber) > 0) {
    AddEvent(wire::PlacementEventKind::PLAIN_ENDED, aNumber);
  }
}

void
PlacementClient::OnPlainEnded(std::uint64_t aNumber,
                              SendResult aResult,
                              const std::optional<ReportedLoad>& aLoad)
{
  if (mGrantedPlain.erase(aNumber) == 0) {
    mPlain.Dispatch();
    return;
  }
  wire::PlacementEvent event;
  event.kind = wire::PlacementEventKind::PLAIN_ENDED;
  event.number = static_cast<std::int64_t>(aNumber);
  event.result = static_cast<std::int32_t>(aResult);
  if (aLoad) {
    event.load.running = static_cast<std::int32_t>(aLoad->mRunning);
    event.load.waiting = static_cast<std::int32_t>(aLoad->mWaiting);
    event.load.slots = static_cast<std::int32_t>(aLoad->mSlots);
    event.__isset.load = true;
  }
  AddEvent(event);
}

void
PlacementClient::OnSendResult(const std::string& aService,
                              const std::string& aEndpoint,
                              SendResult aResult)
{
  wire::PlacementEvent event;
  event.kind = wire::PlacementEventKind::SEND_RESULT;
  event.serviceName = aService;
  event.endpoint = aEndpoint;
  event.result = static_cast<std::int32_t>(aResult);
  AddEvent(event);
}

void
PlacementClient::OnEndpointChange(const EndpointRecord& aEndpoint,
                                  EndpointChange aChange,
                                  Duration aBackoff)
{
  using Kind = wire::PlacementEventKind;
  wire::PlacementEvent event;
  switch (aChange) {
    case EndpointChange::LeavingAnnounced:
      event.kind = Kind::ENDPOINT_LEAVING;
      break;
    case EndpointChange::BackoffStarted:
      event.kind = Kind::ENDPOINT_BACKOFF;
      break;
    case EndpointChange::Replaced:
      event.kind = Kind::ENDPOINT_REPLACED;
      break;
    default:
      return;
  }
  event.endpoint = aEndpoint.mId;
  event.incarnation = aEndpoint.mIncarnation;
  event.leftMs = static_cast<std::int32_t>(ToMilliseconds(aBackoff));
  AddEvent(event);
}

void
PlacementClient::AddEvent(wire::PlacementEventKind::type aKind,
                          std::uint64_t aNumber)
{
  wire::PlacementEvent event;
  event.kind = aKind;
  event.number = static_cast<std::int64_t>(aNumber);
  AddEvent(event);
}

void
PlacementClient::AddEvent(const wire::PlacementEvent& aEvent)
{
  if (!mOwner) {
    return;
  }
  mEvents.events.push_back(aEvent);
  ScheduleEvents();
}

void
PlacementClient::ScheduleEvents()
{
  if (!std::exchange(mIsSendScheduled, true)) {
    mHooks.mDefer([this, alive = mIsAlive] {
      if (*alive) {
        mIsSendScheduled = false;
        SendEvents();
      }
    });
  }
}

void
PlacementClient::SendEvents()
{
  wire::PlacementEvents events =
    std::exchange(mEvents, wire::PlacementEvents());
  if (mOwner && !(events.events.empty() && events.adopted.empty())) {
    events.session = mSession;
    mLink.mSend(
      *mOwner, wire::MessageKind::PLACEMENT_EVENTS, EncodeThrift(events));
  }
}

} // namespace bulrushfold
