#ifndef BULRUSHFOLD_DAEMON_OWNERCONTROLLER_H
#define BULRUSHFOLD_DAEMON_OWNERCONTROLLER_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>

#include <sigc++/signal.h>

#include "Base/Clock.h"
#include "Cluster/Configuration.h"
#include "Daemon/ClusterController.h"
#include "Net/EventLoop.h"
#include "Net/PeerTransport.h"
#include "Policy/EndpointOwner.h"

namespace bulrushfold {

/**
 * Finds the owner of each engine by rendezvous hashing, acts as owner for the
 * engines of this daemon, and passes reservations to the owners of others.
 */
class OwnerController
{
public:
  using ReserveHook = std::function<void(const std::variant<Grant, Refusal>&)>;

  OwnerController(EventLoop& aLoop,
                  const Clock& aClock,
                  PeerTransport& aTransport,
                  ClusterController& aCluster,
                  const Configuration& aConfiguration);

  void Start();
  /** Asks the owner; aHook runs later, also when the owner does not answer. */
  void Reserve(const ReserveRequest& aRequest, ReserveHook aHook);
  void Release(const ReleaseAction& aRelease);
  void SendClaim(const Claim& aClaim);
  void OnLoadReport(const std::string& aEndpoint, const LoadReport& aReport);
  /** Daemon that owns aEndpoint in this daemon's view. */
  const std::string& OwnerOf(const std::string& aEndpoint) const;
  bool IsOwnedHere(const std::string& aEndpoint) const;

  /** Emitted for each engine whose owner changed. */
  sigc::signal<void(const std::string& aEndpoint)> mOwnerChanged;

private:
  void HandleReserve();
  void HandleRelease();
  void HandleClaim();
  void Refresh();
  void AcquireAll();
  std::uint64_t NextTerm();

  EventLoop& mLoop;
  const Clock& mClock;
  PeerTransport& mTransport;
  ClusterController& mCluster;
  const Configuration& mConfiguration;
  EndpointOwner mOwner;
  std::map<std::string, std::string> mOwners;
  std::uint64_t mLastTerm = 0;
  EventHandle mTimer;
};

} // namespace bulrushfold

#endif
