#ifndef BULRUSHFOLD_BENCH_SPREADSHAPES_H
#define BULRUSHFOLD_BENCH_SPREADSHAPES_H

#include <cstddef>

#include "Base/Random.h"

namespace bulrushfold {

/** Ways in which an update can reach all daemons, without repair. */
enum class SpreadShape
{
  Rings,
  Gossip,
  Tree,
};

/** Result of one shape, mean of many updates. */
struct ShapeFigures
{
  /** Daemons that an update did not reach. */
  double mMissed = 0;
  double mP99Seconds = 0;
  double mMessagesPerDaemon = 0;
};

/** Spreads aUpdates updates over aDaemons daemons, to aDegree others each, with
 * 5% loss and 40 ms a hop. */
ShapeFigures MeasureShape(SpreadShape aShape,
                          std::size_t aDaemons,
                          std::size_t aDegree,
                          int aUpdates,
                          Random& aRandom);

} // namespace bulrushfold

#endif
