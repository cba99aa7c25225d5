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

/** A peer to which a message is due. */
struct PeerAddress
{
  std::string mName;
  SocketAddress mAddress;
};

/**
 * The other daemons. A daemon learns of those that started before it from the
 * registry, and of later ones from their messages. A peer is live while it is
 * heard. Peers that are not heard are tried less and less often and forgotten
 * in the end; one that comes back makes itself known.
 */
class PeerTable
{
public:
  /** Silence after which a peer counts as dead. */
  static constexpr Duration kSilence = std::chrono::milliseconds(1800);
  /** Silence after which a peer is not tried any more. */
  static constexpr Duration kForgetAfter = std::chrono::seconds(60);

  /** The registry lists a peer that may be alive. */
  void OnRegistered(const std::string& aName,
                    const SocketAddress& aAddress,
                    Instant aNow);
  /** A message of aName came; true when it was not live before. */
  bool OnMessage(const std::string& aName,
                 const SocketAddress& aAddress,
                 Instant aNow);
  /** The peer says that it ends. */
  void OnStopped(const std::string& aName) { mPeers.erase(aName); }
  /** Peers that became silent since the last call. */
  std::vector<std::string> CollectDead(Instant aNow);

  /** Peers to which a message goes now: the live ones, and those of the others
   * that are due for a trial, which this call notes as made. */
  std::vector<PeerAddress> CollectTargets(Instant aNow);
  /** No live peer has a name before aName. */
  bool HasLowestName(const std::string& aName) const;
  /** Number of live peers. */
  std::size_t LiveCount() const;
  std::vector<std::string> LiveNames() const;
  /** Peers that are not forgotten. A silent one may be cut off from this
   * daemon only, and still serve. */
  std::size_t Count() const { return mPeers.size(); }

private:
  struct Peer
  {
    SocketAddress mAddress;
    /** Last message, or the time of registration. */
    Instant mHeardAt;
    bool mIsLive = false;
    Instant mNextTrial;
    Duration mTrialInterval{};
  };

  std::map<std::string, Peer> mPeers;
};

} // namespace bulrushfold

#endif
