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

ModelSession::ModelSession(ModelSessionDependencies& aDependencies,
                           RequestPointer aRequest)
  : mDependencies(aDependencies)
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
  mRequest->Exchange().OnClosed(
    [this] { ExecuteSteps(mCall.OnCallerDisconnected()); });
  const Duration remaining = mRequest->mDeadline - mDependencies.mClock.Now();
  mDeadlineTimer =
    mDependencies.mLoop.After(std::max(remaining, Duration(0)),
                              [this] { ExecuteSteps(mCall.OnDeadline()); });
  mRequest->Timeline().BeginAttempt(mDependencies.mClock.Now());
  mDependencies.mRouting.Begin(MakeModelRequest(), *this);
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
  ExecuteSteps(mCall.OnStartPrefill(aAction.mAttempt, aAction.mEndpoint));
}

void
ModelSession::OnStartTransfer(const StartTransferAction& aAction)
{
  ExecuteSteps(
    mCall.OnStartTransfer(aAction.mAttempt, aAction.mFrom, aAction.mTo));
}

void
ModelSession::OnStartDecode(const StartDecodeAction& aAction)
{
  if (aAction.mDelay <= Duration::zero()) {
    ExecuteSteps(mCall.OnStartDecode(aAction.mAttempt, aAction.mEndpoint));
    return;
  }
  mDelayTimer = mDependencies.mLoop.After(aAction.mDelay, [this, aAction] {
    ExecuteSteps(mCall.OnStartDecode(aAction.mAttempt, aAction.mEndpoint));
  });
}

void
ModelSession::OnCancelled(const CancelAction& aAction)
{
  mDelayTimer = {};
  ExecuteSteps(mCall.OnCancelled(aAction.mAttempt, aAction.mEndpoint));
}

void
ModelSession::OnRejected(const RejectAction& aAction)
{
  mRejection = aAction;
  ExecuteSteps(mCall.OnRejectedByPolicy());
}

void
ModelSession::ExecuteSteps(const ModelCallSteps& aSteps)
{
  // The last step may release the last reference to this session.
  const std::shared_ptr<ModelSession> keepAlive = mSelf;
  for (const auto& it : aSteps) {
    std::visit([this](const auto& aStep) { Execute(aStep); }, it);
  }
}

void
ModelSession::HandleFailure(std::uint32_t aAttempt, StepFailure aFailure)
{
  if (aAttempt == mCall.Attempt()) {
    mRequest->RecordFault(FaultOf(aFailure));
  }
  ExecuteSteps(mCall.OnFailure(aAttempt, aFailure));
}

void
ModelSession::DeferFailure(std::uint32_t aAttempt)
{
  // The policy must not be called while one of its actions is executed.
  mDependencies.mLoop.Defer([self = shared_from_this(), aAttempt] {
    self->HandleFailure(aAttempt, StepFailure::Unreachable);
  });
}

const Endpoint*
ModelSession::FindEndpoint(const std::string& aName) const
{
  const auto& endpoints = mDependencies.mConfiguration.Endpoints();
  const auto it = endpoints.find(aName);
  return it == endpoints.end() ? nullptr : &it->second;
}

AttemptId
ModelSession::MakeAttemptId(std::uint32_t aAttempt) const
{
  return { mRequest->RequestId(), aAttempt, mDependencies.mOwner };
}

void
ModelSession::Execute(const PrefillStep& aStep)
{
  const Endpoint* endpoint = FindEndpoint(aStep.mEndpoint);
  if (endpoint == nullptr) {
    DeferFailure(aStep.mAttempt);
    return;
  }
  if (aStep.mAttempt > 1) {
    mRequest->Timeline().BeginAttempt(mDependencies.mClock.Now());
  }
  mRequest->Enter(Hop::Prefill, *endpoint);
  PrefillRequest request;
  request.mId = MakeAttemptId(aStep.mAttempt);
  request.mModel = mRequest->mCompletion->mModel;
  request.mPrompt = mRequest->mCompletion->mPrompt;
  request.mGenerated = aStep.mGenerated;
  request.mOffset = aStep.mOffset;
  request.mMaxTokens = mRequest->mCompletion->mMaxTokens;
  request.mPriority = mPriority;
  mEngineCall = mDependencies.mEngines.Prefill(
    endpoint->mAddress,
    request,
    [this, attempt = aStep.mAttempt](const StepResult<PrefillReply>& aIt) {
      if (aIt.mIsOk) {
        ExecuteSteps(mCall.OnPrefillDone(
          attempt, aIt.mValue.mHandle, aIt.mValue.mCachedTokens));
      } else {
        HandleFailure(attempt, aIt.mFailure);
      }
    });
}

void
ModelSession::Execute(const TransferStep& aStep)
{
  const Endpoint* from = FindEndpoint(aStep.mFrom);
  const Endpoint* to = FindEndpoint(aStep.mTo);
  if (from == nullptr || to == nullptr) {
    DeferFailure(aStep.mAttempt);
    return;
  }
  mRequest->Enter(Hop::Transfer, *to);
  mEngineCall = mDependencies.mEngines.Transfer(
    to->mAddress,
    { MakeAttemptId(aStep.mAttempt), from->mAddress, aStep.mHandle },
    [this, attempt = aStep.mAttempt](const StepResult<TransferReply>& aIt) {
      if (aIt.mIsOk) {
        ExecuteSteps(mCall.OnTransferDone(
          attempt, aIt.mValue.mHandle, static_cast<double>(aIt.mValue.mBytes)));
      } else {
        HandleFailure(attempt, aIt.mFailure);
      }
    });
}

void
ModelSession::Execute(const DecodeStep& aStep)
{
  const Endpoint* endpoint = FindEndpoint(aStep.mEndpoint);
  if (endpoint == nullptr) {
    DeferFailure(aStep.mAttempt);
    return;
  }
  mRequest->Enter(Hop::Decode, *endpoint);
  DecodeRequest request;
  request.mId = MakeAttemptId(aStep.mAttempt);
  request.mHandle = aStep.mHandle;
  request.mOffset = aStep.mOffset;
  request.mMaxTokens = mRequest->mCompletion->mMaxTokens;
  request.mPriority = mPriority;
  const std::uint32_t attempt = aStep.mAttempt;
  DecodeHooks hooks;
  hooks.mOnToken = [this, attempt](std::uint64_t aOffset,
                                   const std::string& aText) {
    ExecuteSteps(mCall.OnToken(attempt, aOffset, aText));
  };
  hooks.mOnEnd = [this, attempt](std::uint64_t aTokens) {
    ExecuteSteps(mCall.OnAnswerEnd(attempt, aTokens));
  };
  hooks.mOnFailure = [this, attempt](StepFailure aFailure) {
    HandleFailure(attempt, aFailure);
  };
  mEngineCall = mDependencies.mEngines.Decode(
    endpoint->mAddress, request, std::move(hooks));
}

ProbeResult
ModelSession::EvaluateStatus(const StepResult<EngineStatus>& aResult,
                             const std::string& aEndpoint) const
{
  if (!aResult.mIsOk) {
    return ProbeResult::Unreachable;
  }
  const std::string lastIncarnation =
    mDependencies.mLoads.Incarnation(aEndpoint);
  if (!lastIncarnation.empty() &&
      lastIncarnation != aResult.mValue.mIncarnation) {
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
ModelSession::Execute(const ProbeStep& aStep)
{
  const Endpoint* endpoint = FindEndpoint(aStep.mEndpoint);
  if (endpoint == nullptr) {
    mDependencies.mLoop.Defer([self = shared_from_this(), aStep] {
      self->ExecuteSteps(
        self->mCall.OnProbeDone(aStep.mAttempt, ProbeResult::Unreachable));
    });
    return;
  }
  mEngineCall = mDependencies.mEngines.Status(
    endpoint->mAddress, [this, aStep](const StepResult<EngineStatus>& aIt) {
      ExecuteSteps(mCall.OnProbeDone(aStep.mAttempt,
                                     EvaluateStatus(aIt, aStep.mEndpoint)));
    });
}

void
ModelSession::Execute(const AbortCallStep&)
{
  mEngineCall.reset();
}

void
ModelSession::Execute(const DeliverStep& aStep)
{
  mRequest->Timeline().AddTokens(1, mDependencies.mClock.Now());
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
  if (exchange.PendingBytes() > mDependencies.mLimits.mMaxStreamBufferBytes) {
    LogEvent(LogLevel::Warning,
             "caller_too_slow",
             { { "request", mRequest->RequestId() },
               { "pending_bytes", exchange.PendingBytes() } });
    exchange.Abort();
    ExecuteSteps(mCall.OnCallerDisconnected());
  }
}

void
ModelSession::Execute(const CrashStep& aStep)
{
  LogEvent(
    LogLevel::Warning,
    "endpoint_died",
    { { "endpoint", aStep.mEndpoint }, { "request", mRequest->RequestId() } });
  mHasEndpointCrashed = true;
  mDependencies.mCluster.ReportCrash(
    absl::StrCat(
      aStep.mEndpoint, "/", mDependencies.mLoads.Incarnation(aStep.mEndpoint)),
    { mRequest->mDigest, mRequest->mRunsAlone });
}

void
ModelSession::Execute(const PrefillDoneStep& aStep)
{
  mDependencies.mRouting.Notify([&](RoutingPolicy& aPolicy, Instant aNow) {
    return aPolicy.OnPrefillDone(
      mRequest->RequestId(), aStep.mAttempt, aStep.mCachedTokens, aNow);
  });
}

void
ModelSession::Execute(const TransferDoneStep& aStep)
{
  mDependencies.mRouting.Notify([&](RoutingPolicy& aPolicy, Instant aNow) {
    return aPolicy.OnTransferDone(
      mRequest->RequestId(), aStep.mAttempt, aStep.mBytes, aNow);
  });
}

void
ModelSession::Execute(const FirstTokenStep& aStep)
{
  mDependencies.mRouting.Notify([&](RoutingPolicy& aPolicy, Instant aNow) {
    return aPolicy.OnFirstToken(mRequest->RequestId(), aStep.mAttempt, aNow);
  });
}

void
ModelSession::Execute(const DecodeFinishedStep& aStep)
{
  mDependencies.mRouting.Notify([&](RoutingPolicy& aPolicy, Instant aNow) {
    return aPolicy.OnFinished(
      mRequest->RequestId(), aStep.mAttempt, aStep.mTokens, aNow);
  });
}

void
ModelSession::Execute(const ReportFailureStep& aStep)
{
  if (!std::exchange(mHasEndpointCrashed, false)) {
    ReportFailure(aStep);
    return;
  }
  mDependencies.mSuspects->RequestRerun(
    mRequest, [self = shared_from_this(), aStep](bool aMayRun) {
      if (aMayRun) {
        self->ReportFailure(aStep);
      } else {
        self->RefuseAsSuspect();
      }
    });
}

void
ModelSession::ReportFailure(const ReportFailureStep& aStep)
{
  mDependencies.mRouting.Notify([&](RoutingPolicy& aPolicy, Instant aNow) {
    return aPolicy.OnFailed(
      mRequest->RequestId(), aStep.mAttempt, aStep.mKind, aNow);
  });
}

void
ModelSession::RefuseAsSuspect()
{
  mIsRefusedAsSuspect = true;
  Execute(RequestCancelledStep{});
  ExecuteSteps(mCall.OnRejectedByPolicy());
}

void
ModelSession::Execute(const RequestCancelledStep&)
{
  mDependencies.mRouting.Notify([this](RoutingPolicy& aPolicy, Instant aNow) {
    return aPolicy.OnCallerDisconnected(mRequest->RequestId(), aNow);
  });
}

void
ModelSession::Execute(const EndRequestStep& aStep)
{
  mDeadlineTimer = {};
  mDelayTimer = {};
  mDependencies.mRouting.Unregister(mRequest->RequestId());
  for (const auto& [attempt, endpoint] : mCall.UnreleasedAttempts()) {
    mDependencies.mRouting.Cancel(mRequest->RequestId(), attempt, endpoint);
  }
  switch (aStep.mResult) {
    case ModelCallResult::Complete:
      FinishAnswer(aStep);
      break;
    case ModelCallResult::CallerDisconnected:
      mRequest->FinishDisconnected();
      break;
    default:
      mRequest->Refuse(MakeProblem(aStep));
      break;
  }
  mSelf.reset();
}

void
ModelSession::FinishAnswer(const EndRequestStep& aStep)
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
  std::make_shared<ModelSession>(mDependencies, aRequest)->Start();
}

} // namespace bulrushfold
