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

/** A cancel to send: POST /engine/cancel. It names request and attempt, so that
 * it cannot affect other work, and needs no lease. */
struct EndpointCancel
{
  std::string mEndpoint;
  std::string mRequest;
  /** 0: all attempts. */
  std::uint64_t mAttempt = 0;
  /** "DAEMON/INCARNATION" for which the work runs. */
  std::string mOwner;
};

/** Memory that an endpoint holds: GET /engine/holdings. */
struct Allocation
{
  std::string mRequest;
  std::uint64_t mAttempt = 0;
  /** "DAEMON/INCARNATION". */
  std::string mOwner;
};

/** What holdings made necessary. */
struct AllocationResult
{
  std::vector<EndpointCancel> mCancels;
  /** Daemons whose process is not known; pass them to
   * Membership::RequestRecord. */
  std::vector<std::string> mUnknown;
};

/**
 * Cancels, repeated until the endpoint confirmed them, and memory that is held
 * for daemons that are gone. Such memory is cancelled when its process was gone
 * for the whole grace time; a process whose state is not known is never
 * touched.
 *
 * Events to deliver: Cancel when a caller is gone or an attempt is given up;
 * OnConfirmed after an answer of the endpoint with status 200; OnEndpointGone
 * when the endpoint restarted or was removed (its memory is free);
 * OnAllocations, by the owner of the endpoint, with each list of allocations;
 * Tick every 100 ms.
 */
class EndpointCancels
{
public:
  using IncarnationLookup =
    std::function<IncarnationState(const std::string& aDaemon,
                                   const std::string& aIncarnation)>;

  /** aLookup: Membership::FindIncarnation. */
  EndpointCancels(OrderTiming aTiming, IncarnationLookup aLookup);

  std::vector<EndpointCancel> Cancel(const EndpointCancel& aCancel,
                                     Instant aNow);
  void OnConfirmed(const EndpointCancel& aCancel);
  void OnEndpointGone(const std::string& aEndpoint);
  AllocationResult OnAllocations(const std::string& aEndpoint,
                                 const std::vector<Allocation>& aAllocations,
                                 Instant aNow);
  std::vector<EndpointCancel> Tick(Instant aNow);
  /** Cancels that no endpoint has confirmed yet. */
  std::size_t Open() const { return mOpen.size(); }

private:
  using Key = std::tuple<std::string, std::string, std::uint64_t>;
  struct OpenCancel
  {
    EndpointCancel mAction;
    Instant mNextSend;
    Duration mRetry;
  };

  static Key KeyOf(const EndpointCancel& aCancel);
  IncarnationState FindOwner(const std::string& aOwner) const;

  OrderTiming mTiming;
  IncarnationLookup mLookup;
  std::map<Key, OpenCancel> mOpen;
  /** Since when the process of a holding is gone, by endpoint and owner. */
  std::map<std::string, std::map<std::string, Instant>> mGoneSince;
};

} // namespace bulrushfold

#endif
