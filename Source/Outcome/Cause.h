#ifndef BULRUSHFOLD_OUTCOME_CAUSE_H
#define BULRUSHFOLD_OUTCOME_CAUSE_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

#include "Outcome/Hop.h"

namespace bulrushfold {

/**
 * Result of a request as it is recorded. The numbers are part of the protocol
 * between daemons.
 */
enum class OutcomeStatus
{
  /** The complete answer was delivered within the latency targets. */
  Served = 0,
  /** The complete answer was delivered, but missed a latency target. */
  Late = 1,
  /** The request was refused and has certainly not been executed. */
  Refused = 2,
  /** The answer is an error or was interrupted. */
  Failed = 3,
  /** The request may or may not have been executed. */
  Unknown = 4,
  /** The caller disconnected before the answer was complete. */
  Cancelled = 5,
  /** The entry daemon died while the request was in progress. */
  Lost = 6,
};

constexpr std::size_t kOutcomeStatusCount = 7;

/**
 * Primary reason for the outcome of a request. The names are also the values
 * of "code" in error answers to callers. The numbers are part of the protocol
 * between daemons, so new causes are added at the end. CauseInfo explains each
 * cause.
 */
enum class Cause
{
  ServedInTime = 0,
  Queueing = 1,
  SlowReservation = 2,
  SlowPrefill = 3,
  SlowTransfer = 4,
  StalledTransfer = 5,
  SlowDecode = 6,
  SlowService = 7,
  SlowStore = 8,
  SlowPeer = 9,
  SlowCaller = 10,
  DaemonPaused = 11,
  Retry = 12,
  EndpointRefused = 13,
  KvEvicted = 14,
  EndpointDied = 15,
  EndpointTimedOut = 16,
  EndpointError = 17,
  NoCapacity = 18,
  CircuitOpen = 19,
  RateLimit = 20,
  ConcurrencyLimit = 21,
  StreamLimit = 22,
  RetryBudgetSpent = 23,
  DeadlinePassed = 24,
  UnknownModel = 25,
  UnknownService = 26,
  ModelForbidden = 27,
  BadToken = 28,
  BadRequest = 29,
  BadIdempotencyKey = 30,
  KeyReused = 31,
  KeyTooOld = 32,
  TooLarge = 33,
  CallerDisconnected = 34,
  StoreDown = 35,
  BookingQueueFull = 36,
  BookingUnknown = 37,
  CrashSuspect = 38,
  Draining = 39,
  NotReady = 40,
  DaemonDied = 41,
  InternalError = 42,
};

constexpr std::size_t kCauseCount = 43;

/** Name and defaults of a cause, with the texts shown to operators. */
struct CauseInfo
{
  Cause mCause = Cause::InternalError;
  std::string_view mName;
  /** Status that a request with this cause usually has. */
  OutcomeStatus mUsualStatus = OutcomeStatus::Failed;
  /** Hop that is reported when the timeline does not point to another one. */
  Hop mUsualHop = Hop::Admission;
  std::string_view mExplanation;
  std::string_view mSuggestedAction;
};

/** Returns the table of all causes, ordered by number. */
const std::array<CauseInfo, kCauseCount>& CauseInfos();

/** Returns the table entry of aCause. */
const CauseInfo& InfoOf(Cause aCause);

/** Returns the name of aCause in records, metrics and error answers. */
std::string_view CauseName(Cause aCause);

/** Returns the cause named aName; empty when no cause has this name. */
std::optional<Cause> FindCause(std::string_view aName);

/** Returns the cause with number aNumber; empty for an unknown number. */
std::optional<Cause> CauseOfNumber(int aNumber);

std::string_view OutcomeStatusName(OutcomeStatus aStatus);
std::optional<OutcomeStatus> FindOutcomeStatus(std::string_view aName);
std::optional<OutcomeStatus> OutcomeStatusOfNumber(int aNumber);

} // namespace bulrushfold

#endif
