#include "Router/StreamSession.h"

#include <utility>

#include "Net/HttpStatus.h"

namespace bulrushfold {

void
StreamSession::Reserve(const std::string& aEndpoint, std::uint64_t aTokens)
{
  HttpCallHooks hooks;
  hooks.mOnDone = [this](const HttpCallReply& aReply) {
    HandleReserved(aReply);
  };
  const EndpointRecord& endpoint = *mServices.mDirectory.Find(aEndpoint);
  StartSend(
    "reserve",
    endpoint,
    mServices.mProtocol.Reserve(endpoint, aTokens, mProfile.mMaxReservation),
    std::move(hooks));
}

void
StreamSession::HandleReserved(const HttpCallReply& aReply)
{
  const auto self = mSelf;
  const Instant now = mServices.mClock.Now();
  mAttempt.mSend.reset();
  std::string reservation;
  if (aReply.mResult == HttpCallResult::Complete && aReply.mStatus == kHttpOk) {
    if (auto parsed = mServices.mProtocol.ReadReservation(aReply.mBody);
        parsed.ok() && IsOwnGrant(aReply, "reserve", *parsed)) {
      reservation = *std::move(parsed);
    }
  }
  if (mServices.mProtocol.ReadAnswer(aReply.mStatus, aReply.mHeaders)
        .mIsMisdirected) {
    mServices.mDirectory.OnAddressReused(mAttempt.mRun.mEndpoint);
  }
  if (reservation.empty()) {
    FinishSend(aReply.mResult == HttpCallResult::Complete
                 ? SendResult::Refused
                 : HealthResultOf(aReply.mResult, SendOutcome::Unknown, 0),
               HttpCallResultName(aReply.mResult),
               aReply.mStatus);
  }
  mCall.OnReserved(reservation, now);
}

bool
StreamSession::IsOwnGrant(const HttpCallReply& aReply,
                          std::string_view aStep,
                          const std::string& aHandle)
{
  const std::string id =
    mServices.mProtocol.ReadAnswer(aReply.mStatus, aReply.mHeaders).mRequestId;
  const bool isNew =
    mServices.mGrants.Add(aStep, mAttempt.mRun.mEndpoint, aHandle);
  return id.empty() ? isNew || !aReply.mIsReused
                    : id == mRequest->mMetadata.mId;
}

void
StreamSession::Prefill(const std::string& aEndpoint, Instant aDeadline)
{
  const SendParameters parameters =
    mRequest->MakeSendParameters(aDeadline - mServices.mClock.Now());
  HttpCallHooks hooks;
  hooks.mOnDone = [this](const HttpCallReply& aReply) {
    HandlePrefilled(aReply);
  };
  const EndpointRecord& endpoint = *mServices.mDirectory.Find(aEndpoint);
  StartSend(
    "prefill",
    endpoint,
    mServices.mProtocol.Prefill(mRequest->Message(), endpoint, parameters),
    std::move(hooks));
}

void
StreamSession::HandlePrefilled(const HttpCallReply& aReply)
{
  const auto self = mSelf;
  const Duration duration = mServices.mClock.Now() - mAttempt.mRun.mSentAt;
  const EndpointRecord* endpoint =
    mServices.mDirectory.Find(mAttempt.mRun.mEndpoint);
  SendOutcome outcome = SendOutcome::Unknown;
  KvCache cache;
  if (aReply.mResult == HttpCallResult::Complete && aReply.mStatus == kHttpOk) {
    auto handle = mServices.mProtocol.ReadCacheHandle(aReply.mBody);
    if (handle.ok() && endpoint != nullptr &&
        IsOwnGrant(aReply, "prefill", *handle)) {
      outcome = SendOutcome::Answered;
      cache = { mAttempt.mRun.mEndpoint,
                endpoint->mAddress,
                *std::move(handle) };
    }
    FinishSend(outcome == SendOutcome::Answered ? SendResult::Answered
                                                : SendResult::Interrupted,
               outcome == SendOutcome::Answered ? SendOutcomeName(outcome)
                                                : "no_handle",
               aReply.mStatus);
  } else {
    outcome = HandleSendReply(aReply);
    // Without a handle the stream cannot be decoded, even if the prefill ran.
    outcome = outcome == SendOutcome::Answered ? SendOutcome::Unknown : outcome;
  }
  mCall.OnPrefilled(outcome, cache, duration, mServices.mClock.Now());
}

} // namespace bulrushfold
