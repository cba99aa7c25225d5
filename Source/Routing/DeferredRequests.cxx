#include "Routing/DeferredRequests.h"

#include <algorithm>

namespace bulrushfold {

namespace {
/** Callers retry within a third of the time that they wait in total; after this
 * time a request counts as new. */
constexpr Duration kLifetime = std::chrono::seconds(8);
/** Limits of memory use and message size; the newest entries are reported. */
constexpr std::size_t kMaxEntries = 256;
constexpr std::size_t kMaxReported = 128;
} // namespace

void
DeferredRequests::Expire(Instant aNow)
{
  for (auto it = mOwn.begin(); it != mOwn.end();) {
    it = aNow - it->second > kLifetime ? mOwn.erase(it) : std::next(it);
  }
}

void
DeferredRequests::OnDeferred(std::uint64_t aHash,
                             Instant aFirstArrival,
                             Instant aNow)
{
  if (mOwn.size() >= kMaxEntries) {
    Expire(aNow);
  }
  if (mOwn.size() < kMaxEntries || mOwn.count(aHash) > 0) {
    mOwn[aHash] = aFirstArrival;
  }
}

std::optional<Instant>
DeferredRequests::FirstArrival(std::uint64_t aHash, Instant aNow) const
{
  std::optional<Instant> first;
  const auto collect = [&](const Arrivals& aArrivals) {
    const auto it = aArrivals.find(aHash);
    if (it != aArrivals.end() && aNow - it->second <= kLifetime &&
        (!first || it->second < *first)) {
      first = it->second;
    }
  };
  collect(mOwn);
  for (const auto& [peer, arrivals] : mPeers) {
    collect(arrivals);
  }
  return first;
}

void
DeferredRequests::SetPeer(const std::string& aPeer,
                          const std::vector<DeferredRequest>& aRequests,
                          Instant aNow)
{
  Arrivals& arrivals = mPeers[aPeer];
  arrivals.clear();
  for (const auto& it : aRequests) {
    arrivals[it.mHash] = aNow - it.mAge;
  }
}

std::vector<DeferredRequest>
DeferredRequests::Own(Instant aNow) const
{
  std::vector<DeferredRequest> requests;
  for (const auto& [hash, first] : mOwn) {
    if (aNow - first <= kLifetime) {
      requests.push_back({ hash, aNow - first });
    }
  }
  std::sort(requests.begin(),
            requests.end(),
            [](const DeferredRequest& aLeft, const DeferredRequest& aRight) {
              return aLeft.mAge < aRight.mAge;
            });
  if (requests.size() > kMaxReported) {
    requests.resize(kMaxReported);
  }
  return requests;
}

} // namespace bulrushfold
