#include "Router/PeerStatus.h"

#include <algorithm>
#include <utility>

#include "Router/PlacementMessages.h"
#include "Wire/ThriftCodec.h"

namespace bulrushfold {

namespace {
/** Bounds of the evidence of crashes in one message; each is a multiple of what
 * a daemon sends. */
constexpr std::size_t kMaxEvidence = 200;
constexpr std::size_t kMaxEvidenceParts = 64;
constexpr std::int32_t kMaxEvidenceAgeMs = 3600 * 1000;

void
EncodeCrashes(const PeerStatus& aStatus, wire::RoutingStatus& aMessage)
{
  for (const auto& it : aStatus.mCrashes.mLost) {
    wire::LostPrompt lost;
    lost.id = static_cast<std::int64_t>(it.mId);
    lost.engine = static_cast<std::int64_t>(it.mEngine);
    lost.parts.assign(it.mKeys.mParts.begin(), it.mKeys.mParts.end());
    lost.requestHash = static_cast<std::int64_t>(it.mKeys.mRequest);
    lost.contentHash = static_cast<std::int64_t>(it.mKeys.mContent);
    lost.ageMs = WholeMilliseconds(it.mAge);
    lost.tookMs = WholeMilliseconds(it.mTook);
    aMessage.lostPrompts.push_back(std::move(lost));
  }
  for (const auto& it : aStatus.mCrashes.mEngineAnswers) {
    wire::EngineAnswer answer;
    answer.engine = static_cast<std::int64_t>(it.mEngine);
    answer.ageMs = WholeMilliseconds(it.mAge);
    answer.tookMs = WholeMilliseconds(it.mTook);
    aMessage.engineAnswers.push_back(answer);
  }
  for (const auto& it : aStatus.mCrashes.mAnswered) {
    wire::AnsweredPart answered;
    answered.part = static_cast<std::int64_t>(it.mPart);
    answered.ageMs = WholeMilliseconds(it.mAge);
    aMessage.answeredParts.push_back(std::move(answered));
  }
  aMessage.__isset.lostPrompts = true;
  aMessage.__isset.answeredParts = true;
  aMessage.__isset.engineAnswers = true;
}

/** False when a message states more, or older, evidence than any daemon sends.
 */
bool
IsCredible(const wire::RoutingStatus& aMessage)
{
  const auto isAge = [](std::int32_t aMs) {
    return aMs >= 0 && aMs <= kMaxEvidenceAgeMs;
  };
  return aMessage.lostPrompts.size() <= kMaxEvidence &&
         aMessage.answeredParts.size() <= kMaxEvidence &&
         aMessage.engineAnswers.size() <= kMaxEvidence &&
         std::all_of(aMessage.lostPrompts.begin(),
                     aMessage.lostPrompts.end(),
                     [&](const auto& aIt) {
                       return isAge(aIt.ageMs) && isAge(aIt.tookMs) &&
                              aIt.parts.size() <= kMaxEvidenceParts;
                     }) &&
         std::all_of(aMessage.answeredParts.begin(),
                     aMessage.answeredParts.end(),
                     [&](const auto& aIt) { return isAge(aIt.ageMs); }) &&
         std::all_of(aMessage.engineAnswers.begin(),
                     aMessage.engineAnswers.end(),
                     [&](const auto& aIt) {
                       return isAge(aIt.ageMs) && isAge(aIt.tookMs);
                     });
}

void
DecodeCrashes(const wire::RoutingStatus& aMessage, PeerStatus& aStatus)
{
  CrashReport& crashes = aStatus.mCrashes;
  for (const auto& it : aMessage.lostPrompts) {
    crashes.mLost.push_back({ static_cast<std::uint64_t>(it.id),
                              static_cast<std::uint64_t>(it.engine),
                              { { it.parts.begin(), it.parts.end() },
                                static_cast<std::uint64_t>(it.requestHash),
                                static_cast<std::uint64_t>(it.contentHash) },
                              std::chrono::milliseconds(it.ageMs),
                              std::chrono::milliseconds(it.tookMs) });
  }
  for (const auto& it : aMessage.answeredParts) {
    crashes.mAnswered.push_back({ static_cast<std::uint64_t>(it.part),
                                  std::chrono::milliseconds(it.ageMs) });
  }
  for (const auto& it : aMessage.engineAnswers) {
    crashes.mEngineAnswers.push_back({ static_cast<std::uint64_t>(it.engine),
                                       std::chrono::milliseconds(it.ageMs),
                                       std::chrono::milliseconds(it.tookMs) });
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
  for (const auto& [workspace, units] : aStatus.mQuotaUses) {
    wire::QuotaUse use;
    use.workspace = workspace;
    use.units = units;
    message.quotaUses.push_back(std::move(use));
  }
  message.__isset.quotaUses = true;
  for (const auto& it : aStatus.mOrigins) {
    message.origins.push_back(ToWire(it, aNow));
  }
  message.__isset.origins = true;
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
  if (!IsCredible(aMessage)) {
    return absl::InvalidArgumentError(
      "lostPrompts, answeredParts, engineAnswers: out of bounds");
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
  DecodeCrashes(aMessage, status);
  for (const auto& it : aMessage.quotaUses) {
    status.mQuotaUses[it.workspace] = it.units > 0 ? it.units : 0;
  }
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
  for (const auto& it : aMessage.origins) {
    status.mOrigins.push_back(FromWire(it, aNow));
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
