#include "Routing/ReadTurns.h"

#include <algorithm>
#include <utility>

#include "Base/Digest.h"

namespace bulrushfold {

namespace {
/** Minimum time between two local prefills of an engine, in which each of its
 * runs sends an event. Two without a pause would stall the runs for too long.
 */
constexpr Duration kPause = std::chrono::milliseconds(80);
/** Minimum time between the turns of two daemons. */
constexpr Duration kLeastTurn = std::chrono::milliseconds(25);
/** Time until an update of a peer arrives, including its transmission, relative
 * to the interval of the updates. */
constexpr double kNewsFactor = 1.3;
/** Number of different turns. In a large fleet several daemons share a turn,
 * because only a few of them have a stream for the same engine. */
constexpr std::size_t kTurns = 8;
/** Interval between checks of an engine that runs a local prefill. */
constexpr Duration kBusyInterval = std::chrono::milliseconds(20);
} // namespace

ReadTurns::ReadTurns(const EndpointLoads& aLoads, std::string aSelf)
  : mLoads(aLoads)
  , mSelf(std::move(aSelf))
{
}

void
ReadTurns::SetPeers(std::vector<std::string> aPeers, Duration aNewsDelay)
{
  mPeers = std::move(aPeers);
  mNewsDelay = aNewsDelay;
}

void
ReadTurns::Observe(const std::string& aEngine, Instant aNow)
{
  Seen& seen = mSeen[aEngine];
  const bool isBusy = mLoads.Total(aEngine).mPrefillTokens > 0;
  if (seen.mIsBusy && !isBusy) {
    seen.mFreeSince = aNow;
  }
  seen.mIsBusy = isBusy;
}

Duration
ReadTurns::Offset(const std::string& aEngine) const
{
  const std::uint64_t seed = Hash64(aEngine);
  const std::uint64_t own = Hash64(mSelf, seed);
  const auto rank =
    std::count_if(mPeers.begin(), mPeers.end(), [&](const auto& aPeer) {
      return Hash64(aPeer, seed) < own;
    });
  const Duration turn =
    std::max(kLeastTurn, FromSeconds(kNewsFactor * ToSeconds(mNewsDelay)));
  return turn * static_cast<int>(static_cast<std::size_t>(rank) % kTurns);
}

Instant
ReadTurns::FreeAt(const std::string& aEngine, Instant aNow) const
{
  const auto it = mSeen.find(aEngine);
  if (it == mSeen.end()) {
    return Instant();
  }
  return it->second.mIsBusy ? aNow + kBusyInterval
                            : it->second.mFreeSince + kPause;
}

Instant
ReadTurns::NextTurn(const std::string& aEngine,
                    Instant aSince,
                    Instant aNow) const
{
  return std::max(aSince, FreeAt(aEngine, aNow)) + Offset(aEngine);
}

} // namespace bulrushfold
