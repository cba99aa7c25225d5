#ifndef BULRUSHFOLD_ROUTING_STREAMADMISSION_H
#define BULRUSHFOLD_ROUTING_STREAMADMISSION_H

#include <cstddef>
#include <deque>

#include "Base/Clock.h"

namespace bulrushfold {

/**
 * Decides on arrival whether a stream may wait for engines. A stream that
 * cannot begin in time is refused at once, with a time after which to retry,
 * instead of waiting and being refused later. A retried stream waits in any
 * case, because callers retry only once.
 */
class StreamAdmission
{
public:
  /** aStart: start of the process. */
  explicit StreamAdmission(Instant aStart)
    : mStart(aStart)
  {
  }

  void OnPlaced(Instant aNow);
  /**
   * True if the stream may wait. aWaiting: streams of this daemon that wait and
   * can still begin in time. aTimeLeft: time until the stream must be placed to
   * begin in time.
   */
  bool Admits(std::size_t aWaiting, Duration aTimeLeft, Instant aNow);
  /** Expected time to place aWaiting streams at the present rate. */
  Duration ExpectedWait(std::size_t aWaiting, Instant aNow);

private:
  void Expire(Instant aNow);

  Instant mStart;
  /** Times of the recent placements, the oldest first. */
  std::deque<Instant> mPlacements;
};

} // namespace bulrushfold

#endif
