#include "Router/StreamSession.h"

#include <utility>

namespace bulrushfold {

void
StreamSession::Decode(const DecodeParameters& aParameters, Instant aDeadline)
{
  SendParameters parameters;
  parameters.mTimeLeft = aDeadline - mServices.mClock.Now();
  parameters.mCache = aParameters.mCache;
  parameters.mReservation = aParameters.mReservation;
  parameters.mLastEventId = aParameters.mLastEventId;
  HttpCallRequest request = mServices.mProtocol.Forward(
    mRequest->Message(),
    *mServices.mDirectory.Find(aParameters.mEndpoint),
    parameters);
  HttpCallHooks hooks;
  hooks.mOnHeaders = [this](int aStatus, const HttpHeaders& aHeaders) {
    HandleDecodeHead(aStatus, aHeaders);
  };
  hooks.mOnChunk = [this](std::string_view aData) {
    const auto self = mSelf;
    mCall.OnAnswerData(aData, mServices.mClock.Now());
  };
  hooks.mOnDone = [this](const HttpCallReply& aReply) {
    HandleDecodeEnd(aReply);
  };
  mHeadOutcome = SendOutcome::Unknown;
  mIsReadPaused = false;
  mAnswerStartedAt = Instant();
  StartSend(
    "decode", aParameters.mEndpoint, std::move(request), std::move(hooks));
}

void
StreamSession::HandleDecodeHead(int aStatus, const HttpHeaders& aHeaders)
{
  const auto self = mSelf;
  mAnswerStartedAt = mServices.mClock.Now();
  const AnswerMetadata metadata =
    mServices.mProtocol.ReadAnswer(aStatus, aHeaders);
  mHeadOutcome =
    ClassifySend(HttpCallResult::Complete, metadata, mRequest->mMetadata.mId);
  if (mHeadOutcome == SendOutcome::OtherEndpoint) {
    mServices.mDirectory.OnAddressReused(mEndpoint);
  }
  mCall.OnAnswerStarted(
    mHeadOutcome, aStatus, aHeaders, mServices.mClock.Now());
}

void
StreamSession::HandleDecodeEnd(const HttpCallReply& aReply)
{
  const auto self = mSelf;
  const bool isMoving = mCall.IsMoving();
  const SendOutcome outcome = HandleSendReply(aReply);
  if (!isMoving && aReply.mResult == HttpCallResult::ConnectionLost) {
    RecordLostRun();
  }
  mCall.OnAnswerEnded(outcome, mServices.mClock.Now());
}

void
StreamSession::RecordLostRun()
{
  const Duration answering = mAnswerStartedAt == Instant()
                               ? Duration::zero()
                               : mServices.mClock.Now() - mAnswerStartedAt;
  mServices.mLog.RunLost(*mRequest, mEndpoint, answering);
}

} // namespace bulrushfold
