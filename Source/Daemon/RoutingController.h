#ifndef BULRUSHFOLD_DAEMON_ROUTINGCONTROLLER_H
#define BULRUSHFOLD_DAEMON_ROUTINGCONTROLLER_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Cluster/Configuration.h"
#include "Daemon/CancelController.h"
#include "Daemon/ClusterController.h"
#include "Daemon/OwnerController.h"
#include "Net/EventLoop.h"
#include "Policy/RoutingPolicy.h"

namespace bulrushfold {

/** A model request that executes the policy's actions. */
class RoutedRequest
{
public:
  virtual ~RoutedRequest() = default;
  virtual void OnQueued() = 0;
  virtual void OnReserving() = 0;
  virtual void OnStartPrefill(const StartPrefillAction& aAction) = 0;
  virtual void OnStartTransfer(const StartTransferAction& aAction) = 0;
  virtual void OnStartDecode(const StartDecodeAction& aAction) = 0;
  virtual void OnCancelled(const CancelAction& aAction) = 0;
  virtual void OnRejected(const RejectAction& aAction) = 0;
};

/**
 * Connects the routing policy to requests, owners and engines: passes events to
 * RoutingPolicy and executes the actions that it returns.
 */
class RoutingController
{
public:
  RoutingController(EventLoop& aLoop,
                    const Clock& aClock,
                    Random& aRandom,
                    const Configuration& aConfiguration,
                    ClusterController& aCluster,
                    OwnerController& aOwners,
                    CancelController& aCancels,
                    std::string aOwnerId);

  void Start();
  /** Passes a request to the policy; aTarget must stay valid until
   * Unregister. */
  void Begin(const ModelRequest& aRequest, RoutedRequest& aTarget);
  /** Removes the target of a request; later actions still reach engines and
   * owners. */
  void Unregister(const std::string& aRequest);
  /** Passes an event to the policy and executes the resulting actions. */
  void Notify(const std::function<Actions(RoutingPolicy&, Instant)>& aEvent);
  void OnLoadReport(const std::string& aEndpoint, const LoadReport& aReport);
  void OnCacheEvents(const std::string& aEndpoint,
                     const std::vector<CacheEvent>& aEvents);
  /** Cancels an attempt at an endpoint and repeats the cancel until the
   * endpoint confirms it. */
  void Cancel(const std::string& aRequest,
              std::uint32_t aAttempt,
              const std::string& aEndpoint);
  std::size_t WaitingCount() const { return mPolicy.WaitingCount(); }

private:
  void ExecuteActions(const Actions& aActions);
  void Execute(const RejectAction& aAction);
  void Execute(const QueueAction& aAction);
  void Execute(const ReserveAction& aAction);
  void Execute(const ReleaseAction& aAction);
  void Execute(const ClaimAction& aAction);
  void Execute(const StartPrefillAction& aAction);
  void Execute(const StartTransferAction& aAction);
  void Execute(const StartDecodeAction& aAction);
  void Execute(const CancelAction& aAction);
  RoutedRequest* Find(const std::string& aRequest) const;

  EventLoop& mLoop;
  const Clock& mClock;
  const Configuration& mConfiguration;
  ClusterController& mCluster;
  OwnerController& mOwners;
  CancelController& mCancels;
  /** "DAEMON/INCARNATION". */
  std::string mOwnerId;
  RoutingPolicy mPolicy;
  std::map<std::string, RoutedRequest*> mRequests;
  EventHandle mTimer;
};

} // namespace bulrushfold

#endif
