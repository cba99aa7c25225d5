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
#include "Routing/StreamRuns.h"
#include "Settings/Settings.h"
#include "absl/status/statusor.h"

namespace bulrushfold {

/** All that a daemon tells its peers. */
struct PeerStatus
{
  std::vector<StreamRun> mRuns;
  EndpointWorks mWorks;
  RetryUses mRetries;
  std::vector<CrashSuspect> mSuspects;
  std::vector<DeferredRequest> mTurnedAway;
  std::vector<CachedPrompt> mKeptPrompts;
  /** Engines that change their role. */
  std::map<std::string, RoleOrder> mRoleOrders;
  /** The daemon ends now. */
  bool mIsStopping = false;
  SocketAddress mAddress;
};

/** aStatus as a message; times become ages, because clocks differ. */
std::string EncodePeerStatus(const PeerStatus& aStatus, Instant aNow);

/** InvalidArgument when aPayload is no status. */
absl::StatusOr<PeerStatus> DecodePeerStatus(std::string_view aPayload,
                                            Instant aNow);

} // namespace bulrushfold

#endif
