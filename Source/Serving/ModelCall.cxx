#include "Serving/ModelCall.h"

#include "Base/EnumNames.h"

namespace bulrushfold {

namespace {

constexpr EnumNames<ModelCallState, 6> kStateNames{ {
  { ModelCallState::Waiting, "waiting" },
  { ModelCallState::Prefilling, "prefilling" },
  { ModelCallState::Transferring, "transferring" },
  { ModelCallState::Decoding, "decoding" },
  { ModelCallState::Probing, "probing" },
  { ModelCallState::Finished, "finished" },
} };

constexpr EnumNames<StepFailure, 9> kFailureNames{ {
  { StepFailure::NoMemory, "no_memory" },
  { StepFailure::NoSlot, "no_slot" },
  { StepFailure::Refused, "refused" },
  { StepFailure::Unreachable, "unreachable" },
  { StepFailure::ConnectionLost, "connection_lost" },
  { StepFailure::ReadTimeout, "silent" },
  { StepFailure::Stalled, "stalled" },
  { StepFailure::Evicted, "evicted" },
  { StepFailure::Rejected, "rejected" },
} };

constexpr std::uint32_t kMaxFruitlessResumes = 3;

FailureKind
KindOf(StepFailure aFailure)
{
  switch (aFailure) {
    case StepFailure::NoMemory:
      return FailureKind::NoMemory;
    case StepFailure::NoSlot:
      return FailureKind::NoSlot;
    case StepFailure::Stalled:
      return FailureKind::Stalled;
    case StepFailure::Evicted:
      return FailureKind::Evicted;
    case StepFailure::Refused:
      return FailureKind::Unsuitable;
    default:
      return FailureKind::Lost;
  }
}

/** True when the endpoint has certainly done nothing for the step. */
bool
IsWithoutWork(StepFailure aFailure)
{
  return aFailure == StepFailure::NoMemory || aFailure == StepFailure::NoSlot ||
         aFailure == StepFailure::Refused ||
         aFailure == StepFailure::Unreachable;
}

} // namespace

std::string_view
ModelCallStateName(ModelCallState aState)
{
  return FindEnumName(kStateNames, aState);
}

std::string_view
StepFailureName(StepFailure aFailure)
{
  return FindEnumName(kFailureNames, aFailure);
}

bool
ModelCall::IsCurrent(std::uint32_t aAttempt, ModelCallState aState) const
{
  return mState == aState && aAttempt == mAnswer.Attempt();
}

ModelCallSteps
ModelCall::OnStartPrefill(std::uint32_t aAttempt, const std::string& aEndpoint)
{
  if (mState == ModelCallState::Finished) {
    return {};
  }
  mAnswer.StartAttempt(aAttempt);
  mState = ModelCallState::Prefilling;
  mEndpoint = aEndpoint;
  mHandle.clear();
  mHasFirstToken = false;
  mFruitlessResumes = 0;
  mHeld.insert({ aAttempt, aEndpoint });
  return { AbortCallStep{},
           PrefillStep{
             aAttempt, aEndpoint, mAnswer.NextOffset(), mAnswer.Text() } };
}

ModelCallSteps
ModelCall::OnStartTransfer(std::uint32_t aAttempt,
                           const std::string& aFrom,
                           const std::string& aTo)
{
  if (mState == ModelCallState::Finished || aAttempt != mAnswer.Attempt()) {
    return {};
  }
  mState = ModelCallState::Transferring;
  mEndpoint = aTo;
  mSource = aFrom;
  mHeld.insert({ aAttempt, aTo });
  return { AbortCallStep{}, TransferStep{ aAttempt, aFrom, aTo, mHandle } };
}

ModelCallSteps
ModelCall::OnStartDecode(std::uint32_t aAttempt, const std::string& aEndpoint)
{
  if (mState == ModelCallState::Finished || aAttempt != mAnswer.Attempt()) {
    return {};
  }
  mState = ModelCallState::Decoding;
  mEndpoint = aEndpoint;
  mHeld.insert({ aAttempt, aEndpoint });
  return { AbortCallStep{},
           DecodeStep{ aAttempt, aEndpoint, mHandle, mAnswer.NextOffset() } };
}

ModelCallSteps
ModelCall::OnCancelled(std::uint32_t aAttempt, const std::string& aEndpoint)
{
  mHeld.erase({ aAttempt, aEndpoint });
  if (mState == ModelCallState::Finished || aAttempt != mAnswer.Attempt() ||
      aEndpoint != mEndpoint) {
    return {};
  }
  mState = ModelCallState::Waiting;
  return { AbortCallStep{} };
}

ModelCallSteps
ModelCall::OnRejectedByPolicy()
{
  return mState == ModelCallState::Finished
           ? ModelCallSteps{}
           : Finish(ModelCallResult::RejectedByPolicy);
}

ModelCallSteps
ModelCall::OnPrefillDone(std::uint32_t aAttempt,
                         const std::string& aHandle,
                         std::uint64_t aCachedTokens)
{
  if (!IsCurrent(aAttempt, ModelCallState::Prefilling)) {
    return {};
  }
  mRan = true;
  mHandle = aHandle;
  mState = ModelCallState::Waiting;
  return { PrefillDoneStep{ aAttempt, aCachedTokens } };
}

ModelCallSteps
ModelCall::OnTransferDone(std::uint32_t aAttempt,
                          const std::string& aHandle,
                          double aBytes)
{
  if (!IsCurrent(aAttempt, ModelCallState::Transferring)) {
    return {};
  }
  mHandle = aHandle;
  // An export frees what the prefill engine held.
  mHeld.erase({ aAttempt, mSource });
  mState = ModelCallState::Waiting;
  return { TransferDoneStep{ aAttempt, aBytes } };
}

ModelCallSteps
ModelCall::OnToken(std::uint32_t aAttempt,
                   std::uint64_t aOffset,
                   const std::string& aText)
{
  if (!IsCurrent(aAttempt, ModelCallState::Decoding)) {
    return {};
  }
  switch (mAnswer.Take(aAttempt, aOffset, aText)) {
    case TokenVerdict::Drop:
      return {};
    case TokenVerdict::Gap:
      return Resume();
    case TokenVerdict::Deliver:
      break;
  }
  mFruitlessResumes = 0;
  ModelCallSteps steps{ DeliverStep{ aOffset, aText } };
  if (!mHasFirstToken) {
    mHasFirstToken = true;
    steps.emplace_back(FirstTokenStep{ aAttempt });
  }
  return steps;
}

ModelCallSteps
ModelCall::OnAnswerEnd(std::uint32_t aAttempt, std::uint64_t aTokens)
{
  if (!IsCurrent(aAttempt, ModelCallState::Decoding)) {
    return {};
  }
  // An end that is announced before all tokens arrived is a gap.
  if (aTokens > mAnswer.NextOffset()) {
    return Resume();
  }
  // The end of a complete answer has freed what its engine held.
  mHeld.erase({ aAttempt, mEndpoint });
  return Finish(ModelCallResult::Complete);
}

ModelCallSteps
ModelCall::Resume()
{
  if (++mFruitlessResumes > kMaxFruitlessResumes) {
    return Fail(FailureKind::Lost);
  }
  mState = ModelCallState::Decoding;
  return { AbortCallStep{},
           DecodeStep{
             mAnswer.Attempt(), mEndpoint, mHandle, mAnswer.NextOffset() } };
}

ModelCallSteps
ModelCall::Fail(FailureKind aKind)
{
  mState = ModelCallState::Waiting;
  return { AbortCallStep{}, ReportFailureStep{ mAnswer.Attempt(), aKind } };
}

ModelCallSteps
ModelCall::OnFailure(std::uint32_t aAttempt, StepFailure aFailure)
{
  const bool isInStep = mState == ModelCallState::Prefilling ||
                        mState == ModelCallState::Transferring ||
                        mState == ModelCallState::Decoding;
  if (!isInStep || aAttempt != mAnswer.Attempt()) {
    return {};
  }
  mLastFailure = aFailure;
  mRan = mRan || !IsWithoutWork(aFailure);
  if (aFailure == StepFailure::Rejected) {
    return Finish(ModelCallResult::RejectedByEndpoint);
  }
  if (aFailure == StepFailure::ReadTimeout &&
      mState == ModelCallState::Transferring) {
    return Fail(FailureKind::Stalled);
  }
  if (aFailure == StepFailure::ConnectionLost ||
      aFailure == StepFailure::ReadTimeout) {
    // Only a new connection tells a dead endpoint from a dead connection.
    mProbedStep = mState;
    mState = ModelCallState::Probing;
    return { AbortCallStep{}, ProbeStep{ aAttempt, mEndpoint } };
  }
  return Fail(KindOf(aFailure));
}

ModelCallSteps
ModelCall::OnProbeDone(std::uint32_t aAttempt, ProbeResult aResult)
{
  if (!IsCurrent(aAttempt, ModelCallState::Probing)) {
    return {};
  }
  switch (aResult) {
    case ProbeResult::HasStream:
      if (mProbedStep == ModelCallState::Decoding) {
        return Resume();
      }
      return Fail(FailureKind::Evicted);
    case ProbeResult::NoStream:
      return Fail(FailureKind::Evicted);
    case ProbeResult::Unreachable:
    case ProbeResult::Restarted:
      break;
  }
  ModelCallSteps steps{ CrashStep{ mEndpoint } };
  ModelCallSteps more = Fail(FailureKind::Lost);
  steps.insert(steps.end(), more.begin(), more.end());
  return steps;
}

ModelCallSteps
ModelCall::OnCallerDisconnected()
{
  return mState == ModelCallState::Finished
           ? ModelCallSteps{}
           : Finish(ModelCallResult::CallerDisconnected);
}

ModelCallSteps
ModelCall::OnDeadline()
{
  return mState == ModelCallState::Finished
           ? ModelCallSteps{}
           : Finish(ModelCallResult::DeadlineExceeded);
}

ModelCallSteps
ModelCall::Finish(ModelCallResult aResult)
{
  mFinalState = mState;
  mState = ModelCallState::Finished;
  ModelCallSteps steps{ AbortCallStep{} };
  if (aResult == ModelCallResult::Complete) {
    steps.emplace_back(
      DecodeFinishedStep{ mAnswer.Attempt(), mAnswer.NextOffset() });
  } else if (aResult != ModelCallResult::RejectedByPolicy) {
    steps.emplace_back(RequestCancelledStep{});
  }
  steps.emplace_back(EndRequestStep{ aResult, mRan, mAnswer.NextOffset() });
  return steps;
}

} // namespace bulrushfold
