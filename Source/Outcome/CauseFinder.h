#ifndef BULRUSHFOLD_OUTCOME_CAUSEFINDER_H
#define BULRUSHFOLD_OUTCOME_CAUSEFINDER_H

#include <optional>

#include "Outcome/OutcomeRecord.h"
#include "Outcome/RequestTimeline.h"

namespace bulrushfold {

/** Latency targets; an answer that misses one counts as late. */
struct OutcomeTargets
{
  /** Longest time until the first token, see Preset::mFirstTokenTarget. */
  Duration mFirstToken = std::chrono::milliseconds(900);
  /**
   * Longest mean time for each token of the answer, see Preset::mTokenTarget.
   */
  Duration mToken = std::chrono::milliseconds(40);
  /** Longest time until the answer of a plain service is complete. */
  Duration mService = std::chrono::seconds(5);
};

/**
 * Derives the primary cause of a finished request, and the hop at which the
 * request was delayed or ended. Each request has exactly one cause. The
 * costliest fault is the one with the most lost time; the reported cause is
 * the one that the daemon passed to RequestTimeline::End. By the ending of the
 * request:
 *
 * - Refused: the reported cause. If that is DeadlinePassed, the ending is
 *   treated as DeadlinePassed.
 * - Complete: ServedInTime, or the cause of the delay.
 * - DeadlinePassed: the cause of the delay if the request was already late,
 *   otherwise the costliest fault, otherwise DeadlinePassed.
 * - CallerDisconnected: the cause of the delay if the request was already late,
 *   otherwise CallerDisconnected.
 * - Failed, Unknown: the reported cause, otherwise the costliest fault,
 *   otherwise InternalError or BookingUnknown.
 *
 * The hop and endpoint of a reported cause are those of the costliest fault
 * with the same cause. BookingUnknown, InternalError and RetryBudgetSpent are
 * only consequences, so the costliest fault replaces them if there is one.
 *
 * The cause of a delay is the costliest fault without which the request would
 * have been in time. If no single fault explains the delay, the cause is the
 * fault that lost the most time or the hop that exceeded its expected time by
 * the most, whichever is longer. Only the late phases of the request are
 * considered: before or after the first token.
 */
class CauseFinder
{
public:
  explicit CauseFinder(OutcomeTargets aTargets)
    : mTargets(aTargets)
  {
  }

  /** Returns the outcome record of a timeline that has ended. */
  OutcomeRecord MakeRecord(const RequestTimeline& aTimeline) const;

private:
  OutcomeTargets mTargets;
};

} // namespace bulrushfold

#endif
