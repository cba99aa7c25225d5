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

/** A model request that carries out the policy's actions. */
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
 * Connects the routing policy to requests, owners and engines. Its events are
 * those of RoutingPolicy; the resulting actions go to the requests.
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
  /** Hands a request to the policy; aTarget must stay until Forget. */
  void Begin(const ModelRequest& aRequest, RoutedRequest& aTarget);
  /** aTarget of the request is gone; later actions only reach engines. */
  void Forget(const std::string& aRequest);
  /** Passes an event to the policy and carries out its actions. */
  void Notify(const std::function<Actions(RoutingPolicy&, Instant)>& aEvent);
  void OnLoadReport(const std::string& aEndpoint, const LoadReport& aReport);
  void OnCacheEvents(const std::string& aEndpoint,
                     const std::vector<CacheEvent>& aEvents);
  /** Cancels what an endpoint may hold, until it confirms. */
  void Cancel(const std::string& aRequest,
              std::uint32_t aAttempt,
              const std::string& aEndpoint);
  std::size_t WaitingCount() const { return mPolicy.WaitingCount(); }

private:
  void Carry(const Actions& aActions);
  void Do(const RejectAction& aAction);
  void Do(const QueueAction& aAction);
  void Do(const ReserveAction& aAction);
  void Do(const ReleaseAction& aAction);
  void Do(const ClaimAction& aAction);
  void Do(const StartPrefillAction& aAction);
  void Do(const StartTransferAction& aAction);
  void Do(const StartDecodeAction& aAction);
  void Do(const CancelAction& aAction);
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
