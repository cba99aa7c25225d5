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

/** Step of a model request. */
enum class ModelCallState
{
  /** The policy has not started an attempt. */
  Waiting,
  Prefilling,
  Transferring,
  Decoding,
  Probing,
  Finished,
};

/** How a model request ended. */
enum class ModelCallResult
{
  /** The caller has the whole answer. */
  Complete,
  /** The policy gave the request up; RejectReason says why. */
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
  /** The connection broke during the step. */
  ConnectionLost,
  /** No byte within the silence bound. */
  ReadTimeout,
  /** The transfer made no progress. */
  Stalled,
  /** The KV cache or the stream is no longer there. */
  Evicted,
  /** The endpoint will never accept this request. */
  Rejected,
};

/** What a probe on a new connection found. */
enum class ProbeResult
{
  /** No connection, or no answer within the silence bound. */
  Unreachable,
  /** The endpoint answers, but its process is a new one. */
  Restarted,
  /** The endpoint is alive and does not have the stream. */
  NoStream,
  /** The endpoint is alive and has the stream; only the connection died. */
  HasStream,
};

std::string_view ModelCallStateName(ModelCallState aState);
std::string_view StepFailureName(StepFailure aFailure);

/** Starts a prefill; mOffset tokens with text mGenerated were delivered. */
struct PrefillStep
{
  std::uint32_t mAttempt = 0;
  std::string mEndpoint;
  std::uint64_t mOffset = 0;
  std::string mGenerated;
};
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
/** Asks the endpoint on a new connection whether the stream still exists. */
struct ProbeStep
{
  std::uint32_t mAttempt = 0;
  std::string mEndpoint;
};
/** Ends the call to an engine that is in progress. */
struct AbortCallStep
{};
/** Passes one token on to the caller. */
struct DeliverStep
{
  std::uint64_t mOffset = 0;
  std::string mText;
};
/** Reports that mEndpoint died while it ran this request. */
struct CrashStep
{
  std::string mEndpoint;
};
/** The policy's events; see RoutingPolicy. */
struct PrefillDoneStep
{
  std::uint32_t mAttempt = 0;
  std::uint64_t mCachedTokens = 0;
};
struct TransferDoneStep
{
  std::uint32_t mAttempt = 0;
  double mBytes = 0;
};
struct FirstTokenStep
{
  std::uint32_t mAttempt = 0;
};
struct DecodeFinishedStep
{
  std::uint32_t mAttempt = 0;
  std::uint64_t mTokens = 0;
};
struct ReportFailureStep
{
  std::uint32_t mAttempt = 0;
  FailureKind mKind = FailureKind::Lost;
};
struct RequestCancelledStep
{};
/** Ends the request. Exactly one is issued. */
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

/** An attempt at an endpoint, for which the endpoint may hold memory. */
using HeldAttempt = std::pair<std::uint32_t, std::string>;

/**
 * Life of one model request under the routing policy: carries out the policy's
 * prefill, transfer and decode, tells silence from failure with a probe,
 * resumes a stream whose connection died, orders the tokens, and knows what is
 * still held anywhere. The owner passes events in and carries out the returned
 * steps in order. Events of former attempts are ignored.
 */
class ModelCall
{
public:
  // Actions of the policy.
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
  /** The policy gave the request up. */
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
  /** The engine says that the answer ends after aTokens tokens. */
  ModelCallSteps OnAnswerEnd(std::uint32_t aAttempt, std::uint64_t aTokens);
  ModelCallSteps OnFailure(std::uint32_t aAttempt, StepFailure aFailure);
  ModelCallSteps OnProbeDone(std::uint32_t aAttempt, ProbeResult aResult);

  ModelCallSteps OnCallerDisconnected();
  ModelCallSteps OnDeadline();

  ModelCallState State() const { return mState; }
  std::uint32_t Attempt() const { return mAnswer.Attempt(); }
  const AnswerStream& Answer() const { return mAnswer; }
  StepFailure LastFailure() const { return mLastFailure; }
  /** Step in which the request was when it ended. */
  ModelCallState FinalState() const { return mFinalState; }
  /**
   * Attempts that endpoints may still hold memory for. After the end of the
   * request each must be cancelled until its endpoint confirms it.
   */
  const std::set<HeldAttempt>& UnreleasedAttempts() const { return mHeld; }

private:
  bool IsCurrent(std::uint32_t aAttempt, ModelCallState aState) const;
  ModelCallSteps Finish(ModelCallResult aResult);
  /** Ends the step and tells the policy. */
  ModelCallSteps Fail(FailureKind aKind);
  ModelCallSteps Resume();

  ModelCallState mState = ModelCallState::Waiting;
  ModelCallState mFinalState = ModelCallState::Waiting;
  AnswerStream mAnswer;
  /** Endpoint of the current step. */
  std::string mEndpoint;
  /** Endpoint that a transfer takes the KV cache from. */
  std::string mSource;
  std::string mHandle;
  /** Step that a probe interrupted. */
  ModelCallState mProbedStep = ModelCallState::Waiting;
  StepFailure mLastFailure = StepFailure::Refused;
  std::set<HeldAttempt> mHeld;
  bool mHasFirstToken = false;
  /** Resumes without a token in between; bounds a loop with a bad endpoint. */
  std::uint32_t mFruitlessResumes = 0;
  bool mRan = false;
};

} // namespace bulrushfold

#endif
