#ifndef BULRUSHFOLD_ROUTER_ROLECONTROLLER_H
#define BULRUSHFOLD_ROUTER_ROLECONTROLLER_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Net/EventLoop.h"
#include "Platform/ObjectStore.h"
#include "Router/EndpointClient.h"
#include "Router/EndpointProtocol.h"
#include "Router/RouterSettings.h"
#include "Routing/OrderLease.h"
#include "Routing/RoleBalancer.h"
#include "Routing/RouteTable.h"
#include "Routing/StreamScheduler.h"

namespace bulrushfold {

/**
 * Orders engines to change their role. Only one daemon at a time sends orders
 * for a service: the live daemon with the lowest name, while it holds a lease
 * in the store. The version of the lease is the fencing number of the
 * orders. The lease names the VM, so that a restarted daemon does not have to
 * wait until the lease of its previous process ends. An order is sent only
 * once; the registry shows whether the engine accepted it.
 */
class RoleController
{
public:
  using TableSource = std::function<std::shared_ptr<const RouteTable>()>;

  struct Hooks
  {
    TableSource mTable;
    /** True while no live daemon has a lower name. */
    std::function<bool()> mHasLowestName;
    /** aEndpoint is to change its role and gets no new work until then. */
    std::function<void(const std::string& aEndpoint, const RoleOrder& aOrder)>
      mOnOrdered;
  };

  RoleController(EventLoop& aLoop,
                 const Clock& aClock,
                 ObjectStore& aStore,
                 EndpointClient& aClient,
                 const EndpointProtocol& aProtocol,
                 EndpointDirectory& aDirectory,
                 RoleBalancer aBalancer,
                 const StreamScheduler& aScheduler,
                 const RouterSettings& aSettings,
                 Hooks aHooks);

  void Start();
  void Stop() { mTimer = EventHandle(); }

private:
  void Tick();
  /** Decides whether an engine of aService should change its role. */
  void ProposeChange(const std::string& aService,
                     const EngineProfile& aProfile);
  /** Drops the pending change if it is no longer worthwhile. */
  void RevalidateChange(const EngineProfile& aProfile);
  void DropChange(std::string_view aReason);
  /** Stops new work for the engine until its runs have ended. */
  void StartDrain();
  /** False from the moment at which the store is known to have come back from
   * a copy, until the lease is acquired again. */
  bool CanSendOrder();
  void AdvanceLease(bool aIsNeeded);
  void ExecuteLeaseStep(const LeaseStep& aStep);
  /** Reads the engine's state, then sends the order. */
  void StartOrder();
  void HandleState(const HttpCallReply& aReply);
  void SendOrder(std::uint64_t aOrdersAccepted);
  void HandleOrder(const HttpCallReply& aReply);
  void EndOrder(std::string_view aResult);
  std::string LeaseKey() const;

  EventLoop& mLoop;
  const Clock& mClock;
  ObjectStore& mStore;
  EndpointClient& mClient;
  const EndpointProtocol& mProtocol;
  EndpointDirectory& mDirectory;
  RoleBalancer mBalancer;
  const StreamScheduler& mScheduler;
  const RouterSettings& mSettings;
  Hooks mHooks;
  OrderLease mLease;
  /** Change that was decided and not ordered yet. */
  std::optional<RoleChange> mPendingChange;
  std::string mPendingService;
  /** Set while the engine is drained; its runs must have ended by then. */
  std::optional<Instant> mDrainDeadline;
  std::unique_ptr<HttpCall> mCall;
  EventHandle mTimer;
  Instant mLastTick;
};

} // namespace bulrushfold

#endif
