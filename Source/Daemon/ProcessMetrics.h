#ifndef BULRUSHFOLD_DAEMON_PROCESSMETRICS_H
#define BULRUSHFOLD_DAEMON_PROCESSMETRICS_H

#include <cstddef>

#include "Net/PeerTransport.h"
#include "Outcome/Metrics.h"
#include "Platform/ObjectStore.h"

namespace bulrushfold {

/** Values of a daemon that are read when /metrics is asked for. */
struct DaemonGauges
{
  PeerStatistics mPeers;
  StoreStatistics mStore;
  std::size_t mInProgress = 0;
  std::size_t mQueued = 0;
  std::size_t mBookingsWaiting = 0;
  std::size_t mCancelsPending = 0;
  std::size_t mLiveDaemons = 0;
  bool mIsReady = false;
};

/** Sets the gauges of aMetrics to aValues. */
void UpdateGauges(Metrics& aMetrics, const DaemonGauges& aValues);

} // namespace bulrushfold

#endif
