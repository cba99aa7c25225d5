#ifndef BULRUSHFOLD_ROUTER_ROLECONTROLLER_H
#define BULRUSHFOLD_ROUTER_ROLECONTROLLER_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Platform/ObjectStore.h"
#include "Router/EndpointProtocol.h"
#include "Router/RouterSettings.h"
#include "Routing/OrderLease.h"
#include "Routing/RoleBalancer.h"
#include "Routing/RouteTable.h"
#include "Routing/StreamScheduler.h"

namespace bulrushfold {

/**
 * Orders engines to change their role. One daemon acts for a service at a
 * time: the one with the first name among the live daemons, and only under a
 * lease in the store, whose version is the fencing number of its orders. The
 * lease names the VM, so that a restarted daemon need not wait for the lease
 * of the process before it. An order is sent once: whether it was accepted
 * shows in the registry.
 */
class RoleController
{
public:
  using TableSource = std::function<std::shared_ptr<const RouteTable>()>;

  struct Hooks
  {
    TableSource mTable;
    /** True while no live daemon has a lower name. */
    std::function<bool()> mIsFirst;
    /** The engine changes its role and takes no new work meanwhile. */
    std::function<void(const std::string& aEndpoint, const RoleOrder& aOrder)>
      mOnOrdered;
  };

  RoleController(EventLoop& aLoop,
                 const Clock& aClock,
                 ObjectStore& aStore,
                 HttpClient& aClient,
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
  /** The change to make in aService, if any. */
  void Consider(const std::string& aService, const EngineProfile& aProfile);
  /** Drops the wanted change if it is not worth it any more. */
  void Reconsider(const EngineProfile& aProfile);
  void Drop(std::string_view aReason);
  /** Keeps new work away from the engine until its runs are over. */
  void SetAside();
  void RunLease(bool aIsNeeded);
  void Do(const LeaseStep& aStep);
  /** Reads the engine's state, then sends the order. */
  void BeginOrder();
  void HandleState(const HttpCallReply& aReply);
  void SendOrder(std::uint64_t aOrdersAccepted);
  void HandleOrder(const HttpCallReply& aReply);
  void EndOrder(std::string_view aResult);
  std::string LeaseKey() const;

  EventLoop& mLoop;
  const Clock& mClock;
  ObjectStore& mStore;
  HttpClient& mClient;
  const EndpointProtocol& mProtocol;
  EndpointDirectory& mDirectory;
  RoleBalancer mBalancer;
  const StreamScheduler& mScheduler;
  const RouterSettings& mSettings;
  Hooks mHooks;
  OrderLease mLease;
  /** Change that waits for the lease. */
  std::optional<RoleChange> mWanted;
  std::string mWantedService;
  /** Set while the engine is set aside; its runs must be over by then. */
  std::optional<Instant> mDrainUntil;
  std::unique_ptr<HttpCall> mCall;
  EventHandle mTimer;
  Instant mLastTick;
};

} // namespace bulrushfold

#endif
