#include "Routing/CrashGuard.h"

#include <algorithm>

namespace bulrushfold {

namespace {
/** A suspect that stays away for this long is forgotten. */
constexpr Duration kLifetime = std::chrono::seconds(60);
constexpr std::size_t kMaxEntries = 2000;
/** Suspects in one message to a peer. */
constexpr std::size_t kMaxTold = 64;
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
    entry.mLastAt = aNow;
  }
}

bool
CrashGuard::IsRefused(std::uint64_t aHash, Instant aNow) const
{
  std::uint32_t losses = 0;
  const auto add = [&](const Entries& aEntries) {
    const auto it = aEntries.find(aHash);
    if (it != aEntries.end() && aNow - it->second.mLastAt < kLifetime) {
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
  Entries& entries = mPeers[aPeer];
  entries.clear();
  for (const auto& it : aSuspects) {
    entries[it.mHash] = { it.mLosses, aNow - it.mAge };
  }
}

std::vector<CrashSuspect>
CrashGuard::OwnSuspects(Instant aNow) const
{
  std::vector<CrashSuspect> suspects;
  for (const auto& [hash, entry] : mOwn) {
    if (aNow - entry.mLastAt < kLifetime) {
      suspects.push_back({ hash, entry.mLosses, aNow - entry.mLastAt });
    }
  }
  std::sort(suspects.begin(),
            suspects.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.mAge < aRight.mAge;
            });
  if (suspects.size() > kMaxTold) {
    suspects.resize(kMaxTold);
  }
  return suspects;
}

void
CrashGuard::Expire(Instant aNow)
{
  for (auto it = mOwn.begin(); it != mOwn.end();) {
    it = aNow - it->second.mLastAt >= kLifetime ? mOwn.erase(it) : ++it;
  }
}

} // namespace bulrushfold
