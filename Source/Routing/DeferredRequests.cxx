#include "Routing/DeferredRequests.h"

#include <algorithm>

namespace bulrushfold {

namespace {
/** Callers come back within a third of the time that they have; after this
 * time a request counts as new. */
constexpr Duration kLifetime = std::chrono::seconds(8);
/** The newest entries are kept and told; bounds memory and messages. */
constexpr std::size_t kMaxEntries = 256;
constexpr std::size_t kMaxTold = 128;
} // namespace

void
DeferredRequests::Expire(Instant aNow)
{
  for (auto it = mOwn.begin(); it != mOwn.end();) {
    it = aNow - it->second > kLifetime ? mOwn.erase(it) : std::next(it);
  }
}

void
DeferredRequests::OnDeferred(std::uint64_t aHash, Instant aFirst, Instant aNow)
{
  if (mOwn.size() >= kMaxEntries) {
    Expire(aNow);
  }
  if (mOwn.size() < kMaxEntries || mOwn.count(aHash) > 0) {
    mOwn[aHash] = aFirst;
  }
}

std::optional<Instant>
DeferredRequests::FirstArrival(std::uint64_t aHash, Instant aNow) const
{
  std::optional<Instant> first;
  const auto look = [&](const Arrivals& aArrivals) {
    const auto it = aArrivals.find(aHash);
    if (it != aArrivals.end() && aNow - it->second <= kLifetime &&
        (!first || it->second < *first)) {
      first = it->second;
    }
  };
  look(mOwn);
  for (const auto& [peer, arrivals] : mPeers) {
    look(arrivals);
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
  if (requests.size() > kMaxTold) {
    requests.resize(kMaxTold);
  }
  return requests;
}

} // namespace bulrushfold
