#include "Router/StreamSession.h"

#include <utility>

#include "Base/Log.h"
#include "Net/HttpStatus.h"

namespace bulrushfold {

namespace {
/** An unread answer of this size means that the caller does not read. */
constexpr std::size_t kMaxUnreadBytes = 1024 * 1024;
} // namespace

StreamSession::StreamSession(RouterServices& aServices,
                             RoutedRequestPointer aRequest,
                             StreamTerms aParameters)
  : mServices(aServices)
  , mRequest(std::move(aRequest))
  , mNumber(aParameters.mNumber)
  , mProfile(aParameters.mProfile)
  , mCaller(aServices, mRequest)
  , mCall(*this, aServices.mRetryBudget, std::move(aParameters))
  , mTimer(aServices.mLoop, aServices.mClock, [this] {
    const auto self = mSelf;
    mCall.OnWake(mServices.mClock.Now());
  })
{
}

void
StreamSession::Start()
{
  mSelf = shared_from_this();
  const auto self = mSelf;
  mRequest->mExchange->OnClosed([this] { HandleCallerGone(); });
  if (MustAskForPrompt()) {
    mServices.mKeptQuery.Ask(mRequest->mTerms.mService,
                             [this, self] { StartCall(); });
  } else {
    StartCall();
  }
}

bool
StreamSession::MustAskForPrompt() const
{
  const RequestMetadata& metadata = mRequest->mMetadata;
  return !metadata.mLastEventId.empty() && metadata.mUniquePromptPart &&
         mServices.mKept
           .Find(metadata.mUniquePromptPart->mKey, mServices.mClock.Now())
           .empty();
}

void
StreamSession::StartCall()
{
  // The caller may have left meanwhile.
  if (const auto self = mSelf; self) {
    mCall.Start(mServices.mClock.Now());
  }
}

bool
StreamSession::Admits(const StreamDemand& aDemand)
{
  return mServices.mStreams.Admits(aDemand);
}

void
StreamSession::RequestPlacement(StreamDemand aDemand)
{
  mServices.mLog.Queued(*mRequest, mServices.mStreams.WaitingCount());
  mServices.mStreams.Submit(std::move(aDemand), *this);
}

void
StreamSession::HandlePlacement(const StreamPlacement* aPlacement)
{
  const auto self = mSelf;
  const Instant now = mServices.mClock.Now();
  if (aPlacement == nullptr) {
    mCall.OnNoPlacement(now);
    return;
  }
  mServices.mLog.Placed(*mRequest, *aPlacement);
  mCall.OnPlaced(*aPlacement, now);
}

void
StreamSession::WithdrawPlacement()
{
  mServices.mStreams.Withdraw(mNumber);
}

void
StreamSession::ReleasePrefill(Duration aTook)
{
  mServices.mStreams.OnPrefillEnded(mNumber, aTook);
}

void
StreamSession::NoteStarted()
{
  mServices.mStreams.OnDecodeStarted(mNumber);
}

void
StreamSession::NoteAnswer(std::uint64_t aEvents, Duration aTook)
{
  mServices.mAnswerLengths.OnAnswer(mRequest->mTerms.mRoute->mName,
                                    aEvents * mProfile.mTokensPerEvent);
  mServices.mStreams.OnProgress(aEvents, mProfile.mTokensPerEvent, aTook);
}

void
StreamSession::ReleaseDecode()
{
  mServices.mStreams.OnDecodeEnded(mNumber);
}

void
StreamSession::NoteDecodeFull(const std::string& aEndpoint,
                              std::uint64_t aTokens)
{
  mServices.mStreams.OnReservationRefused(aEndpoint, aTokens);
}

void
StreamSession::NoteBroken(const std::string& aEndpoint)
{
  const RequestMetadata& metadata = mRequest->mMetadata;
  if (metadata.mUniquePromptPart && metadata.mTokens) {
    mServices.mKept.OnInterrupted({ metadata.mUniquePromptPart->mKey,
                                    aEndpoint,
                                    metadata.mTokens->mPrompt,
                                    mServices.mClock.Now() });
  }
}

void
StreamSession::NoteMoved(const std::string& aEndpoint)
{
  mServices.mStreams.OnMoved(mNumber, aEndpoint);
}

bool
StreamSession::IsUsable(const std::string& aEndpoint) const
{
  return mServices.mDirectory.IsUsable(aEndpoint);
}

void
StreamSession::BeginSend(std::string_view aStep,
                         const std::string& aEndpoint,
                         HttpCallRequest aRequest,
                         HttpCallHooks aHooks)
{
  mStep = aStep;
  mEndpoint = aEndpoint;
  mSentAt = mServices.mClock.Now();
  ++mRequest->mSends;
  mSend = mServices.mClient.Start(std::move(aRequest), std::move(aHooks));
}

SendEnd
StreamSession::EndSend(const HttpCallReply& aReply)
{
  const AnswerMetadata metadata =
    mServices.mProtocol.ReadAnswer(aReply.mStatus, aReply.mHeaders);
  const SendEnd end =
    JudgeSend(aReply.mResult, metadata, mRequest->mMetadata.mId);
  // A prefill engine is never given so much that it is full.
  const SendResult health =
    mCall.State() == StreamState::Prefilling && end == SendEnd::NotRun
      ? SendResult::Unready
      : HealthOf(aReply.mResult, end, aReply.mStatus);
  if (mCall.IsMoving() && end != SendEnd::Answered) {
    // The engine stopped the run because it was told to.
    NoteSendEnd(SendResult::Answered, "moved", aReply.mStatus);
    return end;
  }
  mServices.NoteSendEnd(*mRequest, mEndpoint, end, aReply.mResult);
  NoteSendEnd(health, SendEndName(end, aReply.mResult), aReply.mStatus);
  return end;
}

void
StreamSession::NoteSendEnd(SendResult aResult,
                           std::string_view aEnd,
                           int aStatus)
{
  const Instant now = mServices.mClock.Now();
  mSend.reset();
  mServices.mHealth.OnResult(
    mRequest->mTerms.mService, mEndpoint, aResult, now);
  mServices.mLog.SendEnded(
    *mRequest, mStep, mEndpoint, aEnd, aStatus, now - mSentAt);
}

void
StreamSession::Reserve(const std::string& aEndpoint, std::uint64_t aTokens)
{
  HttpCallHooks hooks;
  hooks.mOnDone = [this](const HttpCallReply& aReply) {
    HandleReserved(aReply);
  };
  BeginSend("reserve",
            aEndpoint,
            mServices.mProtocol.Reserve(*mServices.mDirectory.Find(aEndpoint),
                                        aTokens,
                                        mProfile.mMaxReservation),
            std::move(hooks));
}

void
StreamSession::HandleReserved(const HttpCallReply& aReply)
{
  const auto self = mSelf;
  const Instant now = mServices.mClock.Now();
  mSend.reset();
  std::string reservation;
  if (aReply.mResult == HttpCallResult::Complete && aReply.mStatus == kHttpOk) {
    if (auto parsed = mServices.mProtocol.ReadReservation(aReply.mBody);
        parsed.ok()) {
      reservation = *std::move(parsed);
    }
  }
  if (mServices.mProtocol.ReadAnswer(aReply.mStatus, aReply.mHeaders)
        .mIsMisdirected) {
    mServices.mDirectory.OnAddressReused(mEndpoint);
  }
  if (reservation.empty()) {
    NoteSendEnd(aReply.mResult == HttpCallResult::Complete
                  ? SendResult::Refused
                  : HealthOf(aReply.mResult, SendEnd::Unknown, 0),
                HttpCallResultName(aReply.mResult),
                aReply.mStatus);
  }
  mCall.OnReserved(reservation, now);
}

void
StreamSession::Prefill(const std::string& aEndpoint, Instant aDeadline)
{
  SendParameters parameters;
  parameters.mTimeLeft = aDeadline - mServices.mClock.Now();
  HttpCallHooks hooks;
  hooks.mOnDone = [this](const HttpCallReply& aReply) {
    HandlePrefilled(aReply);
  };
  BeginSend("prefill",
            aEndpoint,
            mServices.mProtocol.Prefill(mRequest->Message(),
                                        *mServices.mDirectory.Find(aEndpoint),
                                        parameters),
            std::move(hooks));
}

void
StreamSession::HandlePrefilled(const HttpCallReply& aReply)
{
  const auto self = mSelf;
  const Duration took = mServices.mClock.Now() - mSentAt;
  const EndpointRecord* endpoint = mServices.mDirectory.Find(mEndpoint);
  SendEnd end = SendEnd::Unknown;
  KvCache cache;
  if (aReply.mResult == HttpCallResult::Complete && aReply.mStatus == kHttpOk) {
    auto handle = mServices.mProtocol.ReadCacheHandle(aReply.mBody);
    if (handle.ok() && endpoint != nullptr) {
      end = SendEnd::Answered;
      cache = { mEndpoint, endpoint->mAddress, *std::move(handle) };
    }
    NoteSendEnd(end == SendEnd::Answered ? SendResult::Answered
                                         : SendResult::Broken,
                end == SendEnd::Answered ? SendEndName(end) : "no_handle",
                aReply.mStatus);
  } else {
    end = EndSend(aReply);
    // Without a handle nothing can be decoded, whatever has run.
    end = end == SendEnd::Answered ? SendEnd::Unknown : end;
  }
  mCall.OnPrefilled(end, cache, took, mServices.mClock.Now());
}

void
StreamSession::Decode(const DecodeOrder& aOrder, Instant aDeadline)
{
  SendParameters parameters;
  parameters.mTimeLeft = aDeadline - mServices.mClock.Now();
  parameters.mCache = aOrder.mCache;
  parameters.mReservation = aOrder.mReservation;
  parameters.mLastEventId = aOrder.mLastEventId;
  HttpCallRequest request =
    mServices.mProtocol.Forward(mRequest->Message(),
                                *mServices.mDirectory.Find(aOrder.mEndpoint),
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
  mHeadEnd = SendEnd::Unknown;
  mIsPaused = false;
  BeginSend("decode", aOrder.mEndpoint, std::move(request), std::move(hooks));
}

void
StreamSession::HandleDecodeHead(int aStatus, const HttpHeaders& aHeaders)
{
  const auto self = mSelf;
  const AnswerMetadata metadata =
    mServices.mProtocol.ReadAnswer(aStatus, aHeaders);
  mHeadEnd =
    JudgeSend(HttpCallResult::Complete, metadata, mRequest->mMetadata.mId);
  if (mHeadEnd == SendEnd::OtherEndpoint) {
    mServices.mDirectory.OnAddressReused(mEndpoint);
  }
  mCall.OnAnswerStarted(mHeadEnd, aStatus, aHeaders, mServices.mClock.Now());
}

void
StreamSession::HandleDecodeEnd(const HttpCallReply& aReply)
{
  const auto self = mSelf;
  const SendEnd end = EndSend(aReply);
  mCall.OnAnswerEnded(end, mServices.mClock.Now());
}

void
StreamSession::CancelSend(SendResult aReason)
{
  if (mSend) {
    NoteSendEnd(aReason, SendResultName(aReason), 0);
  }
}

void
StreamSession::StartAnswer(int aStatus, const HttpHeaders& aHeaders)
{
  mCaller.StartStream(aStatus, aHeaders);
}

void
StreamSession::SendAnswer(std::string_view aData)
{
  mCaller.Send(aData);
  if (mRequest->mExchange->PendingBytes() > kMaxUnreadBytes && !mIsPaused) {
    // The caller does not read; its connection ends at the write timeout.
    mIsPaused = true;
    mSend->SetReading(false);
  }
}

void
StreamSession::EndAnswer()
{
  mCaller.EndStream(mEndpoint);
  Close();
}

void
StreamSession::BreakAnswer(RefusalReason aReason)
{
  mCaller.Break(aReason, mEndpoint);
  Close();
}

void
StreamSession::Deliver(const EndpointAnswer& aAnswer)
{
  mCaller.Deliver(aAnswer, mEndpoint);
  Close();
}

void
StreamSession::Refuse(const Refusal& aRefusal)
{
  if (aRefusal.mRetryAfter > Duration::zero()) {
    const Instant now = mServices.mClock.Now();
    mServices.mReturns.OnDeferred(
      mRequest->mHash,
      mServices.mReturns.FirstArrival(mRequest->mHash, now)
        .value_or(mRequest->mTerms.mArrival),
      now);
  }
  mCaller.Refuse(aRefusal, mEndpoint);
  Close();
}

void
StreamSession::HandleCallerGone()
{
  const auto self = mSelf;
  mCall.OnCallerGone(mServices.mClock.Now());
  mCaller.NoteGone(mEndpoint);
  Close();
}

void
StreamSession::Close()
{
  mTimer.Cancel();
  mServices.mStreams.Forget(mNumber);
  mRequest->mExchange->OnClosed(nullptr);
  mSelf.reset();
}

} // namespace bulrushfold
