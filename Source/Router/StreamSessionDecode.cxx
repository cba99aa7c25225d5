#include "Router/StreamSession.h"

#include <utility>

namespace bulrushfold {

namespace {
/** An engine that a prompt crashes does so when it begins to write the answer.
 * A run that was lost later did not cause the crash. */
constexpr Duration kAnswerBeginning = std::chrono::milliseconds(500);
} // namespace

void
StreamSession::Decode(const DecodeParameters& aParameters, Instant aDeadline)
{
  SendParameters parameters =
    mRequest->MakeSendParameters(aDeadline - mServices.mClock.Now());
  parameters.mCache = aParameters.mCache;
  parameters.mReservation = aParameters.mReservation;
  parameters.mLastEventId = aParameters.mLastEventId;
  const EndpointRecord& endpoint =
    *mServices.mDirectory.Find(aParameters.mEndpoint);
  HttpCallRequest request =
    mServices.mProtocol.Forward(mRequest->Message(), endpoint, parameters);
  HttpCallHooks hooks;
  const std::uint64_t number = mAttempt.mNumber;
  hooks.mOnHeaders = [this, number](int aStatus, const HttpHeaders& aHeaders) {
    HandleDecodeHead(number, aStatus, aHeaders);
  };
  hooks.mOnChunk = [this, number](std::string_view aData) {
    const auto self = mSelf;
    if (!OnDecodeHeard(number)) {
      return;
    }
    mCall.OnAnswerData(aData, mServices.mClock.Now());
    if (mAttempt.mSend) {
      mAttempt.mSend->SetKeptBytes(mCall.KeptBytes());
    }
  };
  hooks.mOnDone = [this, number](const HttpCallReply& aReply) {
    HandleDecodeEnd(number, aReply);
  };
  mAttempt.mHeadOutcome = SendOutcome::Unknown;
  mIsReadPaused = false;
  mAttempt.mAnswerStartedAt = Instant();
  StartSend("decode", endpoint, std::move(request), std::move(hooks));
}

bool
StreamSession::OnDecodeHeard(std::uint64_t aNumber)
{
  if (mRunAside && mRunAside->mNumber == aNumber) {
    mCall.OnRunHeard(mServices.mClock.Now());
  }
  return mAttempt.mNumber == aNumber;
}

void
StreamSession::HandleDecodeHead(std::uint64_t aNumber,
                                int aStatus,
                                const HttpHeaders& aHeaders)
{
  const auto self = mSelf;
  if (!OnDecodeHeard(aNumber)) {
    return;
  }
  mAttempt.mAnswerStartedAt = mServices.mClock.Now();
  mAttempt.mIsAnswerFramed = aHeaders.Count("Content-Length") > 0 ||
                             aHeaders.Count("Transfer-Encoding") > 0;
  const AnswerMetadata metadata =
    mServices.mProtocol.ReadAnswer(aStatus, aHeaders);
  mAttempt.mHeadOutcome =
    ClassifySend(HttpCallResult::Complete, metadata, mRequest->mMetadata.mId);
  if (mAttempt.mHeadOutcome == SendOutcome::OtherEndpoint) {
    mServices.mDirectory.OnAddressReused(mAttempt.mRun.mEndpoint);
  }
  mCall.OnAnswerStarted(
    mAttempt.mHeadOutcome, aStatus, aHeaders, mServices.mClock.Now());
}

void
StreamSession::HandleDecodeEnd(std::uint64_t aNumber,
                               const HttpCallReply& aReply)
{
  const auto self = mSelf;
  if (!OnDecodeHeard(aNumber)) {
    return;
  }
  const bool isMoving = mCall.IsMoving();
  HttpCallReply reply = aReply;
  // An answer without framing also ends in order when its engine crashes.
  if (reply.mResult == HttpCallResult::Complete && mCall.EndsInsideEvent()) {
    reply.mResult = HttpCallResult::ConnectionLost;
  }
  const SendOutcome outcome = HandleSendReply(reply);
  if (!isMoving && reply.mResult == HttpCallResult::ConnectionLost) {
    RecordLostRun();
  }
  mCall.OnAnswerEnded(outcome, mServices.mClock.Now());
}

void
StreamSession::RecordLostRun()
{
  const Duration answering =
    mAttempt.mAnswerStartedAt == Instant()
      ? Duration::zero()
      : mServices.mClock.Now() - mAttempt.mAnswerStartedAt;
  mServices.mLog.RunLost(*mRequest, mAttempt.mRun.mEndpoint, answering);
  mServices.RecordLostRun(mAttempt.mRun, LostKeys());
}

RequestKeys
StreamSession::LostKeys() const
{
  const bool isBeginning =
    mAttempt.mAnswerStartedAt == Instant() ||
    mServices.mClock.Now() - mAttempt.mAnswerStartedAt < kAnswerBeginning;
  return isBeginning ? mRequest->mCrashKeys : mRequest->KeysWithoutPrompt();
}

void
StreamSession::RecordWholeAnswer()
{
  // A crash also ends an answer without framing, and looks like its end.
  const Instant now = mServices.mClock.Now();
  if (mAttempt.mIsAnswerFramed ||
      now - mAttempt.mAnswerStartedAt >= kAnswerBeginning) {
    mServices.mGuard.OnAnswered(mRequest->mCrashKeys, now);
  }
}

bool
StreamSession::IsPromptRefused()
{
  return mServices.IsCrashSuspect(*mRequest);
}

} // namespace bulrushfold
