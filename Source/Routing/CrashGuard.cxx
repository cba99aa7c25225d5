#include "Routing/CrashGuard.h"

#include <algorithm>

namespace bulrushfold {

namespace {
/** Time after the last lost connection at which a suspect expires. */
constexpr Duration kLifetime = std::chrono::seconds(60);
constexpr std::size_t kMaxEntries = 2000;
/** Maximum number of suspects in one message to a peer. */
constexpr std::size_t kMaxReported = 64;
} // namespace

void
CrashGuard::OnConnectionLost(std::uint64_t aHash, Instant aNow)
{
  if (mOwn.size() >= kMaxEntries) {
    Expire(aNow);
  }
  if (mOwn.size() < kMaxEntries || mOwn.count(aHash) > 0) {
    Entry& entry = mOwn[aHash];
    ++entry.mLosses;
    entry.mLastLossAt = aNow;
  }
}

bool
CrashGuard::IsRefused(std::uint64_t aHash, Instant aNow) const
{
  std::uint32_t losses = 0;
  const auto add = [&](const Entries& aEntries) {
    const auto it = aEntries.find(aHash);
    if (it != aEntries.end() && aNow - it->second.mLastLossAt < kLifetime) {
      losses += it->second.mLosses;
    }
  };
  add(mOwn);
  for (const auto& [peer, entries] : mPeers) {
    add(entries);
  }
  return losses >= kLossLimit;
}

void
CrashGuard::SetPeer(const std::string& aPeer,
                    const std::vector<CrashSuspect>& aSuspects,
                    Instant aNow)
{
  if (aSuspects.empty()) {
    mPeers.erase(aPeer);
    return;
  }
  Entries& entries = mPeers[aPeer];
  entries.clear();
  for (const auto& it : aSuspects) {
    entries[it.mHash] = { it.mLosses, aNow - it.mAge };
  }
}

std::vector<CrashSuspect>
CrashGuard::OwnSuspects(Instant aNow) const
{
  return Report(mOwn, aNow);
}

std::vector<CrashSuspect>
CrashGuard::SuspectsWithout(const std::string& aExcluded, Instant aNow) const
{
  Entries sum = mOwn;
  for (const auto& [peer, entries] : mPeers) {
    if (peer == aExcluded) {
      continue;
    }
    for (const auto& [hash, entry] : entries) {
      if (aNow - entry.mLastLossAt < kLifetime) {
        Entry& total = sum[hash];
        total.mLosses += entry.mLosses;
        total.mLastLossAt = std::max(total.mLastLossAt, entry.mLastLossAt);
      }
    }
  }
  return Report(sum, aNow);
}

std::vector<CrashSuspect>
CrashGuard::Report(const Entries& aEntries, Instant aNow)
{
  std::vector<CrashSuspect> suspects;
  for (const auto& [hash, entry] : aEntries) {
    if (aNow - entry.mLastLossAt < kLifetime) {
      suspects.push_back({ hash, entry.mLosses, aNow - entry.mLastLossAt });
    }
  }
  std::sort(suspects.begin(),
            suspects.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.mAge < aRight.mAge;
            });
  if (suspects.size() > kMaxReported) {
    suspects.resize(kMaxReported);
  }
  return suspects;
}

void
CrashGuard::Expire(Instant aNow)
{
  for (auto it = mOwn.begin(); it != mOwn.end();) {
    it = aNow - it->second.mLastLossAt >= kLifetime ? mOwn.erase(it) : ++it;
  }
}

} // namespace bulrushfold
