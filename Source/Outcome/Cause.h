#ifndef BULRUSHFOLD_OUTCOME_CAUSE_H
#define BULRUSHFOLD_OUTCOME_CAUSE_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

#include "Outcome/Hop.h"

namespace bulrushfold {

/** How a request ended. The numbers are part of the protocol. */
enum class OutcomeStatus
{
  /** The whole answer was delivered within its targets. */
  Served = 0,
  /** The whole answer was delivered, later than its targets. */
  Late = 1,
  /** Refused; it was certainly not run. */
  Refused = 2,
  /** The answer is an error or broke off. */
  Failed = 3,
  /** The request may or may not have been executed. */
  Unknown = 4,
  /** The caller left first. */
  Cancelled = 5,
  /** The entry daemon died with the request. */
  Lost = 6,
};

constexpr std::size_t kOutcomeStatusCount = 7;

/**
 * Primary reason of a request's outcome. The names are also the values of
 * "code" in error answers to callers. The numbers are part of the protocol;
 * new causes are added at the end. CauseInfo explains each.
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

/** What operators are told about a cause. */
struct CauseInfo
{
  Cause mCause = Cause::InternalError;
  std::string_view mName;
  /** Status that a request usually has with this cause. */
  OutcomeStatus mUsualStatus = OutcomeStatus::Failed;
  /** Hop that is named when the timeline does not show another one. */
  Hop mUsualHop = Hop::Admission;
  std::string_view mExplanation;
  std::string_view mSuggestedAction;
};

/** All causes in the order of their numbers. */
const std::array<CauseInfo, kCauseCount>& CauseInfos();

/** The entry of aCause. */
const CauseInfo& InfoOf(Cause aCause);

/** Name of aCause in records, metrics and error answers. */
std::string_view CauseName(Cause aCause);

/** Cause named aName; empty when there is none. */
std::optional<Cause> FindCause(std::string_view aName);

/** Cause with number aNumber; empty when there is none. */
std::optional<Cause> CauseOfNumber(int aNumber);

std::string_view OutcomeStatusName(OutcomeStatus aStatus);
std::optional<OutcomeStatus> FindOutcomeStatus(std::string_view aName);
std::optional<OutcomeStatus> OutcomeStatusOfNumber(int aNumber);

} // namespace bulrushfold

#endif
