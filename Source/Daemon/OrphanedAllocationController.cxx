#include "Daemon/OrphanedAllocationController.h"

#include "Base/Log.h"

namespace bulrushfold {

namespace {
constexpr Duration kSweepInterval = std::chrono::seconds(2);
} // namespace

OrphanedAllocationController::OrphanedAllocationController(
  EventLoop& aLoop,
  const Clock& aClock,
  EngineClient& aEngines,
  CancelController& aCancels,
  ClusterController& aCluster,
  const OwnerController& aOwners,
  const Configuration& aConfiguration)
  : mLoop(aLoop)
  , mClock(aClock)
  , mEngines(aEngines)
  , mCancels(aCancels)
  , mCluster(aCluster)
  , mOwners(aOwners)
  , mConfiguration(aConfiguration)
  , mDecisions(
      OrderTiming(),
      [this](const std::string& aDaemon, const std::string& aIncarnation) {
        return mCluster.Node().Members().FindIncarnation(
          aDaemon, aIncarnation, mClock.Now());
      })
{
}

void
OrphanedAllocationController::Start()
{
  mTimer = mLoop.Every(kSweepInterval, [this] { Sweep(); });
}

void
OrphanedAllocationController::Sweep()
{
  for (const auto& [name, endpoint] : mConfiguration.Endpoints()) {
    if (endpoint.mKind != EndpointKind::Engine || !mOwners.IsOwnedHere(name)) {
      continue;
    }
    mCalls[name] = mEngines.Allocations(
      endpoint.mAddress,
      [this,
       name = name](const StepResult<std::vector<EngineAllocation>>& aResult) {
        HandleAllocations(name, aResult);
      });
  }
}

void
OrphanedAllocationController::HandleAllocations(
  const std::string& aEndpoint,
  const StepResult<std::vector<EngineAllocation>>& aResult)
{
  const auto endpoint = mConfiguration.Endpoints().find(aEndpoint);
  if (!aResult.mIsOk || endpoint == mConfiguration.Endpoints().end()) {
    return;
  }
  std::vector<Allocation> allocations;
  for (const auto& it : aResult.mValue) {
    allocations.push_back({ it.mRequest, it.mAttempt, it.mOwner });
  }
  const AllocationResult result =
    mDecisions.OnAllocations(aEndpoint, allocations, mClock.Now());
  for (const auto& it : result.mCancels) {
    LogEvent(LogLevel::Info,
             "dead_holding_cancelled",
             { { "endpoint", aEndpoint },
               { "request", it.mRequest },
               { "owner", it.mOwner } });
    // The cancel controller repeats the cancel until the engine confirms it, so
    // it counts as confirmed here.
    mCancels.Cancel(
      endpoint->second.mAddress,
      { it.mRequest, static_cast<std::uint32_t>(it.mAttempt), it.mOwner });
    mDecisions.OnConfirmed(it);
  }
  for (const auto& it : result.mUnknown) {
    mCluster.QueryMember(it);
  }
}

} // namespace bulrushfold
