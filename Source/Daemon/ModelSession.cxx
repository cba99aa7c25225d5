#include "Daemon/ModelSession.h"

#include <algorithm>
#include <utility>

#include "Base/Log.h"
#include "Daemon/ModelProblem.h"
#include "Policy/PrefixIndex.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr int kStatusOk = 200;
constexpr std::uint64_t kBytesPerToken = 4;
constexpr std::size_t kMaxPrefixMarks = 64;

FaultKind
FaultOf(StepFailure aFailure)
{
  switch (aFailure) {
    case StepFailure::NoMemory:
    case StepFailure::NoSlot:
    case StepFailure::Refused:
    case StepFailure::Rejected:
      return FaultKind::EndpointRefused;
    case StepFailure::Unreachable:
    case StepFailure::ConnectionLost:
      return FaultKind::EndpointDied;
    case StepFailure::ReadTimeout:
      return FaultKind::EndpointTimedOut;
    case StepFailure::Stalled:
      return FaultKind::TransferStalled;
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
{
}

ModelRequest
ModelSession::MakeModelRequest() const
{
  const CompletionRequest& completion = *mRequest->mCompletion;
  ModelRequest request;
  request.mId = mRequest->RequestId();
  request.mWorkspace = mRequest->mWorkspace.mName;
  request.mModel = completion.mModel;
  request.mShare = mRequest->mWorkspace.mShare;
  request.mClass = mRequest->mWorkspace.mClass;
  request.mPromptTokens =
    (completion.mPrompt.size() + kBytesPerToken - 1) / kBytesPerToken;
  request.mMaxTokens = completion.mMaxTokens;
  request.mPrefixes =
    HashPrefixes(completion.mModel, completion.mPrompt, kMaxPrefixMarks);
  request.mArrival = mRequest->Start();
  request.mDeadline = mRequest->mDeadline;
  return request;
}

void
ModelSession::Start()
{
  mSelf = shared_from_this();
  mRequest->Exchange().OnClosed([this] { Run(mCall.OnCallerDisconnected()); });
  const Duration left = mRequest->mDeadline - mServices.mClock.Now();
  mDeadlineTimer = mServices.mLoop.After(std::max(left, Duration(0)),
                                         [this] { Run(mCall.OnDeadline()); });
  mRequest->Timeline().BeginAttempt(mServices.mClock.Now());
  mServices.mRouting.Begin(MakeModelRequest(), *this);
}

void
ModelSession::OnQueued()
{
  mRequest->Enter(Hop::Queue);
}

void
ModelSession::OnReserving()
{
  if (mCall.State() == ModelCallState::Waiting) {
    mRequest->Enter(Hop::Reservation);
  }
}

void
ModelSession::OnStartPrefill(const StartPrefillAction& aAction)
{
  mPriority = aAction.mPriority;
  Run(mCall.OnStartPrefill(aAction.mAttempt, aAction.mEndpoint));
}

void
ModelSession::OnStartTransfer(const StartTransferAction& aAction)
{
  Run(mCall.OnStartTransfer(aAction.mAttempt, aAction.mFrom, aAction.mTo));
}

void
ModelSession::OnStartDecode(const StartDecodeAction& aAction)
{
  if (aAction.mDelay <= Duration::zero()) {
    Run(mCall.OnStartDecode(aAction.mAttempt, aAction.mEndpoint));
    return;
  }
  mDelayTimer = mServices.mLoop.After(aAction.mDelay, [this, aAction] {
    Run(mCall.OnStartDecode(aAction.mAttempt, aAction.mEndpoint));
  });
}

void
ModelSession::OnCancelled(const CancelAction& aAction)
{
  mDelayTimer = {};
  Run(mCall.OnCancelled(aAction.mAttempt, aAction.mEndpoint));
}

void
ModelSession::OnRejected(const RejectAction& aAction)
{
  mRejection = aAction;
  Run(mCall.OnRejectedByPolicy());
}

void
ModelSession::Run(const ModelCallSteps& aSteps)
{
  // The last step may drop the last reference to this session.
  const std::shared_ptr<ModelSession> keep = mSelf;
  for (const auto& it : aSteps) {
    std::visit([this](const auto& aStep) { Do(aStep); }, it);
  }
}

void
ModelSession::Fail(std::uint32_t aAttempt, StepFailure aFailure)
{
  if (aAttempt == mCall.Attempt()) {
    mRequest->RecordFault(FaultOf(aFailure));
  }
  Run(mCall.OnFailure(aAttempt, aFailure));
}

void
ModelSession::FailLater(std::uint32_t aAttempt)
{
  // The policy must not be called from inside its own action.
  mServices.mLoop.Defer([self = shared_from_this(), aAttempt] {
    self->Fail(aAttempt, StepFailure::Unreachable);
  });
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

void
ModelSession::Do(const PrefillStep& aStep)
{
  const Endpoint* endpoint = FindEndpoint(aStep.mEndpoint);
  if (endpoint == nullptr) {
    FailLater(aStep.mAttempt);
    return;
  }
  if (aStep.mAttempt > 1) {
    mRequest->Timeline().BeginAttempt(mServices.mClock.Now());
  }
  mRequest->Enter(Hop::Prefill, *endpoint);
  PrefillRequest request;
  request.mId = MakeId(aStep.mAttempt);
  request.mModel = mRequest->mCompletion->mModel;
  request.mPrompt = mRequest->mCompletion->mPrompt;
  request.mGenerated = aStep.mGenerated;
  request.mOffset = aStep.mOffset;
  request.mMaxTokens = mRequest->mCompletion->mMaxTokens;
  request.mPriority = mPriority;
  mEngineCall = mServices.mEngines.Prefill(
    endpoint->mAddress,
    request,
    [this, attempt = aStep.mAttempt](const StepResult<PrefillReply>& aIt) {
      if (aIt.mIsOk) {
        Run(mCall.OnPrefillDone(
          attempt, aIt.mValue.mHandle, aIt.mValue.mCachedTokens));
      } else {
        Fail(attempt, aIt.mFailure);
      }
    });
}

void
ModelSession::Do(const TransferStep& aStep)
{
  const Endpoint* from = FindEndpoint(aStep.mFrom);
  const Endpoint* to = FindEndpoint(aStep.mTo);
  if (from == nullptr || to == nullptr) {
    FailLater(aStep.mAttempt);
    return;
  }
  mRequest->Enter(Hop::Transfer, *to);
  mEngineCall = mServices.mEngines.Transfer(
    to->mAddress,
    { MakeId(aStep.mAttempt), from->mAddress, aStep.mHandle },
    [this, attempt = aStep.mAttempt](const StepResult<TransferReply>& aIt) {
      if (aIt.mIsOk) {
        Run(mCall.OnTransferDone(
          attempt, aIt.mValue.mHandle, static_cast<double>(aIt.mValue.mBytes)));
      } else {
        Fail(attempt, aIt.mFailure);
      }
    });
}

void
ModelSession::Do(const DecodeStep& aStep)
{
  const Endpoint* endpoint = FindEndpoint(aStep.mEndpoint);
  if (endpoint == nullptr) {
    FailLater(aStep.mAttempt);
    return;
  }
  mRequest->Enter(Hop::Decode, *endpoint);
  DecodeRequest request;
  request.mId = MakeId(aStep.mAttempt);
  request.mHandle = aStep.mHandle;
  request.mOffset = aStep.mOffset;
  request.mMaxTokens = mRequest->mCompletion->mMaxTokens;
  request.mPriority = mPriority;
  const std::uint32_t attempt = aStep.mAttempt;
  DecodeHooks hooks;
  hooks.mOnToken = [this, attempt](std::uint64_t aOffset,
                                   const std::string& aText) {
    Run(mCall.OnToken(attempt, aOffset, aText));
  };
  hooks.mOnEnd = [this, attempt](std::uint64_t aTokens) {
    Run(mCall.OnAnswerEnd(attempt, aTokens));
  };
  hooks.mOnFailure = [this, attempt](StepFailure aFailure) {
    Fail(attempt, aFailure);
  };
  mEngineCall =
    mServices.mEngines.Decode(endpoint->mAddress, request, std::move(hooks));
}

ProbeResult
ModelSession::JudgeStatus(const StepResult<EngineStatus>& aResult,
                          const std::string& aEndpoint) const
{
  if (!aResult.mIsOk) {
    return ProbeResult::Unreachable;
  }
  const std::string known = mServices.mLoads.Incarnation(aEndpoint);
  if (!known.empty() && known != aResult.mValue.mIncarnation) {
    return ProbeResult::Restarted;
  }
  const auto& streams = aResult.mValue.mStreams;
  const bool hasStream =
    std::any_of(streams.begin(), streams.end(), [&](const auto& aStream) {
      return aStream.mRequest == mRequest->RequestId() &&
             aStream.mAttempt == mCall.Attempt();
    });
  return hasStream ? ProbeResult::HasStream : ProbeResult::NoStream;
}

void
ModelSession::Do(const ProbeStep& aStep)
{
  const Endpoint* endpoint = FindEndpoint(aStep.mEndpoint);
  if (endpoint == nullptr) {
    mServices.mLoop.Defer([self = shared_from_this(), aStep] {
      self->Run(
        self->mCall.OnProbeDone(aStep.mAttempt, ProbeResult::Unreachable));
    });
    return;
  }
  mEngineCall = mServices.mEngines.Status(
    endpoint->mAddress, [this, aStep](const StepResult<EngineStatus>& aIt) {
      Run(mCall.OnProbeDone(aStep.mAttempt, JudgeStatus(aIt, aStep.mEndpoint)));
    });
}

void
ModelSession::Do(const AbortCallStep&)
{
  mEngineCall.reset();
}

void
ModelSession::Do(const DeliverStep& aStep)
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
    completion, mRequest->RequestId(), aStep.mOffset, aStep.mText));
  if (exchange.PendingBytes() > mServices.mLimits.mMaxStreamBufferBytes) {
    LogEvent(LogLevel::Warning,
             "caller_too_slow",
             { { "request", mRequest->RequestId() },
               { "pending_bytes", exchange.PendingBytes() } });
    exchange.Abort();
    Run(mCall.OnCallerDisconnected());
  }
}

void
ModelSession::Do(const CrashStep& aStep)
{
  LogEvent(
    LogLevel::Warning,
    "endpoint_died",
    { { "endpoint", aStep.mEndpoint }, { "request", mRequest->RequestId() } });
  mHasCrashed = true;
  mServices.mCluster.ReportCrash(
    absl::StrCat(
      aStep.mEndpoint, "/", mServices.mLoads.Incarnation(aStep.mEndpoint)),
    { mRequest->mDigest, mRequest->mRunsAlone });
}

void
ModelSession::Do(const PrefillDoneStep& aStep)
{
  mServices.mRouting.Notify([&](RoutingPolicy& aPolicy, Instant aNow) {
    return aPolicy.OnPrefillDone(
      mRequest->RequestId(), aStep.mAttempt, aStep.mCachedTokens, aNow);
  });
}

void
ModelSession::Do(const TransferDoneStep& aStep)
{
  mServices.mRouting.Notify([&](RoutingPolicy& aPolicy, Instant aNow) {
    return aPolicy.OnTransferDone(
      mRequest->RequestId(), aStep.mAttempt, aStep.mBytes, aNow);
  });
}

void
ModelSession::Do(const FirstTokenStep& aStep)
{
  mServices.mRouting.Notify([&](RoutingPolicy& aPolicy, Instant aNow) {
    return aPolicy.OnFirstToken(mRequest->RequestId(), aStep.mAttempt, aNow);
  });
}

void
ModelSession::Do(const DecodeFinishedStep& aStep)
{
  mServices.mRouting.Notify([&](RoutingPolicy& aPolicy, Instant aNow) {
    return aPolicy.OnFinished(
      mRequest->RequestId(), aStep.mAttempt, aStep.mTokens, aNow);
  });
}

void
ModelSession::Do(const ReportFailureStep& aStep)
{
  if (!std::exchange(mHasCrashed, false)) {
    PassFailure(aStep);
    return;
  }
  mServices.mSuspects->RunAgain(
    mRequest, [self = shared_from_this(), aStep](bool aMayRun) {
      if (aMayRun) {
        self->PassFailure(aStep);
      } else {
        self->RefuseAsSuspect();
      }
    });
}

void
ModelSession::PassFailure(const ReportFailureStep& aStep)
{
  mServices.mRouting.Notify([&](RoutingPolicy& aPolicy, Instant aNow) {
    return aPolicy.OnFailed(
      mRequest->RequestId(), aStep.mAttempt, aStep.mKind, aNow);
  });
}

void
ModelSession::RefuseAsSuspect()
{
  mIsRefusedAsSuspect = true;
  Do(RequestCancelledStep{});
  Run(mCall.OnRejectedByPolicy());
}

void
ModelSession::Do(const RequestCancelledStep&)
{
  mServices.mRouting.Notify([this](RoutingPolicy& aPolicy, Instant aNow) {
    return aPolicy.OnCallerDisconnected(mRequest->RequestId(), aNow);
  });
}

void
ModelSession::Do(const EndRequestStep& aStep)
{
  mDeadlineTimer = {};
  mDelayTimer = {};
  mServices.mRouting.Forget(mRequest->RequestId());
  for (const auto& [attempt, endpoint] : mCall.UnreleasedAttempts()) {
    mServices.mRouting.Cancel(mRequest->RequestId(), attempt, endpoint);
  }
  switch (aStep.mResult) {
    case ModelCallResult::Complete:
      AnswerWhole(aStep);
      break;
    case ModelCallResult::CallerDisconnected:
      mRequest->FinishGone();
      break;
    default:
      mRequest->Refuse(MakeProblem(aStep));
      break;
  }
  mSelf.reset();
}

void
ModelSession::AnswerWhole(const EndRequestStep& aStep)
{
  const CompletionRequest& completion = *mRequest->mCompletion;
  if (completion.mIsStreamed) {
    mRequest->Exchange().SendChunk(
      FormatEndEvents(completion, mRequest->RequestId()));
    mRequest->Exchange().EndStream();
    mRequest->FinishStream();
    return;
  }
  mRequest->Answer(
    kStatusOk,
    "application/json",
    FormatWholeAnswer(
      completion, mRequest->RequestId(), mCall.Answer().Text(), aStep.mTokens));
}

Problem
ModelSession::MakeProblem(const EndRequestStep& aStep) const
{
  if (mIsRefusedAsSuspect) {
    return { Cause::CrashSuspect,
             RanState::Yes,
             "endpoints crashed each time they ran this request",
             std::nullopt };
  }
  Problem problem = aStep.mResult == ModelCallResult::RejectedByPolicy
                      ? ProblemOfRejection(mRejection, mCall)
                      : ProblemOfEnd(aStep.mResult, mCall);
  problem.mRan = aStep.mRan ? RanState::Yes : RanState::No;
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
