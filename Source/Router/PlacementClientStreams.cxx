#include "Router/PlacementClient.h"

#include <algorithm>
#include <utility>

#include "Wire/ThriftCodec.h"

namespace bulrushfold {

namespace {
/** Time beyond a stream's queue deadline for the owner's answer to arrive. */
constexpr Duration kStreamMargin = std::chrono::milliseconds(300);
} // namespace

bool
PlacementClient::Admits(const StreamDemand& aDemand)
{
  // The owner refuses by its answer.
  return mOwner || mStreams.Admits(aDemand);
}

void
PlacementClient::Submit(StreamDemand aDemand, DispatchedStream& aStream)
{
  auto& tracked = mTracked[aDemand.mNumber];
  if (tracked) {
    Release(*tracked);
  }
  tracked = std::make_unique<TrackedStream>(std::move(aDemand), aStream);
  tracked->mIsRemote = mOwner.has_value();
  if (tracked->mIsRemote) {
    SubmitToOwner(*tracked);
  } else {
    SubmitOwn(*tracked);
  }
}

void
PlacementClient::SubmitOwn(TrackedStream& aStream)
{
  const auto wait = mHooks.mTakeQuota(aStream.mDemand.mTerms);
  if (!wait) {
    aStream.mRefund = mHooks.mRefundQuota;
    mStreams.Submit(aStream.mDemand, aStream);
    return;
  }
  // The stream does not expect an answer before this call returns.
  mHooks.mDefer(
    [this, alive = mIsAlive, number = aStream.mDemand.mNumber, wait = *wait] {
      const auto it = *alive ? mTracked.find(number) : mTracked.end();
      if (it != mTracked.end() &&
          it->second->mState == TrackedStream::State::Waiting) {
        it->second->HandleOverQuota(wait);
      }
    });
}

void
PlacementClient::SubmitToOwner(TrackedStream& aStream)
{
  const Instant now = mClock.Now();
  wire::StreamPlacementRequest request = ToWire(aStream.mDemand, now);
  request.session = mSession;
  SendEvents();
  mLink.mCall(*mOwner,
              wire::MessageKind::PLACE_STREAM,
              EncodeThrift(request),
              aStream.mDemand.mQueueDeadline - now + kStreamMargin,
              [this,
               alive = mIsAlive,
               number = aStream.mDemand.mNumber,
               session = mSession](const absl::StatusOr<std::string>& aReply) {
                if (*alive && session == mSession) {
                  HandleStreamReply(number, aReply);
                }
              });
}

void
PlacementClient::HandleStreamReply(std::uint64_t aNumber,
                                   const absl::StatusOr<std::string>& aReply)
{
  const auto reply =
    aReply.ok() ? DecodeThrift<wire::StreamPlacementReply>(*aReply)
                : absl::StatusOr<wire::StreamPlacementReply>(aReply.status());
  // The streams that wait are submitted to the next owner.
  if (!reply.ok() && HandleFailure(reply.status())) {
    return;
  }
  using Result = wire::StreamPlacementResult;
  const bool isPlaced = reply.ok() && reply->result == Result::PLACED;
  TrackedStream* stream = FindRemote(aNumber);
  if (stream == nullptr || stream->mState != TrackedStream::State::Waiting) {
    if (isPlaced) {
      AddEvent(wire::PlacementEventKind::DECODE_ENDED, aNumber);
    }
    return;
  }
  if (!reply.ok()) {
    // The owner may have placed the stream, and its answer was lost.
    AddEvent(wire::PlacementEventKind::DECODE_ENDED, aNumber);
    stream->HandlePlacement(nullptr);
    return;
  }
  mLastHeardAt = mClock.Now();
  const Duration retryAfter = std::chrono::milliseconds(reply->retryAfterMs);
  switch (reply->result) {
    case Result::PLACED: {
      StreamPlacement placement = FromWire(*reply, aNumber);
      placement.mPlacedBy = mOwner->mName;
      HandleRemotePlacement(*stream, placement);
      return;
    }
    case Result::EXPIRED:
      stream->HandlePlacement(nullptr);
      return;
    case Result::UNSERVABLE:
      stream->HandleUnservable(retryAfter);
      return;
    case Result::OVERLOAD:
      stream->HandleOverload();
      return;
    case Result::OVER_QUOTA:
      stream->HandleOverQuota(retryAfter);
      return;
  }
}

void
PlacementClient::HandleRemotePlacement(TrackedStream& aStream,
                                       const StreamPlacement& aPlacement)
{
  const bool isUsable =
    mHooks.mIsUsable(aPlacement.mDecode) &&
    (aPlacement.mPrefill.empty() || mHooks.mIsUsable(aPlacement.mPrefill));
  if (isUsable) {
    aStream.HandlePlacement(&aPlacement);
    return;
  }
  // This daemon knows better about the engines, so it places by itself.
  aStream.mState = TrackedStream::State::Placed;
  Release(aStream);
  aStream.mIsRemote = false;
  aStream.mState = TrackedStream::State::Waiting;
  // The owner has taken the cost.
  mStreams.Submit(aStream.mDemand, aStream);
}

void
PlacementClient::Adopt(const StreamRun& aRun, DispatchedStream& aStream)
{
  const auto it = mTracked.find(aRun.mNumber);
  StreamDemand demand =
    it == mTracked.end() ? StreamDemand() : it->second->mDemand;
  demand.mNumber = aRun.mNumber;
  auto tracked = std::make_unique<TrackedStream>(std::move(demand), aStream);
  tracked->mState = TrackedStream::State::Placed;
  tracked->mRun = aRun;
  tracked->mIsRemote = mOwner.has_value();
  if (tracked->mIsRemote) {
    mEvents.adopted.push_back(ToWire(aRun, mClock.Now()));
    ScheduleEvents();
  } else {
    mStreams.Adopt(aRun, *tracked);
  }
  mTracked[aRun.mNumber] = std::move(tracked);
}

TrackedStream*
PlacementClient::FindRemote(std::uint64_t aNumber)
{
  const auto it = mTracked.find(aNumber);
  return it != mTracked.end() && it->second->mIsRemote ? it->second.get()
                                                       : nullptr;
}

void
PlacementClient::Release(TrackedStream& aStream)
{
  const std::uint64_t number = aStream.mDemand.mNumber;
  const auto state = std::exchange(aStream.mState, TrackedStream::State::Idle);
  using Kind = wire::PlacementEventKind;
  if (aStream.mIsRemote) {
    if (state != TrackedStream::State::Idle) {
      AddEvent(state == TrackedStream::State::Waiting ? Kind::STREAM_WITHDRAWN
                                                      : Kind::DECODE_ENDED,
               number);
    }
    return;
  }
  if (state == TrackedStream::State::Waiting) {
    aStream.Refund();
    mStreams.Withdraw(number);
  } else if (state == TrackedStream::State::Placed) {
    mStreams.OnPrefillEnded(number, Duration::zero());
    mStreams.OnDecodeEnded(number);
  }
  mStreams.Unregister(number);
}

void
PlacementClient::Withdraw(std::uint64_t aNumber)
{
  const auto it = mTracked.find(aNumber);
  if (it != mTracked.end() &&
      it->second->mState == TrackedStream::State::Waiting) {
    Release(*it->second);
  }
}

void
PlacementClient::Unregister(std::uint64_t aNumber)
{
  if (const auto it = mTracked.find(aNumber); it != mTracked.end()) {
    Release(*it->second);
    mTracked.erase(it);
  }
}

void
PlacementClient::OnPrefillEnded(std::uint64_t aNumber, Duration aDuration)
{
  const auto it = mTracked.find(aNumber);
  if (it == mTracked.end() ||
      !std::exchange(it->second->mIsPrefilling, false)) {
    return;
  }
  if (!it->second->mIsRemote) {
    mStreams.OnPrefillEnded(aNumber, aDuration);
    return;
  }
  wire::PlacementEvent event;
  event.kind = wire::PlacementEventKind::PREFILL_ENDED;
  event.number = static_cast<std::int64_t>(aNumber);
  event.elapsedUs =
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count();
  AddEvent(event);
}

void
PlacementClient::OnDecodeStarted(std::uint64_t aNumber)
{
  const auto it = mTracked.find(aNumber);
  if (it == mTracked.end()) {
    return;
  }
  it->second->mRun.mStartedAt = mClock.Now();
  if (it->second->mIsRemote) {
    AddEvent(wire::PlacementEventKind::DECODE_STARTED, aNumber);
  } else {
    mStreams.OnDecodeStarted(aNumber);
  }
}

void
PlacementClient::OnDecodeEnded(std::uint64_t aNumber)
{
  const auto it = mTracked.find(aNumber);
  if (it != mTracked.end() &&
      it->second->mState == TrackedStream::State::Placed) {
    Release(*it->second);
  }
}

void
PlacementClient::OnMoved(std::uint64_t aNumber, const std::string& aEndpoint)
{
  const auto it = mTracked.find(aNumber);
  if (it == mTracked.end()) {
    return;
  }
  it->second->mRun.mEndpoint = aEndpoint;
  if (!it->second->mIsRemote) {
    mStreams.OnMoved(aNumber, aEndpoint);
    return;
  }
  wire::PlacementEvent event;
  event.kind = wire::PlacementEventKind::MOVED;
  event.number = static_cast<std::int64_t>(aNumber);
  event.endpoint = aEndpoint;
  AddEvent(event);
}

void
PlacementClient::OnProgress(const std::string& aService,
                            std::uint64_t aEvents,
                            std::uint32_t aTokensPerEvent,
                            Duration aDuration)
{
  // The rates are also needed when this daemon places by itself.
  mStreams.OnProgress(aService, aEvents, aTokensPerEvent, aDuration);
  wire::PlacementEvent event;
  event.kind = wire::PlacementEventKind::PROGRESS;
  event.serviceName = aService;
  event.tokens = static_cast<std::int64_t>(aEvents);
  event.tokensPerEvent = static_cast<std::int32_t>(aTokensPerEvent);
  event.elapsedUs =
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count();
  AddEvent(event);
}

void
PlacementClient::OnReservationRefused(const std::string& aEndpoint,
                                      std::uint64_t aTokens)
{
  mStreams.OnReservationRefused(aEndpoint, aTokens);
  wire::PlacementEvent event;
  event.kind = wire::PlacementEventKind::RESERVATION_REFUSED;
  event.endpoint = aEndpoint;
  event.tokens = static_cast<std::int64_t>(aTokens);
  AddEvent(event);
}

void
PlacementClient::OnInterrupted(const CachedPrompt& aPrompt)
{
  mStreams.OnInterrupted(aPrompt);
  wire::PlacementEvent event;
  event.kind = wire::PlacementEventKind::INTERRUPTED;
  event.endpoint = aPrompt.mEndpoint;
  event.promptKey = static_cast<std::int64_t>(aPrompt.mKey);
  event.tokens = static_cast<std::int64_t>(aPrompt.mTokens);
  AddEvent(event);
}

std::size_t
PlacementClient::WaitingCount() const
{
  return static_cast<std::size_t>(
    std::count_if(mTracked.begin(), mTracked.end(), [](const auto& aIt) {
      return aIt.second->mState == TrackedStream::State::Waiting;
    }));
}

} // namespace bulrushfold
