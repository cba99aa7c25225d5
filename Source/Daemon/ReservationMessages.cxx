#include "Daemon/ReservationMessages.h"

namespace bulrushfold {

namespace {

WorkKind
KindOfNumber(std::int32_t aNumber)
{
  return aNumber == static_cast<std::int32_t>(WorkKind::Decode)
           ? WorkKind::Decode
           : WorkKind::Prefill;
}

RefuseReason
ReasonOfNumber(std::int32_t aNumber)
{
  const bool isKnown = aNumber >= 0 && aNumber <= static_cast<std::int32_t>(
                                                    RefuseReason::NoAnswer);
  return isKnown ? static_cast<RefuseReason>(aNumber) : RefuseReason::NoAnswer;
}

} // namespace

wire::Reserve
ToWire(const ReserveRequest& aRequest)
{
  wire::Reserve message;
  message.request = aRequest.mRequest;
  message.attempt = static_cast<std::int32_t>(aRequest.mAttempt);
  message.daemon = aRequest.mDaemon;
  message.endpoint = aRequest.mEndpoint;
  message.kind = static_cast<std::int32_t>(aRequest.mKind);
  message.workUs = aRequest.mWork.count();
  message.pieces = static_cast<std::int64_t>(aRequest.mPieces);
  message.linkBytes = aRequest.mLinkBytes;
  message.readyInUs = aRequest.mReadyIn.count();
  message.latestInUs = aRequest.mLatestIn.count();
  message.spareSlots = static_cast<std::int64_t>(aRequest.mMinFreeSlots);
  return message;
}

wire::ReserveReply
ToWire(const std::variant<Grant, Refusal>& aReply)
{
  wire::ReserveReply message;
  message.isGranted = std::holds_alternative<Grant>(aReply);
  message.term = 0;
  message.expiresInUs = 0;
  message.reason = 0;
  if (const auto* grant = std::get_if<Grant>(&aReply); grant != nullptr) {
    message.term = static_cast<std::int64_t>(grant->mTerm);
    message.expiresInUs = grant->mExpiresIn.count();
    message.freeInUs = grant->mFreeIn.count();
  } else {
    const auto& refusal = std::get<Refusal>(aReply);
    message.freeInUs = refusal.mFreeIn.count();
    message.reason = static_cast<std::int32_t>(refusal.mReason);
  }
  return message;
}

wire::Release
ToWire(const ReleaseAction& aRelease)
{
  wire::Release message;
  message.request = aRelease.mRequest;
  message.attempt = static_cast<std::int32_t>(aRelease.mAttempt);
  message.endpoint = aRelease.mEndpoint;
  message.kind = static_cast<std::int32_t>(aRelease.mKind);
  return message;
}

wire::Claim
ToWire(const Claim& aClaim)
{
  wire::Claim message;
  message.request = aClaim.mRequest;
  message.attempt = static_cast<std::int32_t>(aClaim.mAttempt);
  message.daemon = aClaim.mDaemon;
  message.endpoint = aClaim.mEndpoint;
  message.kind = static_cast<std::int32_t>(aClaim.mKind);
  message.pieces = static_cast<std::int64_t>(aClaim.mPieces);
  message.remainingUs = aClaim.mRemaining.count();
  message.isStarted = aClaim.mIsStarted;
  return message;
}

ReserveRequest
FromWire(const wire::Reserve& aMessage)
{
  ReserveRequest request;
  request.mRequest = aMessage.request;
  request.mAttempt = static_cast<std::uint32_t>(aMessage.attempt);
  request.mDaemon = aMessage.daemon;
  request.mEndpoint = aMessage.endpoint;
  request.mKind = KindOfNumber(aMessage.kind);
  request.mWork = Duration(aMessage.workUs);
  request.mPieces = static_cast<std::uint64_t>(aMessage.pieces);
  request.mLinkBytes = aMessage.linkBytes;
  request.mReadyIn = Duration(aMessage.readyInUs);
  request.mLatestIn = Duration(aMessage.latestInUs);
  request.mMinFreeSlots = static_cast<std::uint64_t>(aMessage.spareSlots);
  return request;
}

ReleaseAction
FromWire(const wire::Release& aMessage)
{
  return { aMessage.request,
           static_cast<std::uint32_t>(aMessage.attempt),
           aMessage.endpoint,
           KindOfNumber(aMessage.kind) };
}

Claim
FromWire(const wire::Claim& aMessage)
{
  Claim claim;
  claim.mRequest = aMessage.request;
  claim.mAttempt = static_cast<std::uint32_t>(aMessage.attempt);
  claim.mDaemon = aMessage.daemon;
  claim.mEndpoint = aMessage.endpoint;
  claim.mKind = KindOfNumber(aMessage.kind);
  claim.mPieces = static_cast<std::uint64_t>(aMessage.pieces);
  claim.mRemaining = Duration(aMessage.remainingUs);
  claim.mIsStarted = aMessage.isStarted;
  return claim;
}

std::variant<Grant, Refusal>
FromWire(const wire::ReserveReply& aMessage, const ReserveRequest& aRequest)
{
  if (!aMessage.isGranted) {
    Refusal refusal = MakeRefusal(aRequest, ReasonOfNumber(aMessage.reason));
    refusal.mFreeIn = Duration(aMessage.freeInUs);
    return refusal;
  }
  Grant grant;
  grant.mRequest = aRequest.mRequest;
  grant.mAttempt = aRequest.mAttempt;
  grant.mEndpoint = aRequest.mEndpoint;
  grant.mKind = aRequest.mKind;
  grant.mTerm = static_cast<std::uint64_t>(aMessage.term);
  grant.mExpiresIn = Duration(aMessage.expiresInUs);
  grant.mFreeIn = Duration(aMessage.freeInUs);
  return grant;
}

Refusal
MakeRefusal(const ReserveRequest& aRequest, RefuseReason aReason)
{
  Refusal refusal;
  refusal.mRequest = aRequest.mRequest;
  refusal.mAttempt = aRequest.mAttempt;
  refusal.mEndpoint = aRequest.mEndpoint;
  refusal.mKind = aRequest.mKind;
  refusal.mReason = aReason;
  return refusal;
}

} // namespace bulrushfold
