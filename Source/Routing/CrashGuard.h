#ifndef BULRUSHFOLD_ROUTING_CRASHGUARD_H
#define BULRUSHFOLD_ROUTING_CRASHGUARD_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/Clock.h"

namespace bulrushfold {

/** A request that was running when the connection to its endpoint was lost. */
struct CrashSuspect
{
  /** Hash of path, caller and body. */
  std::uint64_t mHash = 0;
  /** Connections that one daemon lost while they ran this request. */
  std::uint32_t mLosses = 0;
  /** Time since the last of these losses. */
  Duration mAge{};
};

/**
 * Refuses requests that crash the endpoints that run them. Callers may retry
 * such a request at any daemon, so each daemon sends its counts of lost
 * connections to its peers.
 */
class CrashGuard
{
public:
  /** Lost connections of all daemons after which a request is refused. */
  static constexpr std::uint32_t kLossLimit = 3;

  /** The connection to an endpoint that ran the request was lost. */
  void OnConnectionLost(std::uint64_t aHash, Instant aNow);
  /** An endpoint answered the request, so it does not crash endpoints. */
  void OnAnswered(std::uint64_t aHash) { mOwn.erase(aHash); }
  bool IsRefused(std::uint64_t aHash, Instant aNow) const;

  /** Replaces the suspects that aPeer reported before. */
  void SetPeer(const std::string& aPeer,
               const std::vector<CrashSuspect>& aSuspects,
               Instant aNow);
  void RemovePeer(const std::string& aPeer) { mPeers.erase(aPeer); }
  /** Suspects of this daemon for its peers: the most recent first, limited in
   * number. */
  std::vector<CrashSuspect> OwnSuspects(Instant aNow) const;
  /** Suspects of this daemon and of all peers but aExcluded. */
  std::vector<CrashSuspect> SuspectsWithout(const std::string& aExcluded,
                                            Instant aNow) const;
  /** Removes entries of this daemon whose lifetime has ended. */
  void Expire(Instant aNow);

private:
  struct Entry
  {
    std::uint32_t mLosses = 0;
    Instant mLastLossAt;
  };
  using Entries = std::map<std::uint64_t, Entry>;

  /** Suspects in aEntries: the most recent first, limited in number. */
  static std::vector<CrashSuspect> Report(const Entries& aEntries,
                                          Instant aNow);

  Entries mOwn;
  std::map<std::string, Entries> mPeers;
};

} // namespace bulrushfold

#endif
