#ifndef BULRUSHFOLD_DAEMON_ORPHANEDALLOCATIONCONTROLLER_H
#define BULRUSHFOLD_DAEMON_ORPHANEDALLOCATIONCONTROLLER_H

#include <map>
#include <string>

#include "Base/Clock.h"
#include "Cluster/Configuration.h"
#include "Cluster/EndpointCancels.h"
#include "Daemon/CancelController.h"
#include "Daemon/ClusterController.h"
#include "Daemon/EngineClient.h"
#include "Daemon/OwnerController.h"
#include "Net/EventLoop.h"

namespace bulrushfold {

/**
 * Frees engine memory that is allocated for dead daemons: the owner of each
 * engine lists the allocations of the engine and cancels those of dead daemon
 * incarnations.
 */
class OrphanedAllocationController
{
public:
  OrphanedAllocationController(EventLoop& aLoop,
                               const Clock& aClock,
                               EngineClient& aEngines,
                               CancelController& aCancels,
                               ClusterController& aCluster,
                               const OwnerController& aOwners,
                               const Configuration& aConfiguration);

  void Start();

private:
  void Sweep();
  void HandleAllocations(
    const std::string& aEndpoint,
    const StepResult<std::vector<EngineAllocation>>& aResult);

  EventLoop& mLoop;
  const Clock& mClock;
  EngineClient& mEngines;
  CancelController& mCancels;
  ClusterController& mCluster;
  const OwnerController& mOwners;
  const Configuration& mConfiguration;
  EndpointCancels mDecisions;
  std::map<std::string, EngineClient::Call> mCalls;
  EventHandle mTimer;
};

} // namespace bulrushfold

#endif
