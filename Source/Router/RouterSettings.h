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
  /** Address at which the load balancer checks whether the daemon is ready. */
  SocketAddress mReadinessAddress;
  SocketAddress mPeerAddress;
  SocketAddress mStoreAddress;
  /** Metrics are not served when this is empty. */
  std::optional<SocketAddress> mMetricsAddress;
  /** Keys of the object store. */
  std::string mConfigPrefix;
  std::string mConfigKey;
  std::string mEndpointPrefix;
  /** Prefix of the daemon registry: one object for each daemon, and the key
   * that signs the messages between them. */
  std::string mDaemonPrefix;
  /** Prefix of the leases, one for each service: the holder may order the
   * engines of the service to change their role. */
  std::string mOrderPrefix;
  /** Time after which a change of the configuration must be in force. */
  Duration mConfigTime = std::chrono::seconds(3);
  /** Maximum time that an engine needs to change its role. */
  Duration mRoleChangeTime = std::chrono::seconds(12);
  /** Time in which an endpoint that is up has written its registry entry again,
   * and the entry of one that is gone is removed. */
  Duration mEntryRewriteTime = std::chrono::seconds(5);
  /** Minimum time between the orders of two daemons to one engine. */
  Duration mOrderInterval = std::chrono::seconds(3);
  std::size_t mMaxDescriptors = 1024;
  /** Memory that the process may use, in bytes. */
  std::size_t mMaxMemory = 256 * 1024 * 1024;
  /** Processor cores that the daemon may use; the larger daemons of a large
   * fleet place the requests of the others. */
  double mCapacity = 1;
  RetryLimits mRetryLimits;
  /** Units by which a workspace may exceed its quota in any window. */
  double mQuotaSlack = 0;
  /** Time for which missing endpoint entries are kept after a store outage. */
  Duration mEndpointGrace = std::chrono::seconds(2);
  /** Time from the stop signal until the process is killed. */
  Duration mStopTimeout = std::chrono::seconds(8);
};

} // namespace bulrushfold

#endif
