#include "Daemon/ModelProblem.h"

#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

Cause
CauseOfFailure(StepFailure aFailure)
{
  switch (aFailure) {
    case StepFailure::NoMemory:
    case StepFailure::NoSlot:
    case StepFailure::Refused:
      return Cause::EndpointRefused;
    case StepFailure::Unreachable:
    case StepFailure::ConnectionLost:
      return Cause::EndpointDied;
    case StepFailure::ReadTimeout:
      return Cause::EndpointTimedOut;
    case StepFailure::Stalled:
      return Cause::StalledTransfer;
    case StepFailure::Evicted:
      return Cause::KvEvicted;
    case StepFailure::Rejected:
      return Cause::TooLarge;
  }
  return Cause::InternalError;
}

Cause
CauseOfRejection(RejectReason aReason, const ModelCall& aCall)
{
  switch (aReason) {
    case RejectReason::DeadlinePassed:
      return Cause::DeadlinePassed;
    case RejectReason::TargetUnreachable:
    case RejectReason::QueueFull:
    case RejectReason::WaitedTooLong:
    case RejectReason::NoEndpoint:
      return Cause::NoCapacity;
    case RejectReason::RetryBudget:
      return Cause::RetryBudgetSpent;
    case RejectReason::Failed:
      return CauseOfFailure(aCall.LastFailure());
  }
  return Cause::InternalError;
}

} // namespace

Problem
ProblemOfRejection(const RejectAction& aRejection, const ModelCall& aCall)
{
  Problem problem;
  problem.mCause = CauseOfRejection(aRejection.mReason, aCall);
  problem.mDetail =
    absl::StrCat("the request was given up: ",
                 std::string(RejectReasonName(aRejection.mReason)));
  if (aRejection.mReason == RejectReason::Failed) {
    absl::StrAppend(&problem.mDetail,
                    "; attempt ",
                    aCall.Attempt(),
                    " ended with ",
                    std::string(StepFailureName(aCall.LastFailure())));
  }
  if (aRejection.mRetryAfter > Duration::zero()) {
    problem.mRetryAfter = aRejection.mRetryAfter;
  }
  return problem;
}

Problem
ProblemOfEnd(ModelCallResult aResult, const ModelCall& aCall)
{
  Problem problem;
  if (aResult == ModelCallResult::RejectedByEndpoint) {
    problem.mCause = Cause::TooLarge;
    problem.mDetail = "the endpoint cannot hold a request of this size";
    return problem;
  }
  problem.mCause = Cause::DeadlinePassed;
  problem.mDetail =
    absl::StrCat("the deadline passed while the request was ",
                 std::string(ModelCallStateName(aCall.FinalState())),
                 ", attempt ",
                 aCall.Attempt());
  return problem;
}

} // namespace bulrushfold
