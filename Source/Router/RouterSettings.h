#ifndef BULRUSHFOLD_ROUTER_ROUTERSETTINGS_H
#define BULRUSHFOLD_ROUTER_ROUTERSETTINGS_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "Base/Clock.h"
#include "Routing/SharedRetryBudget.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** Settings of one router process. */
struct RouterSettings
{
  /** Name of the VM. */
  std::string mName;
  std::string mFailureDomain;
  SocketAddress mCallerAddress;
  /** Where the balancer asks whether the daemon takes new connections. */
  SocketAddress mReadinessAddress;
  SocketAddress mPeerAddress;
  SocketAddress mStoreAddress;
  /** Not served when empty. */
  std::optional<SocketAddress> mMetricsAddress;
  /** Keys of the object store. */
  std::string mConfigPrefix;
  std::string mConfigKey;
  std::string mEndpointPrefix;
  /** Objects of this product: one for each daemon. */
  std::string mDaemonPrefix;
  /** Objects of this product: the holder of the orders of each service. */
  std::string mOrderPrefix;
  /** Longest time in which an engine changes its role. */
  Duration mRoleChangeTime = std::chrono::seconds(12);
  /** Least time between orders of two daemons to one engine. */
  Duration mOrderInterval = std::chrono::seconds(3);
  std::size_t mMaxDescriptors = 1024;
  RetryLimits mRetryLimits;
  /** Time after an outage of the store for which missing entries are kept. */
  Duration mEndpointGrace = std::chrono::seconds(2);
  /** Time from the stop signal until the process is killed. */
  Duration mStopTimeout = std::chrono::seconds(8);
};

} // namespace bulrushfold

#endif
