#ifndef BULRUSHFOLD_ROUTING_STREAMADMISSION_H
#define BULRUSHFOLD_ROUTING_STREAMADMISSION_H

#include <cstddef>
#include <deque>

#include "Base/Clock.h"

namespace bulrushfold {

/**
 * Decides on arrival whether a stream may wait for engines. A stream that
 * cannot begin in time is told at once when to come back, instead of being
 * held and refused later. One that did come back waits, because its caller
 * does not come a third time.
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
   * aWaiting: streams of this daemon that wait and can still be on time.
   * aLeft: time until the stream must be placed to be on time.
   */
  bool Admits(std::size_t aWaiting, Duration aLeft, Instant aNow);
  /** Time until a stream that comes now would be placed. */
  Duration ExpectedWait(std::size_t aWaiting, Instant aNow);

private:
  void Expire(Instant aNow);

  Instant mStart;
  /** Placements of the last moments. */
  std::deque<Instant> mPlacements;
};

} // namespace bulrushfold

#endif
