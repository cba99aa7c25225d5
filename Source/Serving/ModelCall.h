#ifndef BULRUSHFOLD_SERVING_MODELCALL_H
#define BULRUSHFOLD_SERVING_MODELCALL_H

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Base/Clock.h"
#include "Serving/AnswerStream.h"

namespace bulrushfold {

/** Step of a model request. */
enum class ModelCallState
{
  Selecting,
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
  /** No endpoint could take it within its deadline. */
  NoCapacity,
  DeadlineExceeded,
  /** Every allowed attempt failed. */
  EndpointsFailed,
  /** The endpoint refused the request itself. */
  Rejected,
  CallerGone,
};

/** Why a step at an endpoint failed. */
enum class StepFailure
{
  /** Refused before any work; another endpoint may take it. */
  Refused,
  /** No connection to the endpoint. */
  Unreachable,
  /** The connection broke during the step. */
  ConnectionLost,
  /** No byte within the silence bound. */
  Silent,
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
std::string_view ModelCallResultName(ModelCallResult aResult);
std::string_view StepFailureName(StepFailure aFailure);

/** The endpoints of one attempt; equal when one engine does both. */
struct EndpointPair
{
  std::string mPrefill;
  std::string mDecode;
};

/** Asks for a pair of endpoints, without those in mExcluded. */
struct SelectPairAction
{
  std::uint32_t mAttempt = 0;
  std::vector<std::string> mExcluded;
};
/** Starts a prefill; mOffset tokens with text mGenerated were delivered. */
struct PrefillAction
{
  std::uint32_t mAttempt = 0;
  std::string mEndpoint;
  std::uint64_t mOffset = 0;
  std::string mGenerated;
};
struct TransferAction
{
  std::uint32_t mAttempt = 0;
  EndpointPair mPair;
  std::string mHandle;
};
/** Starts or resumes a decode stream at mOffset. */
struct DecodeAction
{
  std::uint32_t mAttempt = 0;
  std::string mEndpoint;
  std::string mHandle;
  std::uint64_t mOffset = 0;
};
/** Asks the endpoint on a new connection whether the stream still exists. */
struct ProbeAction
{
  std::uint32_t mAttempt = 0;
  std::string mEndpoint;
};
/** Frees what mAttempt holds at mEndpoint; repeated until confirmed. */
struct CancelAction
{
  std::uint32_t mAttempt = 0;
  std::string mEndpoint;
};
/** Passes one token on to the caller. */
struct DeliverAction
{
  std::uint64_t mOffset = 0;
  std::string mText;
};
/** Reports that mEndpoint died while it ran this request. */
struct CrashAction
{
  std::string mEndpoint;
};
/** Ends the request. Exactly one is issued. */
struct FinishAction
{
  ModelCallResult mResult = ModelCallResult::Complete;
  /** True when an endpoint may have done work for the request. */
  bool mRan = false;
  std::uint64_t mTokens = 0;
};

using ModelCallAction = std::variant<SelectPairAction,
                                     PrefillAction,
                                     TransferAction,
                                     DecodeAction,
                                     ProbeAction,
                                     CancelAction,
                                     DeliverAction,
                                     CrashAction,
                                     FinishAction>;
using ModelCallActions = std::vector<ModelCallAction>;

/** Bounds of a model request. */
struct ModelCallLimits
{
  std::uint32_t mMaxAttempts = 4;
  Instant mDeadline;
};

/**
 * Life of one model request: pair of endpoints, prefill, transfer, decode;
 * probe and resume after silence, a new attempt after a failure, and
 * cancellation of everything that is still held anywhere. The owner passes
 * events in and carries out the returned actions in order. Events of replaced
 * attempts are ignored.
 */
class ModelCall
{
public:
  explicit ModelCall(ModelCallLimits aLimits);

  ModelCallActions Start();
  /** A pair was selected and reserved for the attempt. */
  ModelCallActions OnPair(std::uint32_t aAttempt, const EndpointPair& aPair);
  /** No pair is available, and waiting longer makes no sense. */
  ModelCallActions OnNoPair(std::uint32_t aAttempt);
  ModelCallActions OnPrefillDone(std::uint32_t aAttempt,
                                 const std::string& aHandle);
  ModelCallActions OnTransferDone(std::uint32_t aAttempt,
                                  const std::string& aHandle);
  ModelCallActions OnToken(std::uint32_t aAttempt,
                           std::uint64_t aOffset,
                           const std::string& aText);
  /** The engine says that the answer ends after aTokens tokens. */
  ModelCallActions OnAnswerEnd(std::uint32_t aAttempt, std::uint64_t aTokens);
  /** The current step failed. */
  ModelCallActions OnFailure(std::uint32_t aAttempt, StepFailure aFailure);
  ModelCallActions OnProbeDone(std::uint32_t aAttempt, ProbeResult aResult);
  ModelCallActions OnCallerGone();
  ModelCallActions OnDeadline();

  ModelCallState State() const { return mState; }
  std::uint32_t Attempt() const { return mAnswer.Attempt(); }
  const AnswerStream& Answer() const { return mAnswer; }
  const EndpointPair& Pair() const { return mPair; }
  StepFailure LastFailure() const { return mLastFailure; }
  /** Step in which the request was when it ended. */
  ModelCallState LastStep() const { return mLastStep; }

private:
  bool IsCurrent(std::uint32_t aAttempt, ModelCallState aState) const;
  /** Starts the next attempt, or ends the request when none is allowed. */
  ModelCallActions Retry(bool aExclude);
  ModelCallActions Finish(ModelCallResult aResult);
  void CancelAttempt(ModelCallActions& aActions) const;
  std::string CurrentEndpoint() const;
  ModelCallActions Resume();

  ModelCallLimits mLimits;
  ModelCallState mState = ModelCallState::Selecting;
  ModelCallState mLastStep = ModelCallState::Selecting;
  AnswerStream mAnswer;
  EndpointPair mPair;
  std::string mHandle;
  std::vector<std::string> mExcluded;
  StepFailure mLastFailure = StepFailure::Refused;
  /** Resumes without a token in between; bounds a loop with a bad endpoint. */
  std::uint32_t mFruitlessResumes = 0;
  bool mRan = false;
};

} // namespace bulrushfold

#endif
