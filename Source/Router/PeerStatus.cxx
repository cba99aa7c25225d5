#include "Router/PeerStatus.h"

#include <algorithm>
#include <utility>

#include "Router/PlacementMessages.h"
#include "Wire/ThriftCodec.h"

namespace bulrushfold {

namespace {
void
EncodeCrashes(const PeerStatus& aStatus, wire::RoutingStatus& aMessage)
{
  for (const auto& it : aStatus.mLostPrompts) {
    wire::LostPrompt lost;
    lost.engine = static_cast<std::int64_t>(it.mEngine);
    lost.parts.assign(it.mParts.begin(), it.mParts.end());
    lost.ageMs = WholeMilliseconds(it.mAge);
    aMessage.lostPrompts.push_back(std::move(lost));
  }
  for (const auto& it : aStatus.mAnsweredParts) {
    wire::AnsweredPart answered;
    answered.part = static_cast<std::int64_t>(it.mPart);
    answered.ageMs = WholeMilliseconds(it.mAge);
    aMessage.answeredParts.push_back(std::move(answered));
  }
  aMessage.__isset.lostPrompts = true;
  aMessage.__isset.answeredParts = true;
}

void
DecodeCrashes(const wire::RoutingStatus& aMessage, PeerStatus& aStatus)
{
  for (const auto& it : aMessage.lostPrompts) {
    aStatus.mLostPrompts.push_back(
      { static_cast<std::uint64_t>(it.engine),
        { it.parts.begin(), it.parts.end() },
        std::chrono::milliseconds(std::max(it.ageMs, 0)) });
  }
  for (const auto& it : aMessage.answeredParts) {
    aStatus.mAnsweredParts.push_back(
      { static_cast<std::uint64_t>(it.part),
        std::chrono::milliseconds(std::max(it.ageMs, 0)) });
  }
}
} // namespace

wire::RoutingStatus
ToWire(const PeerStatus& aStatus, Instant aNow)
{
  wire::RoutingStatus message;
  for (const auto& it : aStatus.mRuns) {
    message.runs.push_back(ToWire(it, aNow));
  }
  for (const auto& [endpoint, work] : aStatus.mWorks) {
    wire::EndpointShare share;
    share.endpoint = endpoint;
    share.requests = static_cast<std::int32_t>(work.mRequests);
    share.prefillTokens = static_cast<std::int32_t>(work.mPrefillTokens);
    message.shares.push_back(std::move(share));
  }
  for (const auto& [service, use] : aStatus.mRetries) {
    wire::RetryUse retry;
    retry.serviceName = service;
    retry.requests = static_cast<std::int32_t>(use.mRequests);
    retry.retries = static_cast<std::int32_t>(use.mRetries);
    message.retries.push_back(std::move(retry));
  }
  for (const auto& it : aStatus.mSuspects) {
    wire::CrashSuspect suspect;
    suspect.requestHash = static_cast<std::int64_t>(it.mHash);
    suspect.losses = static_cast<std::int32_t>(it.mLosses);
    suspect.ageMs = WholeMilliseconds(it.mAge);
    message.suspects.push_back(std::move(suspect));
  }
  EncodeCrashes(aStatus, message);
  for (const auto& it : aStatus.mDeferredRequests) {
    wire::TurnedAway request;
    request.requestHash = static_cast<std::int64_t>(it.mHash);
    request.ageMs = WholeMilliseconds(it.mAge);
    message.turnedAway.push_back(request);
  }
  for (const auto& it : aStatus.mCachedPrompts) {
    wire::KeptPrompt prompt;
    prompt.promptKey = static_cast<std::int64_t>(it.mKey);
    prompt.endpoint = it.mEndpoint;
    prompt.tokens = static_cast<std::int32_t>(it.mTokens);
    prompt.ageMs = WholeMilliseconds(aNow - it.mObservedAt);
    message.keptPrompts.push_back(std::move(prompt));
  }
  for (const auto& [endpoint, order] : aStatus.mRoleOrders) {
    wire::RoleOrder item;
    item.endpoint = endpoint;
    item.isToDecode = order.mRole == EndpointRole::Decode;
    item.leftMs = WholeMilliseconds(order.mDeadline - aNow);
    message.roleOrders.push_back(std::move(item));
  }
  message.isLeaving = aStatus.mIsStopping;
  message.address = FormatAddress(aStatus.mAddress);
  return message;
}

std::string
EncodePeerStatus(const PeerStatus& aStatus, Instant aNow)
{
  return EncodeThrift(ToWire(aStatus, aNow));
}

absl::StatusOr<PeerStatus>
DecodePeerStatus(std::string_view aPayload, Instant aNow)
{
  const auto message = DecodeThrift<wire::RoutingStatus>(aPayload);
  return message.ok() ? FromWire(*message, aNow) : message.status();
}

absl::StatusOr<PeerStatus>
FromWire(const wire::RoutingStatus& aMessage, Instant aNow)
{
  PeerStatus status;
  if (!ParseAddress(aMessage.address, status.mAddress)) {
    return absl::InvalidArgumentError("address: expected IPv4:PORT");
  }
  status.mIsStopping = aMessage.isLeaving;
  for (const auto& it : aMessage.runs) {
    status.mRuns.push_back(FromWire(it, aNow));
  }
  for (const auto& it : aMessage.shares) {
    status.mWorks[it.endpoint] = {
      static_cast<std::uint32_t>(std::max(it.requests, 0)),
      static_cast<std::uint64_t>(std::max(it.prefillTokens, 0))
    };
  }
  for (const auto& it : aMessage.retries) {
    status.mRetries[it.serviceName] = {
      static_cast<std::uint32_t>(std::max(it.requests, 0)),
      static_cast<std::uint32_t>(std::max(it.retries, 0))
    };
  }
  for (const auto& it : aMessage.suspects) {
    status.mSuspects.push_back(
      { static_cast<std::uint64_t>(it.requestHash),
        static_cast<std::uint32_t>(std::max(it.losses, 0)),
        std::chrono::milliseconds(it.ageMs) });
  }
  DecodeCrashes(aMessage, status);
  for (const auto& it : aMessage.turnedAway) {
    status.mDeferredRequests.push_back(
      { static_cast<std::uint64_t>(it.requestHash),
        std::chrono::milliseconds(it.ageMs) });
  }
  for (const auto& it : aMessage.keptPrompts) {
    status.mCachedPrompts.push_back(
      { static_cast<std::uint64_t>(it.promptKey),
        it.endpoint,
        static_cast<std::uint64_t>(std::max(it.tokens, 0)),
        aNow - std::chrono::milliseconds(it.ageMs) });
  }
  for (const auto& it : aMessage.roleOrders) {
    status.mRoleOrders[it.endpoint] = {
      it.isToDecode ? EndpointRole::Decode : EndpointRole::Prefill,
      aNow + std::chrono::milliseconds(it.leftMs)
    };
  }
  return status;
}

} // namespace bulrushfold
