#ifndef BULRUSHFOLD_CLUSTER_ENDPOINTCANCELS_H
#define BULRUSHFOLD_CLUSTER_ENDPOINTCANCELS_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "Base/Clock.h"
#include "Cluster/Membership.h"
#include "Routing/OrderLease.h"

namespace bulrushfold {

/** A cancel to send with POST /engine/cancel. It identifies the request and
 * attempt, so it cannot affect other work and needs no lease. */
struct EndpointCancel
{
  std::string mEndpoint;
  std::string mRequest;
  /** 0 for all attempts. */
  std::uint64_t mAttempt = 0;
  /** "DAEMON/INCARNATION" that started the work. */
  std::string mOwner;
};

/** Memory that an endpoint has allocated for an attempt, from GET
 * /engine/holdings. */
struct Allocation
{
  std::string mRequest;
  std::uint64_t mAttempt = 0;
  /** "DAEMON/INCARNATION". */
  std::string mOwner;
};

/** Actions that result from a list of allocations. */
struct AllocationResult
{
  std::vector<EndpointCancel> mCancels;
  /** Daemons of which the state of the process is unknown; they must be
   * passed to Membership::RequestRecord. */
  std::vector<std::string> mUnknown;
};

/**
 * Repeats cancels until the endpoint confirms them, and cancels work of daemon
 * processes that have ended. The work of an ended process is cancelled when the
 * process was found ended for the whole grace period. Work of a process with
 * unknown state is never cancelled.
 *
 * Events to deliver: Cancel when a caller disconnected or an attempt is no
 * longer needed; OnConfirmed after an answer of the endpoint with status 200;
 * OnEndpointReset when the endpoint restarted or was removed, which released
 * its memory; OnAllocations, at the owner of the endpoint, with each list of
 * allocations; Tick every 100 ms.
 */
class EndpointCancels
{
public:
  using IncarnationLookup =
    std::function<IncarnationState(const std::string& aDaemon,
                                   const std::string& aIncarnation)>;

  /** aLookup is Membership::FindIncarnation. */
  EndpointCancels(OrderTiming aTiming, IncarnationLookup aLookup);

  std::vector<EndpointCancel> Cancel(const EndpointCancel& aCancel,
                                     Instant aNow);
  void OnConfirmed(const EndpointCancel& aCancel);
  void OnEndpointReset(const std::string& aEndpoint);
  AllocationResult OnAllocations(const std::string& aEndpoint,
                                 const std::vector<Allocation>& aAllocations,
                                 Instant aNow);
  std::vector<EndpointCancel> Tick(Instant aNow);
  /** Returns the number of cancels that no endpoint has confirmed yet. */
  std::size_t PendingCount() const { return mPending.size(); }

private:
  using Key = std::tuple<std::string, std::string, std::uint64_t>;
  struct PendingCancel
  {
    EndpointCancel mCancel;
    Instant mNextSend;
    Duration mRetryInterval;
  };

  static Key KeyOf(const EndpointCancel& aCancel);
  IncarnationState FindOwnerState(const std::string& aOwner) const;

  OrderTiming mTiming;
  IncarnationLookup mLookup;
  std::map<Key, PendingCancel> mPending;
  /** Time since which the process of an allocation was found ended, by endpoint
   * and owner. */
  std::map<std::string, std::map<std::string, Instant>> mEndedSince;
};

} // namespace bulrushfold

#endif
