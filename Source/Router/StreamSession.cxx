#include "Router/StreamSession.h"

#include <utility>

#include "Base/Log.h"

namespace bulrushfold {

StreamSession::StreamSession(RouterServices& aServices,
                             RoutedRequestPointer aRequest,
                             StreamParameters aParameters)
  : mServices(aServices)
  , mRequest(std::move(aRequest))
  , mProfile(aParameters.mProfile)
  , mAnswerWriter(aServices, mRequest)
  , mCall(*this, aServices.mRetryBudget, std::move(aParameters))
  , mTimer(aServices.mLoop, aServices.mClock, [this] {
    const auto self = mSelf;
    mCall.OnWake(mServices.mClock.Now());
  })
{
  mAttempt.mNumber = mRequest->mNumber;
}

void
StreamSession::Start()
{
  mSelf = shared_from_this();
  const auto self = mSelf;
  mRequest->mExchange->OnClosed([this] { HandleCallerDisconnected(); });
  mRequest->mExchange->OnWritten([this] { ResumeReading(); });
  mStopConnection = mServices.mOnStopEnd.connect(
    sigc::mem_fun(*this, &StreamSession::HandleStopEnd));
  if (mRequest->mMetadata.mLastEventId.empty()) {
    StartCall();
  } else {
    ResolveVersion();
  }
}

bool
StreamSession::NeedsCachedPromptQuery() const
{
  const RequestMetadata& metadata = mRequest->mMetadata;
  // A placement owner asks the engines by itself.
  return !mServices.mPlacement.HasRemoteOwner() && metadata.mUniquePromptPart &&
         mServices.mCachedPrompts
           .Find(metadata.mUniquePromptPart->mKey, mServices.mClock.Now())
           .empty();
}

void
StreamSession::StartCall()
{
  // The caller may have disconnected during the query.
  if (const auto self = mSelf; self) {
    mCall.Start(mServices.mClock.Now());
  }
}

bool
StreamSession::Admits(const StreamDemand& aDemand)
{
  return mServices.mPlacement.Admits(aDemand);
}

void
StreamSession::RequestPlacement(StreamDemand aDemand)
{
  mServices.mLog.Queued(*mRequest, mServices.mPlacement.WaitingCount());
  aDemand.mRequestHash = mRequest->mHash;
  if (mRequest->mParameters.mRoute->mIsResumable) {
    aDemand.mStream = mRequest->StreamKey();
    aDemand.mResumableUntil = ResumableUntil();
  }
  aDemand.mNumber = mAttempt.mNumber;
  aDemand.mTerms = mRequest->Terms();
  mServices.mPlacement.Submit(std::move(aDemand), *this);
}

void
StreamSession::HandlePlacement(const StreamPlacement* aPlacement)
{
  const auto self = mSelf;
  const Instant now = mServices.mClock.Now();
  if (aPlacement == nullptr) {
    mCall.OnPlacementExpired(now);
    return;
  }
  mRequest->mHasTakenQuota = true;
  mRequest->mPlacedBy = aPlacement->mPlacedBy;
  mServices.mLog.Placed(*mRequest, *aPlacement);
  mCall.OnPlaced(*aPlacement, now);
}

void
StreamSession::HandleUnservable(Duration aRetryAfter)
{
  const auto self = mSelf;
  mCall.OnUnservable(aRetryAfter, mServices.mClock.Now());
}

void
StreamSession::HandleOverload()
{
  const auto self = mSelf;
  mCall.OnOverload(mServices.mClock.Now());
}

void
StreamSession::HandleOverQuota(Duration aRetryAfter)
{
  const auto self = mSelf;
  mCall.OnOverQuota(aRetryAfter, mServices.mClock.Now());
}

void
StreamSession::WithdrawPlacement()
{
  mServices.mPlacement.Withdraw(mAttempt.mNumber);
}

void
StreamSession::ReleasePrefill(Duration aDuration)
{
  mServices.mPlacement.OnPrefillEnded(mAttempt.mNumber, aDuration);
}

void
StreamSession::ReportDecodeStarted()
{
  mServices.mPlacement.OnDecodeStarted(mAttempt.mNumber);
}

void
StreamSession::ReportAnswer(std::uint64_t aEvents, Duration aDuration)
{
  mServices.mAnswerLengths.OnAnswer(mRequest->mParameters.mRoute->mName,
                                    aEvents * mProfile.mTokensPerEvent);
  mServices.mPlacement.OnProgress(mRequest->mParameters.mService,
                                  aEvents,
                                  mProfile.mTokensPerEvent,
                                  aDuration);
}

void
StreamSession::ReleaseDecode()
{
  mServices.mPlacement.OnDecodeEnded(mAttempt.mNumber);
}

void
StreamSession::ReportDecodeFull(const std::string& aEndpoint,
                                std::uint64_t aTokens)
{
  mServices.mPlacement.OnReservationRefused(aEndpoint, aTokens);
}

void
StreamSession::ReportInterruptedRun(const std::string& aEndpoint)
{
  const RequestMetadata& metadata = mRequest->mMetadata;
  if (metadata.mUniquePromptPart && metadata.mTokens) {
    mServices.mPlacement.OnInterrupted({ metadata.mUniquePromptPart->mKey,
                                         aEndpoint,
                                         metadata.mTokens->mPrompt,
                                         mServices.mClock.Now() });
  }
}

void
StreamSession::ReportMoved(const std::string& aEndpoint)
{
  mServices.mPlacement.OnMoved(mAttempt.mNumber, aEndpoint);
}

bool
StreamSession::IsUsable(const std::string& aEndpoint) const
{
  return mServices.mDirectory.IsUsable(aEndpoint);
}

std::string
StreamSession::SoftwareOf(const std::string& aEndpoint) const
{
  return mServices.mDirectory.SoftwareOf(aEndpoint);
}

bool
StreamSession::CanReceive(const std::string& aEndpoint) const
{
  return mServices.mDirectory.Find(aEndpoint) != nullptr &&
         !mServices.mDirectory.IsInBackoff(aEndpoint);
}

void
StreamSession::StartSend(std::string_view aStep,
                         const EndpointRecord& aEndpoint,
                         HttpCallRequest aRequest,
                         HttpCallHooks aHooks)
{
  mAttempt.mStep = aStep;
  mAttempt.mRun = MakeSentRun(aEndpoint, mServices.mClock.Now());
  ++mRequest->mSends;
  // The id of an answer does not distinguish two sends of this request, so a
  // second one to the same engine opens a new connection.
  const bool namesRequest = aRequest.mNeedsUnambiguousReply;
  if (namesRequest && !mSentTo.insert(mAttempt.mRun.mEndpoint).second) {
    aRequest.mMaxIdleTime = Duration::zero();
  }
  mAttempt.mSend =
    mServices.mClient.Start(aEndpoint, std::move(aRequest), std::move(aHooks));
}

SendOutcome
StreamSession::HandleSendReply(const HttpCallReply& aReply)
{
  const AnswerMetadata metadata =
    mServices.mProtocol.ReadAnswer(aReply.mStatus, aReply.mHeaders);
  const SendOutcome outcome =
    ClassifySend(aReply.mResult, metadata, mRequest->mMetadata.mId);
  if (metadata.mRequestId == mRequest->mMetadata.mId) {
    mAttempt.mSend->ConfirmReply();
  }
  // The scheduler never fills a prefill engine, so a refusal means that the
  // engine accepts no work at present.
  const SendResult health =
    mCall.State() == StreamState::Prefilling && outcome == SendOutcome::NotRun
      ? SendResult::Unready
      : HealthResultOf(aReply.mResult, outcome, aReply.mStatus);
  if (mCall.IsMoving() && outcome != SendOutcome::Answered) {
    // The engine stopped the run because of the move.
    FinishSend(SendResult::Answered, "moved", aReply.mStatus);
    return outcome;
  }
  mServices.RecordSendOutcome(mAttempt.mRun, outcome);
  if (mCall.State() == StreamState::Prefilling &&
      aReply.mResult == HttpCallResult::ConnectionLost) {
    mServices.RecordLostRun(mAttempt.mRun, mRequest->KeysWithoutPrompt());
  }
  FinishSend(health, SendOutcomeName(outcome, aReply.mResult), aReply.mStatus);
  return outcome;
}

void
StreamSession::FinishSend(SendResult aResult,
                          std::string_view aOutcome,
                          int aStatus)
{
  mAttempt.mSend.reset();
  RecordHealth(mAttempt.mRun.mEndpoint, aResult);
  mServices.mLog.SendEnded(*mRequest,
                           mAttempt.mStep,
                           mAttempt.mRun.mEndpoint,
                           aOutcome,
                           aStatus,
                           mServices.mClock.Now() - mAttempt.mRun.mSentAt);
}

void
StreamSession::RecordHealth(const std::string& aEndpoint, SendResult aResult)
{
  const std::string& service = mRequest->mParameters.mService;
  mServices.RecordHealth(service, aEndpoint, aResult, mAttempt.mRun.mSentAt);
  mServices.mPlacement.OnSendResult(service, aEndpoint, aResult);
}

void
StreamSession::CancelSend(SendResult aReason)
{
  if (mAttempt.mSend) {
    FinishSend(aReason,
               mAttempt.mSend->IsConnected() ? SendResultName(aReason)
                                             : kUnconnected,
               0);
    if (IsWithoutAnswer(aReason) && mAttempt.mStep == "decode") {
      mServices.RecordSilentRun(mAttempt.mRun, LostKeys());
    }
  }
}

void
StreamSession::ReportSilence(std::optional<RefusalReason> aKeptFor)
{
  // Other streams should avoid the engine while it is silent. The engine of a
  // run that moves may have ended its answer.
  if (mAttempt.mSend) {
    RecordHealth(mAttempt.mRun.mEndpoint, SendResult::Slow);
  }
  mServices.mLog.RunSilent(*mRequest, mAttempt.mRun.mEndpoint, aKeptFor);
}

void
StreamSession::SetRunAside()
{
  mRunAside = std::exchange(mAttempt, Attempt());
  mAttempt.mNumber = mServices.mNextNumber();
}

void
StreamSession::ReturnToRun()
{
  mServices.mPlacement.Unregister(mAttempt.mNumber);
  mAttempt = std::move(*mRunAside);
  mRunAside.reset();
}

void
StreamSession::SetRunAsideReading(bool aIsReading)
{
  // The engine of a run that moves may have ended its answer.
  if (mRunAside->mSend) {
    mRunAside->mSend->SetReading(aIsReading);
  }
}

void
StreamSession::CancelRunAside()
{
  Attempt replacement = std::exchange(mAttempt, std::move(*mRunAside));
  mRunAside.reset();
  CancelSend(SendResult::Slow);
  mServices.mPlacement.Unregister(mAttempt.mNumber);
  mAttempt = std::move(replacement);
}

void
StreamSession::HandleCallerDisconnected()
{
  const auto self = mSelf;
  mCall.OnCallerDisconnected(mServices.mClock.Now());
  mAnswerWriter.LogCallerDisconnected(mAttempt.mRun.mEndpoint);
  Close();
}

void
StreamSession::HandleStopEnd()
{
  const auto self = mSelf;
  mCall.OnStopEnd();
}

void
StreamSession::Close()
{
  mStopConnection.disconnect();
  mTimer.Cancel();
  mServices.mPlacement.Unregister(mAttempt.mNumber);
  mRequest->mExchange->OnClosed(nullptr);
  mRequest->mExchange->OnWritten(nullptr);
  mSelf.reset();
}

} // namespace bulrushfold
