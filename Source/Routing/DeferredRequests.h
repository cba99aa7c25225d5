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

/** A request that was told to come back. */
struct DeferredRequest
{
  /** Hash of path, caller and body. */
  std::uint64_t mHash = 0;
  /** Time since it came first. */
  Duration mAge{};
};

/**
 * Requests that were told to come back, so that they are known when they do,
 * at whichever daemon. A caller's patience counts from its first attempt.
 */
class DeferredRequests
{
public:
  /** The request with aHash, which first came at aFirst, was turned away. */
  void OnDeferred(std::uint64_t aHash, Instant aFirst, Instant aNow);
  /** When the request first came; empty when it is new. */
  std::optional<Instant> FirstArrival(std::uint64_t aHash, Instant aNow) const;

  /** Replaces what aPeer told before. */
  void SetPeer(const std::string& aPeer,
               const std::vector<DeferredRequest>& aRequests,
               Instant aNow);
  void RemovePeer(const std::string& aPeer) { mPeers.erase(aPeer); }
  /** Requests that this daemon turned away lately, to tell peers. */
  std::vector<DeferredRequest> Own(Instant aNow) const;

private:
  /** Times of the first arrival. */
  using Arrivals = std::unordered_map<std::uint64_t, Instant>;

  void Expire(Instant aNow);

  Arrivals mOwn;
  std::map<std::string, Arrivals> mPeers;
};

} // namespace bulrushfold

#endif
