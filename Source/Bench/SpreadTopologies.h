#ifndef BULRUSHFOLD_BENCH_SPREADTOPOLOGIES_H
#define BULRUSHFOLD_BENCH_SPREADTOPOLOGIES_H

#include <cstddef>

#include "Base/Random.h"

namespace bulrushfold {

/** Topologies for sending an update to all daemons, without anti-entropy. */
enum class SpreadTopology
{
  Rings,
  Gossip,
  Tree,
};

/** Results of one topology over many updates. */
struct TopologyFigures
{
  /** Mean number of daemons that an update did not reach. */
  double mMissed = 0;
  double mP99Seconds = 0;
  double mMessagesPerDaemon = 0;
};

/** Sends aUpdates updates to aDaemons daemons. Each forwards an update to
 * aDegree others; 5% of the messages are lost and a hop takes 40 ms. */
TopologyFigures MeasureTopology(SpreadTopology aTopology,
                                std::size_t aDaemons,
                                std::size_t aDegree,
                                int aUpdates,
                                Random& aRandom);

} // namespace bulrushfold

#endif
