#ifndef BULRUSHFOLD_OUTCOME_OUTCOMERECORD_H
#define BULRUSHFOLD_OUTCOME_OUTCOMERECORD_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Outcome/Cause.h"
#include "Outcome/Hop.h"

namespace bulrushfold {

/** An endpoint that processed a request. */
struct EndpointUse
{
  std::string mName;
  std::string mFailureDomain;

  bool operator==(const EndpointUse& aOther) const
  {
    return mName == aOther.mName && mFailureDomain == aOther.mFailureDomain;
  }
};

/**
 * Record of a request in progress. Two replicas of the entry daemon store
 * copies, so that the request can be explained if the entry daemon dies.
 */
struct BeginRecord
{
  /** UUIDv7 from MakeRequestId. */
  std::string mRequestId;
  std::string mWorkspace;
  /** Model name, or name of the plain service. */
  std::string mTarget;
  std::string mDaemon;
  /** Incarnation of the entry daemon. */
  std::string mIncarnation;
  WallTime mStart;
};

/** The outcome of one finished request. */
struct OutcomeRecord
{
  /** UUIDv7 from MakeRequestId. */
  std::string mRequestId;
  /** 32 hexadecimal digits. */
  std::string mTraceId;
  std::string mWorkspace;
  /** Model name, or name of the plain service. */
  std::string mTarget;
  /** Endpoints in the order of their first use. */
  std::vector<EndpointUse> mEndpoints;
  /** Index in mEndpoints of the endpoint that the cause concerns. */
  std::optional<std::size_t> mBlamedIndex;
  /** Name of the entry daemon. */
  std::string mDaemon;
  WallTime mStart;
  /** Time from the start to the end. */
  Duration mTotal{};
  /** Time spent at each hop; all zero in a copy of a served request. */
  HopTimes mHopTimes{};
  /** Time from the start to the first token; empty without a token. */
  std::optional<Duration> mFirstToken;
  std::uint64_t mTokens = 0;
  /** Number of attempts. */
  std::uint64_t mAttempts = 0;
  OutcomeStatus mStatus = OutcomeStatus::Failed;
  Cause mCause = Cause::InternalError;
  /** Hop at which the request was delayed, failed or was refused. */
  Hop mHop = Hop::Admission;
  std::string mPreset;
  std::uint64_t mPresetVersion = 0;

  /** Returns the endpoint that the cause concerns; null without one. */
  const EndpointUse* BlamedEndpoint() const
  {
    return mBlamedIndex && *mBlamedIndex < mEndpoints.size()
             ? &mEndpoints[*mBlamedIndex]
             : nullptr;
  }
};

/** Formats aRecord as JSON, with explanation and suggested action. */
std::string FormatOutcome(const OutcomeRecord& aRecord);

/** Makes the end record of a request whose entry daemon died. */
OutcomeRecord MakeLostRecord(const BeginRecord& aBegin);

} // namespace bulrushfold

#endif
