#include "Routing/PeerTable.h"

#include <algorithm>

namespace bulrushfold {

namespace {
constexpr Duration kFirstTrial = std::chrono::milliseconds(300);
constexpr Duration kLongestTrial = std::chrono::seconds(8);
} // namespace

void
PeerTable::OnRegistered(const std::string& aName,
                        const SocketAddress& aAddress,
                        Instant aNow)
{
  const auto [it, isNew] = mPeers.try_emplace(aName);
  if (isNew || !(it->second.mAddress == aAddress)) {
    it->second = { aAddress, aNow, false, aNow, kFirstTrial };
  }
}

bool
PeerTable::OnMessage(const std::string& aName,
                     const SocketAddress& aAddress,
                     Instant aNow)
{
  Peer& peer = mPeers[aName];
  const bool wasLive = peer.mIsLive;
  peer = { aAddress, aNow, true, aNow, kFirstTrial };
  return !wasLive;
}

std::vector<std::string>
PeerTable::CollectDead(Instant aNow)
{
  std::vector<std::string> dead;
  for (auto it = mPeers.begin(); it != mPeers.end();) {
    auto& [name, peer] = *it;
    const Duration age = aNow - peer.mHeardAt;
    if (peer.mIsLive && age > kSilence) {
      peer.mIsLive = false;
      dead.push_back(name);
    }
    it = age > kForgetAfter ? mPeers.erase(it) : std::next(it);
  }
  return dead;
}

std::vector<PeerAddress>
PeerTable::CollectTargets(Instant aNow)
{
  std::vector<PeerAddress> targets;
  for (auto& [name, peer] : mPeers) {
    if (!peer.mIsLive) {
      if (aNow < peer.mNextTrial) {
        continue;
      }
      peer.mNextTrial = aNow + peer.mTrialInterval;
      peer.mTrialInterval = std::min(peer.mTrialInterval * 2, kLongestTrial);
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

std::vector<std::string>
PeerTable::LiveNames() const
{
  std::vector<std::string> names;
  for (const auto& [name, peer] : mPeers) {
    if (peer.mIsLive) {
      names.push_back(name);
    }
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
