#ifndef BULRUSHFOLD_OUTCOME_CAUSEFINDER_H
#define BULRUSHFOLD_OUTCOME_CAUSEFINDER_H

#include <optional>

#include "Outcome/OutcomeRecord.h"
#include "Outcome/RequestTimeline.h"

namespace bulrushfold {

/** Times after which an answer counts as late. */
struct OutcomeTargets
{
  /** Preset::mFirstTokenTarget. */
  Duration mFirstToken = std::chrono::milliseconds(900);
  /** Preset::mTokenTarget; holds for the mean over the answer. */
  Duration mToken = std::chrono::milliseconds(40);
  /** Whole answer of a plain service. */
  Duration mService = std::chrono::seconds(5);
};

/**
 * Derives the one primary cause of a finished request and the hop that spent
 * the time.
 *
 * - Refused: the cause that the daemon gave; for DeadlinePassed the timeline
 *   is examined as for a deadline.
 * - Complete: served in time, or the cause of the delay.
 * - DeadlinePassed, CallerDisconnected: the cause of the delay if the request
 * was late already; otherwise the costliest fault (deadline only); otherwise
 *   DeadlinePassed or CallerDisconnected.
 * - Failed, Unknown: the cause that the daemon gave, otherwise the costliest
 *   fault, otherwise InternalError or BookingUnknown.
 *
 * A given cause takes hop and endpoint from the costliest fault of the same
 * cause. BookingUnknown, InternalError and RetryBudgetSpent are consequences;
 * they give way to the costliest fault, if there was one.
 *
 * The cause of a delay is the costliest fault without which the request had
 * been in time. If no single fault is enough, it is the fault or hop with the
 * longest excess over its expected time. Only the part of the request that was
 * late counts: until the first token, or after it.
 */
class CauseFinder
{
public:
  explicit CauseFinder(OutcomeTargets aTargets)
    : mTargets(aTargets)
  {
  }

  /** The record of a timeline that has ended. */
  OutcomeRecord MakeRecord(const RequestTimeline& aTimeline) const;

private:
  OutcomeTargets mTargets;
};

} // namespace bulrushfold

#endif
