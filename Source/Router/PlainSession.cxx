#include "Router/PlainSession.h"

#include <utility>

#include "Net/HttpStatus.h"

namespace bulrushfold {

namespace {
/**
 * Maximum idle time of a connection before it is reused for a request that may
 * run only once. The endpoint may close an idle connection while the request is
 * being sent, and then it is unknown whether the request ran.
 */
constexpr Duration kMaxIdleOnce = std::chrono::milliseconds(1500);
/** Maximum idle time of a connection before it is reused for a request that may
 * run again. */
constexpr Duration kMaxIdle = std::chrono::seconds(4);
/** Maximum size of an answer, which is held in memory until it is complete. */
constexpr std::size_t kMaxAnswerBytes = 8 * 1024 * 1024;
} // namespace

PlainSession::PlainSession(RouterServices& aServices,
                           RoutedRequestPointer aRequest)
  : mServices(aServices)
  , mRequest(std::move(aRequest))
  , mAnswerWriter(aServices, mRequest)
  , mCall(*this, aServices.mRetryBudget, mRequest->mParameters)
  , mTimer(aServices.mLoop, aServices.mClock, [this] {
    const auto self = mSelf;
    mCall.OnWake(mServices.mClock.Now());
  })
{
}

void
PlainSession::Start()
{
  mSelf = shared_from_this();
  const auto self = mSelf;
  mRequest->mExchange->OnClosed([this] { HandleCallerDisconnected(); });
  mStopConnection = mServices.mOnStopEnd.connect(
    sigc::mem_fun(*this, &PlainSession::HandleStopEnd));
  mCall.Start(mServices.mClock.Now());
}

void
PlainSession::RequestEndpoint(const PlainDemand& aDemand)
{
  PlainDemand demand = aDemand;
  demand.mNumber = mDemandNumber = mServices.mNextNumber();
  demand.mTerms = mRequest->Terms();
  mServices.mPlacement.RequestPlain(
    demand,
    [this, self = mSelf](const PlainGrant& aGrant) { HandleGrant(aGrant); });
}

void
PlainSession::HandleGrant(const PlainGrant& aGrant)
{
  const auto self = mSelf;
  mDemandNumber = 0;
  mGrantNumber = aGrant.mNumber;
  mRequest->mHasTakenQuota = mRequest->mHasTakenQuota || aGrant.mChoice;
  mRequest->mPlacedBy = aGrant.mPlacedBy;
  if (!aGrant.mChoice && !aGrant.mIsOverQuota) {
    mServices.mLog.PlacementRefused(*mRequest, aGrant.mRefusal);
  }
  mCall.OnGranted(aGrant, mServices.mClock.Now());
}

void
PlainSession::WithdrawRequest()
{
  mServices.mPlacement.WithdrawPlain(std::exchange(mDemandNumber, 0));
}

void
PlainSession::Send(const EndpointChoice& aChoice, Instant aDeadline)
{
  const EndpointRecord* endpoint = mServices.mDirectory.Find(aChoice.mEndpoint);
  mSendNumber = mGrantNumber;
  mRun = MakeSentRun(*endpoint, mServices.mClock.Now());
  ++mRequest->mSends;
  HttpCallRequest request = mServices.mProtocol.Forward(
    mRequest->Message(),
    *endpoint,
    mRequest->MakeSendParameters(aDeadline - mRun.mSentAt));
  request.mMaxIdleTime =
    mRequest->mParameters.mRoute->mKind == RequestKind::Idempotent
      ? kMaxIdle
      : kMaxIdleOnce;
  request.mMaxBodyBytes = kMaxAnswerBytes;
  HttpCallHooks hooks;
  hooks.mOnDone = [this](HttpCallReply aReply) {
    HandleReply(std::move(aReply));
  };
  mServices.mLoads.Begin(mRun.mEndpoint, { 1, 0 });
  mServices.mLog.Sent(*mRequest,
                      "request",
                      mRun.mEndpoint,
                      aChoice.mLoad,
                      aChoice.mCandidateCount);
  mSend =
    mServices.mClient.Start(*endpoint, std::move(request), std::move(hooks));
}

void
PlainSession::HandleReply(HttpCallReply aReply)
{
  const auto self = mSelf;
  const Instant now = mServices.mClock.Now();
  const AnswerMetadata metadata =
    mServices.mProtocol.ReadAnswer(aReply.mStatus, aReply.mHeaders);
  const SendOutcome outcome =
    ClassifySend(aReply.mResult, metadata, mRequest->mMetadata.mId);
  if (metadata.mRequestId == mRequest->mMetadata.mId) {
    mSend->ConfirmReply();
  }
  const bool isLoadValid =
    outcome != SendOutcome::Unknown && outcome != SendOutcome::OtherEndpoint;
  FinishSend(HealthResultOf(aReply.mResult, outcome, aReply.mStatus),
             isLoadValid ? metadata.mLoad : std::nullopt);
  mServices.RecordSendOutcome(mRun, outcome);
  RecordEvidence(outcome, aReply);
  if (outcome != SendOutcome::Answered) {
    mServices.mLog.SendEnded(*mRequest,
                             "request",
                             mRun.mEndpoint,
                             SendOutcomeName(outcome, aReply.mResult),
                             aReply.mStatus,
                             now - mRun.mSentAt);
  }
  mCall.OnSendEnded(
    outcome,
    { aReply.mStatus, std::move(aReply.mHeaders), std::move(aReply.mBody) },
    now);
}

void
PlainSession::RecordEvidence(SendOutcome aOutcome, const HttpCallReply& aReply)
{
  if (aReply.mResult == HttpCallResult::ConnectionLost) {
    mServices.mLog.RunLost(*mRequest, mRun.mEndpoint, Duration::zero());
    mServices.RecordLostRun(mRun, mRequest->mCrashKeys);
  } else if (aOutcome == SendOutcome::Answered &&
             aReply.mStatus < kHttpFirstServerError) {
    mServices.mGuard.OnAnswered(mRequest->mCrashKeys, mServices.mClock.Now());
  }
}

bool
PlainSession::IsCrashSuspect()
{
  return mServices.IsCrashSuspect(*mRequest);
}

void
PlainSession::FinishSend(std::optional<SendResult> aResult,
                         const std::optional<ReportedLoad>& aLoad)
{
  const Instant now = mServices.mClock.Now();
  mSend.reset();
  mServices.mLoads.End(mRun.mEndpoint, { 1, 0 });
  if (aResult) {
    mServices.RecordHealth(
      mRequest->mParameters.mService, mRun.mEndpoint, *aResult, mRun.mSentAt);
  }
  if (aLoad) {
    mServices.mLoads.OnLoadReport(mRun.mEndpoint, *aLoad, now);
  }
  mServices.mPlacement.OnPlainEnded(
    mSendNumber, aResult.value_or(SendResult::Refused), aLoad);
}

SendOutcome
PlainSession::CancelSend(SendResult aReason)
{
  const bool isConnected = mSend->IsConnected();
  FinishSend(isConnected ? aReason : SendResult::ConnectFailed, std::nullopt);
  if (isConnected && IsWithoutAnswer(aReason)) {
    mServices.RecordSilentRun(mRun, mRequest->mCrashKeys);
  }
  mServices.mLog.SendEnded(*mRequest,
                           "request",
                           mRun.mEndpoint,
                           isConnected ? SendResultName(aReason) : kUnconnected,
                           0,
                           mServices.mClock.Now() - mRun.mSentAt);
  return isConnected ? SendOutcome::Unknown : SendOutcome::NotSent;
}

void
PlainSession::Deliver(const EndpointAnswer& aAnswer)
{
  mAnswerWriter.Deliver(aAnswer, mRun.mEndpoint);
  Close();
}

void
PlainSession::Refuse(const Refusal& aRefusal)
{
  mAnswerWriter.Refuse(aRefusal, mRun.mEndpoint);
  Close();
}

void
PlainSession::HandleCallerDisconnected()
{
  const auto self = mSelf;
  if (mDemandNumber != 0) {
    WithdrawRequest();
  }
  if (mSend) {
    FinishSend(std::nullopt, std::nullopt);
  }
  mAnswerWriter.LogCallerDisconnected(mRun.mEndpoint);
  Close();
}

void
PlainSession::HandleStopEnd()
{
  const auto self = mSelf;
  mCall.OnStopEnd(mServices.mClock.Now());
}

void
PlainSession::Close()
{
  mStopConnection.disconnect();
  mTimer.Cancel();
  mRequest->mExchange->OnClosed(nullptr);
  mSelf.reset();
}

} // namespace bulrushfold
