#include "Serving/ModelCall.h"

#include <algorithm>

#include "Base/EnumNames.h"

namespace bulrushfold {

namespace {

constexpr EnumNames<ModelCallState, 6> kStateNames{ {
  { ModelCallState::Selecting, "selecting" },
  { ModelCallState::Prefilling, "prefilling" },
  { ModelCallState::Transferring, "transferring" },
  { ModelCallState::Decoding, "decoding" },
  { ModelCallState::Probing, "probing" },
  { ModelCallState::Finished, "finished" },
} };

constexpr EnumNames<ModelCallResult, 6> kResultNames{ {
  { ModelCallResult::Complete, "complete" },
  { ModelCallResult::NoCapacity, "no_capacity" },
  { ModelCallResult::DeadlineExceeded, "deadline_exceeded" },
  { ModelCallResult::EndpointsFailed, "endpoints_failed" },
  { ModelCallResult::Rejected, "rejected" },
  { ModelCallResult::CallerGone, "caller_gone" },
} };

constexpr EnumNames<StepFailure, 6> kFailureNames{ {
  { StepFailure::Refused, "refused" },
  { StepFailure::Unreachable, "unreachable" },
  { StepFailure::ConnectionLost, "connection_lost" },
  { StepFailure::Silent, "silent" },
  { StepFailure::Evicted, "evicted" },
  { StepFailure::Rejected, "rejected" },
} };

constexpr std::uint32_t kMaxFruitlessResumes = 3;

} // namespace

std::string_view
ModelCallStateName(ModelCallState aState)
{
  return FindEnumName(kStateNames, aState);
}

std::string_view
ModelCallResultName(ModelCallResult aResult)
{
  return FindEnumName(kResultNames, aResult);
}

std::string_view
StepFailureName(StepFailure aFailure)
{
  return FindEnumName(kFailureNames, aFailure);
}

ModelCall::ModelCall(ModelCallLimits aLimits)
  : mLimits(aLimits)
{
}

bool
ModelCall::IsCurrent(std::uint32_t aAttempt, ModelCallState aState) const
{
  return mState == aState && aAttempt == mAnswer.Attempt();
}

ModelCallActions
ModelCall::Start()
{
  mAnswer.StartAttempt(1);
  return { SelectPairAction{ 1, mExcluded } };
}

ModelCallActions
ModelCall::OnPair(std::uint32_t aAttempt, const EndpointPair& aPair)
{
  if (!IsCurrent(aAttempt, ModelCallState::Selecting)) {
    return {};
  }
  mPair = aPair;
  mState = ModelCallState::Prefilling;
  return { PrefillAction{
    aAttempt, mPair.mPrefill, mAnswer.NextOffset(), mAnswer.Text() } };
}

ModelCallActions
ModelCall::OnNoPair(std::uint32_t aAttempt)
{
  if (!IsCurrent(aAttempt, ModelCallState::Selecting)) {
    return {};
  }
  return Finish(aAttempt > 1 && mRan ? ModelCallResult::EndpointsFailed
                                     : ModelCallResult::NoCapacity);
}

ModelCallActions
ModelCall::OnPrefillDone(std::uint32_t aAttempt, const std::string& aHandle)
{
  if (!IsCurrent(aAttempt, ModelCallState::Prefilling)) {
    return {};
  }
  mRan = true;
  mHandle = aHandle;
  if (mPair.mPrefill == mPair.mDecode) {
    mState = ModelCallState::Decoding;
    return { DecodeAction{
      aAttempt, mPair.mDecode, mHandle, mAnswer.NextOffset() } };
  }
  mState = ModelCallState::Transferring;
  return { TransferAction{ aAttempt, mPair, mHandle } };
}

ModelCallActions
ModelCall::OnTransferDone(std::uint32_t aAttempt, const std::string& aHandle)
{
  if (!IsCurrent(aAttempt, ModelCallState::Transferring)) {
    return {};
  }
  mHandle = aHandle;
  mState = ModelCallState::Decoding;
  return { DecodeAction{
    aAttempt, mPair.mDecode, mHandle, mAnswer.NextOffset() } };
}

ModelCallActions
ModelCall::OnToken(std::uint32_t aAttempt,
                   std::uint64_t aOffset,
                   const std::string& aText)
{
  if (!IsCurrent(aAttempt, ModelCallState::Decoding)) {
    return {};
  }
  switch (mAnswer.Take(aAttempt, aOffset, aText)) {
    case TokenVerdict::Deliver:
      mFruitlessResumes = 0;
      return { DeliverAction{ aOffset, aText } };
    case TokenVerdict::Drop:
      return {};
    case TokenVerdict::Gap:
      break;
  }
  return Resume();
}

ModelCallActions
ModelCall::OnAnswerEnd(std::uint32_t aAttempt, std::uint64_t aTokens)
{
  if (!IsCurrent(aAttempt, ModelCallState::Decoding)) {
    return {};
  }
  // An end that is announced before all tokens arrived is a gap.
  if (aTokens > mAnswer.NextOffset()) {
    return Resume();
  }
  return Finish(ModelCallResult::Complete);
}

ModelCallActions
ModelCall::Resume()
{
  if (++mFruitlessResumes > kMaxFruitlessResumes) {
    return Retry(true);
  }
  mState = ModelCallState::Decoding;
  return { DecodeAction{
    mAnswer.Attempt(), mPair.mDecode, mHandle, mAnswer.NextOffset() } };
}

ModelCallActions
ModelCall::OnFailure(std::uint32_t aAttempt, StepFailure aFailure)
{
  if (mState == ModelCallState::Finished ||
      mState == ModelCallState::Selecting ||
      mState == ModelCallState::Probing || aAttempt != mAnswer.Attempt()) {
    return {};
  }
  mLastFailure = aFailure;
  switch (aFailure) {
    case StepFailure::Rejected:
      return Finish(ModelCallResult::Rejected);
    case StepFailure::Evicted:
      return Retry(false);
    case StepFailure::Refused:
    case StepFailure::Unreachable:
      return Retry(true);
    case StepFailure::ConnectionLost:
    case StepFailure::Silent:
      break;
  }
  mRan = true;
  // Only a new connection tells a dead endpoint from a dead connection.
  mState = ModelCallState::Probing;
  return { ProbeAction{ aAttempt, CurrentEndpoint() } };
}

ModelCallActions
ModelCall::OnProbeDone(std::uint32_t aAttempt, ProbeResult aResult)
{
  if (!IsCurrent(aAttempt, ModelCallState::Probing)) {
    return {};
  }
  if (aResult == ProbeResult::HasStream) {
    return Resume();
  }
  if (aResult == ProbeResult::NoStream) {
    return Retry(false);
  }
  ModelCallActions actions{ CrashAction{ CurrentEndpoint() } };
  ModelCallActions next = Retry(true);
  actions.insert(actions.end(), next.begin(), next.end());
  return actions;
}

ModelCallActions
ModelCall::OnCallerGone()
{
  return mState == ModelCallState::Finished
           ? ModelCallActions{}
           : Finish(ModelCallResult::CallerGone);
}

ModelCallActions
ModelCall::OnDeadline()
{
  return mState == ModelCallState::Finished
           ? ModelCallActions{}
           : Finish(ModelCallResult::DeadlineExceeded);
}

std::string
ModelCall::CurrentEndpoint() const
{
  return mHandle.empty() ? mPair.mPrefill : mPair.mDecode;
}

ModelCallActions
ModelCall::Retry(bool aExclude)
{
  ModelCallActions actions;
  CancelAttempt(actions);
  if (aExclude) {
    const std::string failed = CurrentEndpoint();
    if (std::find(mExcluded.begin(), mExcluded.end(), failed) ==
        mExcluded.end()) {
      mExcluded.push_back(failed);
    }
  }
  const std::uint32_t attempt = mAnswer.Attempt() + 1;
  if (attempt > mLimits.mMaxAttempts) {
    ModelCallActions last = Finish(mRan ? ModelCallResult::EndpointsFailed
                                        : ModelCallResult::NoCapacity);
    return last;
  }
  mAnswer.StartAttempt(attempt);
  mPair = {};
  mHandle.clear();
  mFruitlessResumes = 0;
  mState = ModelCallState::Selecting;
  actions.emplace_back(SelectPairAction{ attempt, mExcluded });
  return actions;
}

void
ModelCall::CancelAttempt(ModelCallActions& aActions) const
{
  if (mPair.mPrefill.empty()) {
    return;
  }
  aActions.emplace_back(CancelAction{ mAnswer.Attempt(), mPair.mPrefill });
  if (mPair.mDecode != mPair.mPrefill) {
    aActions.emplace_back(CancelAction{ mAnswer.Attempt(), mPair.mDecode });
  }
}

ModelCallActions
ModelCall::Finish(ModelCallResult aResult)
{
  ModelCallActions actions;
  // The end of a complete answer has already freed what its engine held.
  if (aResult != ModelCallResult::Complete) {
    CancelAttempt(actions);
  }
  mLastStep = mState;
  mState = ModelCallState::Finished;
  actions.emplace_back(FinishAction{ aResult, mRan, mAnswer.NextOffset() });
  return actions;
}

} // namespace bulrushfold
