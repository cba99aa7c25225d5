#ifndef BULRUSHFOLD_ROUTING_PEERTABLE_H
#define BULRUSHFOLD_ROUTING_PEERTABLE_H

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** A peer that should be sent a message. */
struct PeerAddress
{
  std::string mName;
  SocketAddress mAddress;
};

/**
 * The other daemons. A daemon finds earlier started peers in the registry, and
 * later started ones by their messages. A peer is live while its messages
 * arrive. Messages to other peers are sent at increasing intervals until the
 * peer is removed; a removed peer is added again when a message of it arrives.
 */
class PeerTable
{
public:
  /** Time without a message after which a peer is no longer live. */
  static constexpr Duration kLivenessTimeout = std::chrono::milliseconds(1800);
  /** Time without a message after which a peer is removed. */
  static constexpr Duration kRemovalTimeout = std::chrono::seconds(60);

  /** The registry lists a peer; it becomes live with its first message. */
  void OnRegistered(const std::string& aName,
                    const SocketAddress& aAddress,
                    Instant aNow);
  /** A message of aName arrived; true when the peer was not live before. */
  bool OnMessage(const std::string& aName,
                 const SocketAddress& aAddress,
                 Instant aNow);
  /** The peer announced that it stops. */
  void OnStopped(const std::string& aName) { mPeers.erase(aName); }
  /** Returns the peers that ceased to be live since the last call, and removes
   * peers without messages for long. */
  std::vector<std::string> CollectDead(Instant aNow);

  /** Returns the peers to send a message now: the live ones, and the others
   * whose next probe is due. Schedules the probe after that. */
  std::vector<PeerAddress> CollectTargets(Instant aNow);
  /** No live peer has a name before aName. */
  bool HasLowestName(const std::string& aName) const;
  /** Number of live peers. */
  std::size_t LiveCount() const;
  std::vector<std::string> LiveNames() const;
  std::vector<PeerAddress> Live() const;
  /** Number of peers in the table. One that is not live may only be partitioned
   * from this daemon and still serve callers. */
  std::size_t Count() const { return mPeers.size(); }

private:
  struct Peer
  {
    SocketAddress mAddress;
    /** Last message, or the time of registration. */
    Instant mLastMessageAt;
    bool mIsLive = false;
    Instant mNextProbe;
    Duration mProbeInterval{};
  };

  std::map<std::string, Peer> mPeers;
};

} // namespace bulrushfold

#endif
