#include "Routing/LocalPrefillTurns.h"

#include <algorithm>
#include <utility>

#include "Base/Digest.h"

namespace bulrushfold {

namespace {
/** Time between two computations, in which each run of the engine sends an
 * event: two in a row would hold the runs up for too long. */
constexpr Duration kPause = std::chrono::milliseconds(80);
/** Least time between the turns of two daemons. */
constexpr Duration kLeastTurn = std::chrono::milliseconds(25);
/** News of a peer arrives within its interval and the way to here. */
constexpr double kNewsFactor = 1.3;
/** Turns of a round. In a large fleet few daemons have a stream for the same
 * engine, and some may share a turn. */
constexpr std::size_t kTurns = 8;
/** Interval at which an engine that computes is looked at. */
constexpr Duration kBusyInterval = std::chrono::milliseconds(20);
} // namespace

LocalPrefillTurns::LocalPrefillTurns(const EndpointLoads& aLoads,
                                     std::string aSelf)
  : mLoads(aLoads)
  , mSelf(std::move(aSelf))
{
}

void
LocalPrefillTurns::SetPeers(std::vector<std::string> aPeers,
                            Duration aNewsDelay)
{
  mPeers = std::move(aPeers);
  mNewsDelay = aNewsDelay;
}

void
LocalPrefillTurns::Update(const std::string& aEngine, Instant aNow)
{
  Seen& seen = mSeen[aEngine];
  const bool isBusy = mLoads.Total(aEngine).mPrefillTokens > 0;
  if (seen.mIsBusy && !isBusy) {
    seen.mFreeSince = aNow;
  }
  seen.mIsBusy = isBusy;
}

Duration
LocalPrefillTurns::Offset(const std::string& aEngine) const
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
LocalPrefillTurns::FreeAt(const std::string& aEngine, Instant aNow) const
{
  const auto it = mSeen.find(aEngine);
  if (it == mSeen.end()) {
    return Instant();
  }
  return it->second.mIsBusy ? aNow + kBusyInterval
                            : it->second.mFreeSince + kPause;
}

Instant
LocalPrefillTurns::NextTurn(const std::string& aEngine,
                            Instant aSince,
                            Instant aNow) const
{
  return std::max(aSince, FreeAt(aEngine, aNow)) + Offset(aEngine);
}

} // namespace bulrushfold
