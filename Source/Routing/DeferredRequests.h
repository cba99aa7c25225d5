#ifndef BULRUSHFOLD_ROUTING_DEFERREDREQUESTS_H
#define BULRUSHFOLD_ROUTING_DEFERREDREQUESTS_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Base/Clock.h"

namespace bulrushfold {

/** A request that was refused with the advice to retry it. */
struct DeferredRequest
{
  /** Hash of path, caller and body. */
  std::uint64_t mHash = 0;
  /** Time since the first attempt arrived. */
  Duration mAge{};
};

/**
 * Requests that were refused with the advice to retry them. Any daemon that
 * receives the retry finds the arrival time of the first attempt here, because
 * the time that a caller waits counts from its first attempt.
 */
class DeferredRequests
{
public:
  /** The request aHash, whose first attempt arrived at aFirstArrival, was
   * refused with the advice to retry it. */
  void OnDeferred(std::uint64_t aHash, Instant aFirstArrival, Instant aNow);
  /** Arrival time of the first attempt; empty when the request is new. */
  std::optional<Instant> FirstArrival(std::uint64_t aHash, Instant aNow) const;

  /** Replaces the requests that aPeer reported before. */
  void SetPeer(const std::string& aPeer,
               const std::vector<DeferredRequest>& aRequests,
               Instant aNow);
  void RemovePeer(const std::string& aPeer) { mPeers.erase(aPeer); }
  /** Requests that this daemon refused recently, to report to the peers. */
  std::vector<DeferredRequest> Own(Instant aNow) const;

private:
  /** Arrival times of first attempts, by hash of the request. */
  using Arrivals = std::unordered_map<std::uint64_t, Instant>;

  void Expire(Instant aNow);

  Arrivals mOwn;
  std::map<std::string, Arrivals> mPeers;
};

} // namespace bulrushfold

#endif
