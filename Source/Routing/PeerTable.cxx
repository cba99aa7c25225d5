#include "Routing/PeerTable.h"

#include <algorithm>

namespace bulrushfold {

namespace {
constexpr Duration kFirstProbeInterval = std::chrono::milliseconds(300);
constexpr Duration kMaxProbeInterval = std::chrono::seconds(8);
} // namespace

void
PeerTable::OnRegistered(const std::string& aName,
                        const SocketAddress& aAddress,
                        Instant aNow)
{
  const auto [it, isNew] = mPeers.try_emplace(aName);
  if (isNew || !(it->second.mAddress == aAddress)) {
    it->second = { aAddress, aNow, false, aNow, kFirstProbeInterval };
  }
}

bool
PeerTable::OnMessage(const std::string& aName,
                     const SocketAddress& aAddress,
                     Instant aNow)
{
  Peer& peer = mPeers[aName];
  const bool wasLive = peer.mIsLive;
  peer = { aAddress, aNow, true, aNow, kFirstProbeInterval };
  return !wasLive;
}

std::vector<std::string>
PeerTable::CollectDead(Instant aNow)
{
  std::vector<std::string> dead;
  for (auto it = mPeers.begin(); it != mPeers.end();) {
    auto& [name, peer] = *it;
    const Duration age = aNow - peer.mLastMessageAt;
    if (peer.mIsLive && age > kLivenessTimeout) {
      peer.mIsLive = false;
      dead.push_back(name);
    }
    it = age > kRemovalTimeout ? mPeers.erase(it) : std::next(it);
  }
  return dead;
}

std::vector<PeerAddress>
PeerTable::CollectTargets(Instant aNow)
{
  std::vector<PeerAddress> targets;
  for (auto& [name, peer] : mPeers) {
    if (!peer.mIsLive) {
      if (aNow < peer.mNextProbe) {
        continue;
      }
      peer.mNextProbe = aNow + peer.mProbeInterval;
      peer.mProbeInterval =
        std::min(peer.mProbeInterval * 2, kMaxProbeInterval);
    }
    targets.push_back({ name, peer.mAddress });
  }
  return targets;
}

bool
PeerTable::HasLowestName(const std::string& aName) const
{
  return std::none_of(mPeers.begin(), mPeers.end(), [&](const auto& aIt) {
    return aIt.second.mIsLive && aIt.first < aName;
  });
}

std::vector<PeerAddress>
PeerTable::Live() const
{
  std::vector<PeerAddress> peers;
  for (const auto& [name, peer] : mPeers) {
    if (peer.mIsLive) {
      peers.push_back({ name, peer.mAddress });
    }
  }
  return peers;
}

std::vector<std::string>
PeerTable::LiveNames() const
{
  std::vector<std::string> names;
  for (const auto& it : Live()) {
    names.push_back(it.mName);
  }
  return names;
}

std::size_t
PeerTable::LiveCount() const
{
  return static_cast<std::size_t>(
    std::count_if(mPeers.begin(), mPeers.end(), [](const auto& aIt) {
      return aIt.second.mIsLive;
    }));
}

} // namespace bulrushfold
