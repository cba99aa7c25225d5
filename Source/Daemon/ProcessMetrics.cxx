#include "Daemon/ProcessMetrics.h"

namespace bulrushfold {

namespace {

template<typename Number>
void
Set(Metrics& aMetrics, const char* aName, const char* aHelp, Number aValue)
{
  aMetrics.GetGauge({ aName, aHelp, {} }).Set(static_cast<double>(aValue));
}

} // namespace

void
UpdateGauges(Metrics& aMetrics, const DaemonGauges& aValues)
{
  const PeerStatistics& peers = aValues.mPeers;
  Set(aMetrics,
      "bulrushfold_peer_sent_bytes",
      "Bytes sent to other daemons since the start.",
      peers.mBytesSent);
  Set(aMetrics,
      "bulrushfold_peer_received_bytes",
      "Bytes received from other daemons since the start.",
      peers.mBytesReceived);
  Set(aMetrics,
      "bulrushfold_peer_frames_sent",
      "Frames sent to other daemons since the start.",
      peers.mFramesSent);
  Set(aMetrics,
      "bulrushfold_peer_frames_refused",
      "Frames refused as malformed, unauthenticated or too large.",
      peers.mFramesRefused);
  Set(aMetrics,
      "bulrushfold_peer_frames_dropped",
      "Frames not sent because a connection could not take more.",
      peers.mFramesDropped);
  Set(aMetrics,
      "bulrushfold_store_reads",
      "Reads of the object API since the start.",
      aValues.mStore.mReads);
  Set(aMetrics,
      "bulrushfold_store_writes",
      "Writes to the object API since the start.",
      aValues.mStore.mWrites);
  Set(aMetrics,
      "bulrushfold_store_watches",
      "Watches of the object API begun since the start.",
      aValues.mStore.mWatches);
  Set(aMetrics,
      "bulrushfold_store_failures",
      "Calls of the object API without an answer.",
      aValues.mStore.mFailures);
  Set(aMetrics,
      "bulrushfold_requests_in_progress",
      "Requests in progress.",
      aValues.mInProgress);
  Set(aMetrics,
      "bulrushfold_requests_queued",
      "Model requests that wait for capacity.",
      aValues.mQueued);
  Set(aMetrics,
      "bulrushfold_bookings_waiting",
      "Non-idempotent calls that wait for the store.",
      aValues.mBookingsWaiting);
  Set(aMetrics,
      "bulrushfold_cancels_pending",
      "Cancels that their engine has not confirmed.",
      aValues.mCancelsPending);
  Set(aMetrics,
      "bulrushfold_live_daemons",
      "Daemons that this daemon considers live, with itself.",
      aValues.mLiveDaemons);
  Set(aMetrics,
      "bulrushfold_ready",
      "1 when this daemon takes new work.",
      aValues.mIsReady ? 1 : 0);
}

} // namespace bulrushfold
