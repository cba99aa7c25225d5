#include "Router/PlainSession.h"

#include <utility>

namespace bulrushfold {

namespace {
/**
 * Longest idle time of a connection that carries a request which may run only
 * once: the endpoint may close an idle connection as the request is sent, and
 * then nobody knows whether it ran.
 */
constexpr Duration kMaxIdleOnce = std::chrono::milliseconds(1500);
constexpr Duration kMaxIdle = std::chrono::seconds(4);
} // namespace

PlainSession::PlainSession(RouterServices& aServices,
                           RoutedRequestPointer aRequest)
  : mServices(aServices)
  , mRequest(std::move(aRequest))
  , mCaller(aServices, mRequest)
  , mCall(*this, aServices.mSelector, aServices.mRetryBudget, mRequest->mTerms)
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
  mRequest->mExchange->OnClosed([this] { HandleCallerGone(); });
  mCall.Start(mServices.mClock.Now());
}

void
PlainSession::Send(const EndpointChoice& aChoice, Instant aDeadline)
{
  const EndpointRecord* endpoint = mServices.mDirectory.Find(aChoice.mEndpoint);
  mEndpoint = aChoice.mEndpoint;
  mSentAt = mServices.mClock.Now();
  ++mRequest->mSends;
  SendParameters parameters;
  parameters.mTimeLeft = aDeadline - mSentAt;
  HttpCallRequest request =
    mServices.mProtocol.Forward(mRequest->Message(), *endpoint, parameters);
  request.mMaxIdleTime =
    mRequest->mTerms.mRoute->mKind == RequestKind::Idempotent ? kMaxIdle
                                                              : kMaxIdleOnce;
  HttpCallHooks hooks;
  hooks.mOnDone = [this](HttpCallReply aReply) {
    HandleReply(std::move(aReply));
  };
  mServices.mLoads.Begin(mEndpoint, { 1, 0 });
  mServices.mLog.Sent(
    *mRequest, "request", mEndpoint, aChoice.mLoad, aChoice.mCandidateCount);
  mSend = mServices.mClient.Start(std::move(request), std::move(hooks));
}

void
PlainSession::HandleReply(HttpCallReply aReply)
{
  const auto self = mSelf;
  const Instant now = mServices.mClock.Now();
  const AnswerMetadata metadata =
    mServices.mProtocol.ReadAnswer(aReply.mStatus, aReply.mHeaders);
  const SendEnd end =
    JudgeSend(aReply.mResult, metadata, mRequest->mMetadata.mId);
  EndSend(HealthOf(aReply.mResult, end, aReply.mStatus));
  if (metadata.mLoad && end != SendEnd::Unknown &&
      end != SendEnd::OtherEndpoint) {
    mServices.mLoads.OnLoadReport(mEndpoint, *metadata.mLoad, now);
  }
  mServices.NoteSendEnd(*mRequest, mEndpoint, end, aReply.mResult);
  if (end != SendEnd::Answered) {
    mServices.mLog.SendEnded(*mRequest,
                             "request",
                             mEndpoint,
                             SendEndName(end, aReply.mResult),
                             aReply.mStatus,
                             now - mSentAt);
  }
  mCall.OnSendEnded(
    end,
    { aReply.mStatus, std::move(aReply.mHeaders), std::move(aReply.mBody) },
    now);
}

void
PlainSession::EndSend(SendResult aResult)
{
  mSend.reset();
  mServices.mLoads.End(mEndpoint, { 1, 0 });
  mServices.mHealth.OnResult(
    mRequest->mTerms.mService, mEndpoint, aResult, mServices.mClock.Now());
}

void
PlainSession::CancelSend(SendResult aReason)
{
  EndSend(aReason);
  mServices.mLog.SendEnded(*mRequest,
                           "request",
                           mEndpoint,
                           SendResultName(aReason),
                           0,
                           mServices.mClock.Now() - mSentAt);
}

void
PlainSession::Deliver(const EndpointAnswer& aAnswer)
{
  mCaller.Deliver(aAnswer, mEndpoint);
  Close();
}

void
PlainSession::Refuse(const Refusal& aRefusal)
{
  mCaller.Refuse(aRefusal, mEndpoint);
  Close();
}

void
PlainSession::HandleCallerGone()
{
  const auto self = mSelf;
  if (mSend) {
    mSend.reset();
    mServices.mLoads.End(mEndpoint, { 1, 0 });
  }
  mCaller.NoteGone(mEndpoint);
  Close();
}

void
PlainSession::Close()
{
  mTimer.Cancel();
  mRequest->mExchange->OnClosed(nullptr);
  mSelf.reset();
}

} // namespace bulrushfold
