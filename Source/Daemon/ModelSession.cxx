#include "Daemon/ModelSession.h"

#include <algorithm>
#include <utility>

#include "Base/Log.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr int kStatusOk = 200;
constexpr int kInteractivePriority = 9;
constexpr int kPatientPriority = 4;
constexpr Duration kNoCapacityRetryAfter = std::chrono::seconds(1);

Cause
CauseOf(StepFailure aFailure)
{
  switch (aFailure) {
    case StepFailure::Refused:
      return Cause::EndpointRefused;
    case StepFailure::Unreachable:
    case StepFailure::ConnectionLost:
      return Cause::EndpointDied;
    case StepFailure::Silent:
      return Cause::EndpointSilent;
    case StepFailure::Evicted:
      return Cause::KvEvicted;
    case StepFailure::Rejected:
      return Cause::TooLarge;
  }
  return Cause::InternalError;
}

FaultKind
FaultOf(StepFailure aFailure, ModelCallState aStep)
{
  switch (aFailure) {
    case StepFailure::Refused:
    case StepFailure::Rejected:
      return FaultKind::EndpointRefused;
    case StepFailure::Unreachable:
    case StepFailure::ConnectionLost:
      return FaultKind::EndpointDied;
    case StepFailure::Silent:
      return aStep == ModelCallState::Transferring ? FaultKind::TransferStalled
                                                   : FaultKind::EndpointSilent;
    case StepFailure::Evicted:
      return FaultKind::KvEvicted;
  }
  return FaultKind::EndpointError;
}
} // namespace

ModelSession::ModelSession(ModelSessionServices& aServices,
                           RequestPointer aRequest)
  : mServices(aServices)
  , mRequest(std::move(aRequest))
  , mCall({ aServices.mMaxAttempts, mRequest->mDeadline })
{
}

void
ModelSession::Start()
{
  mSelf = shared_from_this();
  mRequest->Exchange().OnClosed([this] { Run(mCall.OnCallerGone()); });
  const Duration left = mRequest->mDeadline - mServices.mClock.Now();
  mDeadlineTimer = mServices.mLoop.After(std::max(left, Duration(0)),
                                         [this] { Run(mCall.OnDeadline()); });
  Run(mCall.Start());
}

void
ModelSession::Run(const ModelCallActions& aActions)
{
  // The last action may drop the last reference to this session.
  const std::shared_ptr<ModelSession> keep = mSelf;
  for (const auto& it : aActions) {
    std::visit([this](const auto& aAction) { Do(aAction); }, it);
  }
}

ModelCallActions
ModelSession::Fail(std::uint32_t aAttempt, StepFailure aFailure)
{
  if (aAttempt == mCall.Attempt()) {
    mRequest->NoteFault(FaultOf(aFailure, mCall.State()));
  }
  return mCall.OnFailure(aAttempt, aFailure);
}

const Endpoint*
ModelSession::FindEndpoint(const std::string& aName) const
{
  const auto& endpoints = mServices.mConfiguration.Endpoints();
  const auto it = endpoints.find(aName);
  return it == endpoints.end() ? nullptr : &it->second;
}

AttemptId
ModelSession::MakeId(std::uint32_t aAttempt) const
{
  return { mRequest->RequestId(), aAttempt, mServices.mOwner };
}

int
ModelSession::Priority() const
{
  return mRequest->mWorkspace.mClass == RequestClass::Interactive
           ? kInteractivePriority
           : kPatientPriority;
}

void
ModelSession::Do(const SelectPairAction& aAction)
{
  PairRequest request;
  request.mRequestId = mRequest->RequestId();
  request.mAttempt = aAction.mAttempt;
  request.mWorkspace = mRequest->mWorkspace.mName;
  request.mClass = mRequest->mWorkspace.mClass;
  request.mModel = mRequest->mCompletion->mModel;
  request.mPrompt = mRequest->mCompletion->mPrompt;
  request.mMaxTokens = mRequest->mCompletion->mMaxTokens;
  request.mDeadline = mRequest->mDeadline;
  request.mExcluded = aAction.mExcluded;
  mRequest->Timeline().BeginAttempt(mServices.mClock.Now());
  mRequest->Enter(Hop::Reservation);
  if (aAction.mAttempt > 1) {
    mServices.mPairs.Release(request.mRequestId, aAction.mAttempt - 1);
  }
  mServices.mPairs.Select(
    request,
    [self = shared_from_this(),
     attempt = aAction.mAttempt](const std::optional<EndpointPair>& aPair) {
      self->Run(aPair ? self->mCall.OnPair(attempt, *aPair)
                      : self->mCall.OnNoPair(attempt));
    });
}

void
ModelSession::Do(const PrefillAction& aAction)
{
  const Endpoint* endpoint = FindEndpoint(aAction.mEndpoint);
  if (endpoint == nullptr) {
    Run(Fail(aAction.mAttempt, StepFailure::Unreachable));
    return;
  }
  mRequest->Enter(Hop::Prefill, *endpoint);
  PrefillRequest request;
  request.mId = MakeId(aAction.mAttempt);
  request.mModel = mRequest->mCompletion->mModel;
  request.mPrompt = mRequest->mCompletion->mPrompt;
  request.mGenerated = aAction.mGenerated;
  request.mOffset = aAction.mOffset;
  request.mMaxTokens = mRequest->mCompletion->mMaxTokens;
  request.mPriority = Priority();
  mEngineCall = mServices.mEngines.Prefill(
    endpoint->mAddress,
    request,
    [this, attempt = aAction.mAttempt](const StepResult<PrefillReply>& aIt) {
      Run(aIt.mIsOk ? mCall.OnPrefillDone(attempt, aIt.mValue.mHandle)
                    : Fail(attempt, aIt.mFailure));
    });
}

void
ModelSession::Do(const TransferAction& aAction)
{
  const Endpoint* prefill = FindEndpoint(aAction.mPair.mPrefill);
  const Endpoint* decode = FindEndpoint(aAction.mPair.mDecode);
  if (prefill == nullptr || decode == nullptr) {
    Run(Fail(aAction.mAttempt, StepFailure::Unreachable));
    return;
  }
  mRequest->Enter(Hop::Transfer, *decode);
  mEngineCall = mServices.mEngines.Transfer(
    decode->mAddress,
    { MakeId(aAction.mAttempt), prefill->mAddress, aAction.mHandle },
    [this, attempt = aAction.mAttempt](const StepResult<std::string>& aIt) {
      Run(aIt.mIsOk ? mCall.OnTransferDone(attempt, aIt.mValue)
                    : Fail(attempt, aIt.mFailure));
    });
}

void
ModelSession::Do(const DecodeAction& aAction)
{
  const Endpoint* endpoint = FindEndpoint(aAction.mEndpoint);
  if (endpoint == nullptr) {
    Run(Fail(aAction.mAttempt, StepFailure::Unreachable));
    return;
  }
  mRequest->Enter(Hop::Decode, *endpoint);
  DecodeRequest request;
  request.mId = MakeId(aAction.mAttempt);
  request.mHandle = aAction.mHandle;
  request.mOffset = aAction.mOffset;
  request.mMaxTokens = mRequest->mCompletion->mMaxTokens;
  request.mPriority = Priority();
  const std::uint32_t attempt = aAction.mAttempt;
  DecodeHooks hooks;
  hooks.mOnToken = [this, attempt](std::uint64_t aOffset,
                                   const std::string& aText) {
    Run(mCall.OnToken(attempt, aOffset, aText));
  };
  hooks.mOnEnd = [this, attempt](std::uint64_t aTokens) {
    Run(mCall.OnAnswerEnd(attempt, aTokens));
  };
  hooks.mOnFailure = [this, attempt](StepFailure aFailure) {
    Run(Fail(attempt, aFailure));
  };
  mEngineCall =
    mServices.mEngines.Decode(endpoint->mAddress, request, std::move(hooks));
}

ProbeResult
ModelSession::JudgeStatus(const StepResult<EngineStatus>& aResult,
                          std::uint32_t aAttempt) const
{
  if (!aResult.mIsOk) {
    return ProbeResult::Unreachable;
  }
  const auto& streams = aResult.mValue.mStreams;
  const bool hasStream =
    std::any_of(streams.begin(), streams.end(), [&](const auto& aStream) {
      return aStream.mRequest == mRequest->RequestId() &&
             aStream.mAttempt == aAttempt;
    });
  return hasStream ? ProbeResult::HasStream : ProbeResult::NoStream;
}

void
ModelSession::Do(const ProbeAction& aAction)
{
  const Endpoint* endpoint = FindEndpoint(aAction.mEndpoint);
  if (endpoint == nullptr) {
    Run(mCall.OnProbeDone(aAction.mAttempt, ProbeResult::Unreachable));
    return;
  }
  mEngineCall = mServices.mEngines.Status(
    endpoint->mAddress,
    [this, attempt = aAction.mAttempt](const StepResult<EngineStatus>& aIt) {
      Run(mCall.OnProbeDone(attempt, JudgeStatus(aIt, attempt)));
    });
}

void
ModelSession::Do(const CancelAction& aAction)
{
  if (const Endpoint* endpoint = FindEndpoint(aAction.mEndpoint);
      endpoint != nullptr) {
    mServices.mCancels.Cancel(endpoint->mAddress, MakeId(aAction.mAttempt));
  }
}

void
ModelSession::Do(const DeliverAction& aAction)
{
  mRequest->Timeline().AddTokens(1, mServices.mClock.Now());
  const CompletionRequest& completion = *mRequest->mCompletion;
  if (!completion.mIsStreamed) {
    return;
  }
  HttpExchange& exchange = mRequest->Exchange();
  if (!exchange.HasStarted()) {
    exchange.StartStream(kStatusOk,
                         { { "Content-Type", "text/event-stream" },
                           { "Cache-Control", "no-cache" },
                           { "Request-Id", mRequest->RequestId() } });
  }
  exchange.SendChunk(FormatTokenEvent(
    completion, mRequest->RequestId(), aAction.mOffset, aAction.mText));
  if (exchange.PendingBytes() > mServices.mLimits.mMaxStreamBufferBytes) {
    LogEvent(LogLevel::Warning,
             "caller_too_slow",
             { { "request", mRequest->RequestId() },
               { "pending_bytes", exchange.PendingBytes() } });
    exchange.Abort();
    Run(mCall.OnCallerGone());
  }
}

void
ModelSession::Do(const CrashAction& aAction)
{
  LogEvent(LogLevel::Warning,
           "endpoint_died",
           { { "endpoint", aAction.mEndpoint },
             { "request", mRequest->RequestId() } });
}

void
ModelSession::Do(const FinishAction& aAction)
{
  mDeadlineTimer = {};
  mEngineCall.reset();
  mServices.mPairs.Release(mRequest->RequestId(), mCall.Attempt());
  if (aAction.mResult == ModelCallResult::Complete) {
    FinishComplete(aAction);
  } else if (aAction.mResult == ModelCallResult::CallerGone) {
    mRequest->FinishGone();
  } else {
    mRequest->Refuse(MakeProblem(aAction));
  }
  mSelf.reset();
}

void
ModelSession::FinishComplete(const FinishAction& aAction)
{
  const CompletionRequest& completion = *mRequest->mCompletion;
  if (completion.mIsStreamed) {
    mRequest->Exchange().SendChunk(
      FormatEndEvents(completion, mRequest->RequestId()));
    mRequest->Exchange().EndStream();
    mRequest->FinishStream();
  } else {
    mRequest->Answer(kStatusOk,
                     "application/json",
                     FormatWholeAnswer(completion,
                                       mRequest->RequestId(),
                                       mCall.Answer().Text(),
                                       aAction.mTokens));
  }
}

Problem
ModelSession::MakeProblem(const FinishAction& aAction) const
{
  Problem problem;
  problem.mRan = aAction.mRan ? RanState::Yes : RanState::No;
  switch (aAction.mResult) {
    case ModelCallResult::NoCapacity:
      problem.mCause = Cause::NoCapacity;
      problem.mDetail = "no endpoint can take the request now";
      problem.mRetryAfter = kNoCapacityRetryAfter;
      break;
    case ModelCallResult::DeadlineExceeded:
      problem.mCause = Cause::DeadlinePassed;
      problem.mDetail =
        absl::StrCat("the deadline passed while ",
                     std::string(ModelCallStateName(mCall.LastStep())),
                     ", attempt ",
                     mCall.Attempt());
      break;
    case ModelCallResult::Rejected:
      problem.mCause = Cause::TooLarge;
      problem.mDetail = "the endpoint cannot hold a request of this size";
      break;
    default:
      problem.mCause = CauseOf(mCall.LastFailure());
      problem.mDetail =
        absl::StrCat("attempt ",
                     mCall.Attempt(),
                     " failed: ",
                     std::string(StepFailureName(mCall.LastFailure())));
      break;
  }
  return problem;
}

void
ModelFilter::Handle(const RequestPointer& aRequest, const Next& aNext)
{
  if (!aRequest->mCompletion) {
    aNext();
    return;
  }
  std::make_shared<ModelSession>(mServices, aRequest)->Start();
}

} // namespace bulrushfold
