#ifndef BULRUSHFOLD_BENCH_POLICYROUTER_H
#define BULRUSHFOLD_BENCH_POLICYROUTER_H

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/Random.h"
#include "Bench/BenchSimulation.h"
#include "Policy/EndpointOwner.h"
#include "Policy/RoutingPolicy.h"

namespace bulrushfold {

/** Six daemons with the routing policy of this project. Each endpoint has an
 * owner among them. */
class PolicyRouter : public BenchRouter
{
public:
  /** Without aHasOwners, each daemon decides alone, without reservations. */
  PolicyRouter(BenchSimulation& aSimulation,
               bool aHasOwners,
               std::uint64_t aSeed);

  void OnArrival(std::size_t aDaemon, const Arrival& aArrival) override;
  void OnCallerDisconnected(std::size_t aDaemon,
                            const std::string& aRequest) override;
  void OnLoadReport(std::size_t aDaemon,
                    const std::string& aEndpoint,
                    const LoadReport& aReport) override;
  void OnCacheEvents(std::size_t aDaemon,
                     const std::string& aEndpoint,
                     const std::vector<CacheEvent>& aEvents) override;

  /** Number of decodes that an engine refused because it had no free slot. */
  std::uint64_t SlotRefusals() const { return mSlotRefusals; }

private:
  struct Daemon
  {
    explicit Daemon(std::uint64_t aSeed);
    Random mRandom;
    RoutingPolicy mPolicy;
    EndpointOwner mOwner;
  };

  Preset MakePreset() const;
  std::size_t OwnerOf(const std::string& aEndpoint) const;
  /** Runs aHook after the delay of a message from aFrom to aTo. */
  void Send(std::size_t aFrom, std::size_t aTo, EventQueue::Hook aHook);
  void Tick(std::size_t aDaemon);
  void Execute(std::size_t aDaemon, const Actions& aActions);
  void Execute(std::size_t aDaemon, const RejectAction& aAction);
  void Execute(std::size_t aDaemon, const QueueAction& aAction);
  void Execute(std::size_t aDaemon, const ReserveAction& aAction);
  void Execute(std::size_t aDaemon, const ReleaseAction& aAction);
  void Execute(std::size_t aDaemon, const ClaimAction& aAction);
  void Execute(std::size_t aDaemon, const StartPrefillAction& aAction);
  void Execute(std::size_t aDaemon, const StartTransferAction& aAction);
  void Execute(std::size_t aDaemon, const StartDecodeAction& aAction);
  void Execute(std::size_t aDaemon, const CancelAction& aAction);
  EngineWork WorkOf(const std::string& aRequest, std::uint32_t aAttempt) const;
  FakeEngine::FailureHook MakeFailureHook(std::size_t aDaemon,
                                          const std::string& aRequest,
                                          std::uint32_t aAttempt);
  /** Runs aHook after the network delay and executes the actions it returns. */
  void Deliver(std::size_t aDaemon, std::function<Actions(RoutingPolicy&)>);

  BenchSimulation& mSimulation;
  bool mHasOwners;
  std::vector<std::unique_ptr<Daemon>> mDaemons;
  std::unordered_map<std::string, EngineWork> mWorks;
  std::uint64_t mSlotRefusals = 0;
};

} // namespace bulrushfold

#endif
