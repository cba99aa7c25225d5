#ifndef BULRUSHFOLD_ROUTER_PEERSTATUS_H
#define BULRUSHFOLD_ROUTER_PEERSTATUS_H

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Base/Clock.h"
#include "Routing/CachedPrompts.h"
#include "Routing/CrashGuard.h"
#include "Routing/DeferredRequests.h"
#include "Routing/EndpointDirectory.h"
#include "Routing/EndpointLoads.h"
#include "Routing/SharedRetryBudget.h"
#include "Routing/StreamOrigins.h"
#include "Routing/StreamRuns.h"
#include "Routing/WorkspaceQuotas.h"
#include "Routing_types.h"
#include "Settings/Settings.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** Contents of a status message to the peers. */
struct PeerStatus
{
  std::vector<StreamRun> mRuns;
  EndpointWorks mWorks;
  RetryUses mRetries;
  CrashReport mCrashes;
  std::vector<DeferredRequest> mDeferredRequests;
  std::vector<CachedPrompt> mCachedPrompts;
  QuotaUses mQuotaUses;
  /** Versions that began streams of the sender; not all of them. */
  std::vector<StreamOrigin> mOrigins;
  /** Role orders in progress, by engine. */
  std::map<std::string, RoleOrder> mRoleOrders;
  /** The daemon ends immediately after this message. */
  bool mIsStopping = false;
  SocketAddress mAddress;
};

wire::RoutingStatus ToWire(const PeerStatus& aStatus, Instant aNow);
/** InvalidArgument when a field of aMessage is not valid. */
absl::StatusOr<PeerStatus> FromWire(const wire::RoutingStatus& aMessage,
                                    Instant aNow);

/** Encodes aStatus as a message. Times are encoded as ages, because the clocks
 * of the daemons differ. */
std::string EncodePeerStatus(const PeerStatus& aStatus, Instant aNow);

/** InvalidArgument when aPayload is not a valid status message. */
absl::StatusOr<PeerStatus> DecodePeerStatus(std::string_view aPayload,
                                            Instant aNow);

} // namespace bulrushfold

#endif
