#ifndef BULRUSHFOLD_SERVING_MODELCALL_H
#define BULRUSHFOLD_SERVING_MODELCALL_H

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "Policy/PolicyTypes.h"
#include "Serving/AnswerStream.h"

namespace bulrushfold {

/** Current step of a model request. */
enum class ModelCallState
{
  /** No engine call is in progress; the policy decides on the next step. */
  Waiting,
  Prefilling,
  Transferring,
  Decoding,
  /** A probe checks whether the endpoint still has the stream. */
  Probing,
  Finished,
};

/** How a model request ended. */
enum class ModelCallResult
{
  /** The caller has the whole answer. */
  Complete,
  /** The policy rejected the request; see RejectReason. */
  RejectedByPolicy,
  DeadlineExceeded,
  /** The endpoint will never accept this request. */
  RejectedByEndpoint,
  CallerDisconnected,
};

/** Why a step at an endpoint failed. */
enum class StepFailure
{
  NoMemory,
  NoSlot,
  /** Refused for another reason: draining, other role, model not loaded. */
  Refused,
  /** No connection to the endpoint. */
  Unreachable,
  /** The connection was lost during the step. */
  ConnectionLost,
  /** No byte arrived within the read timeout. */
  ReadTimeout,
  /** The transfer made no progress. */
  Stalled,
  /** The endpoint no longer has the KV cache or the stream. */
  Evicted,
  /** The endpoint will never accept this request. */
  Rejected,
};

/** What a probe on a new connection found. */
enum class ProbeResult
{
  /** No connection, or no answer within the read timeout. */
  Unreachable,
  /** The endpoint answers, but its process has restarted. */
  Restarted,
  /** The endpoint is alive and does not have the stream. */
  NoStream,
  /** The endpoint is alive and has the stream; only the connection was lost. */
  HasStream,
};

std::string_view ModelCallStateName(ModelCallState aState);
std::string_view StepFailureName(StepFailure aFailure);

/** Starts a prefill. The mOffset tokens that were already delivered have the
 * text mGenerated. */
struct PrefillStep
{
  std::uint32_t mAttempt = 0;
  std::string mEndpoint;
  std::uint64_t mOffset = 0;
  std::string mGenerated;
};
/** Starts the transfer of KV cache mHandle from mFrom to mTo. */
struct TransferStep
{
  std::uint32_t mAttempt = 0;
  std::string mFrom;
  std::string mTo;
  std::string mHandle;
};
/** Starts or resumes a decode stream at mOffset. */
struct DecodeStep
{
  std::uint32_t mAttempt = 0;
  std::string mEndpoint;
  std::string mHandle;
  std::uint64_t mOffset = 0;
};
/** Checks on a new connection whether the endpoint still has the stream. */
struct ProbeStep
{
  std::uint32_t mAttempt = 0;
  std::string mEndpoint;
};
/** Aborts the engine call that is in progress. */
struct AbortCallStep
{};
/** Delivers one token to the caller. */
struct DeliverStep
{
  std::uint64_t mOffset = 0;
  std::string mText;
};
/** Reports that mEndpoint crashed while it ran this request. */
struct CrashStep
{
  std::string mEndpoint;
};
/** Event RoutingPolicy::OnPrefillDone. */
struct PrefillDoneStep
{
  std::uint32_t mAttempt = 0;
  std::uint64_t mCachedTokens = 0;
};
/** Event RoutingPolicy::OnTransferDone. */
struct TransferDoneStep
{
  std::uint32_t mAttempt = 0;
  double mBytes = 0;
};
/** Event RoutingPolicy::OnFirstToken. */
struct FirstTokenStep
{
  std::uint32_t mAttempt = 0;
};
/** Event RoutingPolicy::OnFinished. */
struct DecodeFinishedStep
{
  std::uint32_t mAttempt = 0;
  std::uint64_t mTokens = 0;
};
/** Event RoutingPolicy::OnFailed. */
struct ReportFailureStep
{
  std::uint32_t mAttempt = 0;
  FailureKind mKind = FailureKind::Lost;
};
/** Event RoutingPolicy::OnCallerDisconnected: the request ends without a
 * complete answer, for a reason other than a rejection by the policy. */
struct RequestCancelledStep
{};
/** Ends the request. Exactly one is issued for each request. */
struct EndRequestStep
{
  ModelCallResult mResult = ModelCallResult::Complete;
  /** True when an endpoint may have done work for the request. */
  bool mRan = false;
  std::uint64_t mTokens = 0;
};

using ModelCallStep = std::variant<PrefillStep,
                                   TransferStep,
                                   DecodeStep,
                                   ProbeStep,
                                   AbortCallStep,
                                   DeliverStep,
                                   CrashStep,
                                   PrefillDoneStep,
                                   TransferDoneStep,
                                   FirstTokenStep,
                                   DecodeFinishedStep,
                                   ReportFailureStep,
                                   RequestCancelledStep,
                                   EndRequestStep>;
using ModelCallSteps = std::vector<ModelCallStep>;

/** An attempt and an endpoint where memory may be allocated for it. */
using EndpointAttempt = std::pair<std::uint32_t, std::string>;

/**
 * State machine of one model request. It executes the policy's prefill,
 * transfer and decode, distinguishes a lost connection from a failed endpoint
 * by a probe, resumes a stream whose connection was lost, orders the tokens,
 * and records the attempts for which endpoints may still have memory allocated.
 * The daemon passes events in and carries out the returned steps in order.
 * Events of former attempts are ignored.
 */
class ModelCall
{
public:
  // The policy's actions.
  ModelCallSteps OnStartPrefill(std::uint32_t aAttempt,
                                const std::string& aEndpoint);
  ModelCallSteps OnStartTransfer(std::uint32_t aAttempt,
                                 const std::string& aFrom,
                                 const std::string& aTo);
  ModelCallSteps OnStartDecode(std::uint32_t aAttempt,
                               const std::string& aEndpoint);
  /** The policy cancelled an attempt at an endpoint. */
  ModelCallSteps OnCancelled(std::uint32_t aAttempt,
                             const std::string& aEndpoint);
  /** The policy rejected the request. */
  ModelCallSteps OnRejectedByPolicy();

  // Results of engine calls.
  ModelCallSteps OnPrefillDone(std::uint32_t aAttempt,
                               const std::string& aHandle,
                               std::uint64_t aCachedTokens);
  ModelCallSteps OnTransferDone(std::uint32_t aAttempt,
                                const std::string& aHandle,
                                double aBytes);
  ModelCallSteps OnToken(std::uint32_t aAttempt,
                         std::uint64_t aOffset,
                         const std::string& aText);
  /** The engine reported that the answer ends after aTokens tokens. */
  ModelCallSteps OnAnswerEnd(std::uint32_t aAttempt, std::uint64_t aTokens);
  ModelCallSteps OnFailure(std::uint32_t aAttempt, StepFailure aFailure);
  ModelCallSteps OnProbeDone(std::uint32_t aAttempt, ProbeResult aResult);

  ModelCallSteps OnCallerDisconnected();
  ModelCallSteps OnDeadline();

  ModelCallState State() const { return mState; }
  std::uint32_t Attempt() const { return mAnswer.Attempt(); }
  const AnswerStream& Answer() const { return mAnswer; }
  StepFailure LastFailure() const { return mLastFailure; }
  /** Step that was in progress when the request ended. */
  ModelCallState FinalState() const { return mFinalState; }
  /**
   * Attempts for which endpoints may still have memory allocated. After the end
   * of the request each one must be cancelled until its endpoint confirms.
   */
  const std::set<EndpointAttempt>& UnreleasedAttempts() const
  {
    return mUnreleased;
  }

private:
  bool IsCurrent(std::uint32_t aAttempt, ModelCallState aState) const;
  ModelCallSteps Finish(ModelCallResult aResult);
  /** Ends the step and reports its failure to the policy. */
  ModelCallSteps FailStep(FailureKind aKind);
  /** Repeats the decode call from the next token. */
  ModelCallSteps ResumeDecode();

  ModelCallState mState = ModelCallState::Waiting;
  ModelCallState mFinalState = ModelCallState::Waiting;
  AnswerStream mAnswer;
  /** Endpoint of the current step. */
  std::string mEndpoint;
  /** Endpoint from which a transfer moves the KV cache. */
  std::string mTransferSource;
  /** Name of the KV cache at its endpoint. */
  std::string mHandle;
  /** Step during which the probe became necessary. */
  ModelCallState mStateBeforeProbe = ModelCallState::Waiting;
  StepFailure mLastFailure = StepFailure::Refused;
  std::set<EndpointAttempt> mUnreleased;
  bool mHasFirstToken = false;
  /** Consecutive resumes that produced no token. Its limit ends the attempt at
   * an endpoint that never sends one. */
  std::uint32_t mResumesWithoutToken = 0;
  bool mRan = false;
};

} // namespace bulrushfold

#endif
