#ifndef BULRUSHFOLD_ROUTING_CRASHGUARD_H
#define BULRUSHFOLD_ROUTING_CRASHGUARD_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/Clock.h"

namespace bulrushfold {

/** A request that was running when its endpoint broke the connection. */
struct CrashSuspect
{
  /** Hash of path, caller and body. */
  std::uint64_t mHash = 0;
  /** Broken runs that one daemon saw. */
  std::uint32_t mLosses = 0;
  /** Time since the last of them. */
  Duration mAge{};
};

/**
 * Refuses requests that crash the endpoints that run them. Such a request
 * comes again at any daemon, so each daemon tells its peers what it saw.
 */
class CrashGuard
{
public:
  /** Broken runs after which a request is refused. */
  static constexpr std::uint32_t kLossLimit = 3;

  /** An endpoint broke the connection while it ran the request. */
  void OnConnectionLost(std::uint64_t aHash, Instant aNow);
  /** An endpoint answered the request, so it does not crash endpoints. */
  void OnAnswered(std::uint64_t aHash) { mOwn.erase(aHash); }
  bool IsRefused(std::uint64_t aHash, Instant aNow) const;

  /** Replaces what aPeer told before. */
  void SetPeer(const std::string& aPeer,
               const std::vector<CrashSuspect>& aSuspects,
               Instant aNow);
  void RemovePeer(const std::string& aPeer) { mPeers.erase(aPeer); }
  /** What this daemon saw, to tell peers; the latest first, bounded. */
  std::vector<CrashSuspect> OwnSuspects(Instant aNow) const;
  /** Forgets what is too old. */
  void Expire(Instant aNow);

private:
  struct Entry
  {
    std::uint32_t mLosses = 0;
    Instant mLastAt;
  };
  using Entries = std::map<std::uint64_t, Entry>;

  Entries mOwn;
  std::map<std::string, Entries> mPeers;
};

} // namespace bulrushfold

#endif
