#ifndef BULRUSHFOLD_DAEMON_LIMITCONTROLLER_H
#define BULRUSHFOLD_DAEMON_LIMITCONTROLLER_H

#include <map>
#include <string>

#include "Base/Clock.h"
#include "Cluster/Configuration.h"
#include "Daemon/ClusterController.h"
#include "Daemon/FilterChain.h"
#include "Net/EventLoop.h"
#include "Net/PeerTransport.h"
#include "Serving/WorkspaceLimiter.h"

namespace bulrushfold {

/** Exchanges demand and leases of workspace limits with their owners. */
class LimitController
{
public:
  LimitController(EventLoop& aLoop,
                  const Clock& aClock,
                  PeerTransport& aTransport,
                  ClusterController& aCluster,
                  const Configuration& aConfiguration);

  void Start();
  LimitVerdict Begin(const Workspace& aWorkspace);
  void End(const std::string& aWorkspace) { mLimiter.End(aWorkspace); }

private:
  void HandleDemand();
  void ReportDemand();
  void Ask(const LimitDemand& aDemand);
  LimitLease Grant(const std::string& aDaemon, const LimitDemand& aDemand);

  EventLoop& mLoop;
  const Clock& mClock;
  PeerTransport& mTransport;
  ClusterController& mCluster;
  const Configuration& mConfiguration;
  WorkspaceLimiter mLimiter;
  /** Allocators of the workspaces that this daemon owns. */
  std::map<std::string, LimitAllocator> mAllocators;
  EventHandle mTimer;
};

/** Holds each workspace to its limits. */
class LimitFilter : public Filter
{
public:
  explicit LimitFilter(LimitController& aController)
    : mController(aController)
  {
  }
  void Handle(const RequestPointer& aRequest, const Next& aNext) override;

private:
  LimitController& mController;
};

} // namespace bulrushfold

#endif
