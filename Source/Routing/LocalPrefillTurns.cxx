#include "Routing/LocalPrefillTurns.h"

#include <algorithm>
#include <utility>

#include "Base/Digest.h"

namespace bulrushfold {

namespace {
/** Minimum time between two local prefills of an engine, in which each of its
 * runs sends an event. Two without a pause would stall the runs for too long.
 */
constexpr Duration kMinPause = std::chrono::milliseconds(80);
/** Minimum time between the turns of two daemons. */
constexpr Duration kMinTurn = std::chrono::milliseconds(25);
/** Time until an update of a peer arrives, including its transmission, relative
 * to the interval of the updates. */
constexpr double kUpdateDelayFactor = 1.3;
/** Number of different turns. In a large fleet several daemons share a turn,
 * because only a few of them have a stream for the same engine. */
constexpr std::size_t kMaxTurns = 8;
/** Interval between checks of an engine that runs a local prefill. */
constexpr Duration kBusyCheckInterval = std::chrono::milliseconds(20);
} // namespace

LocalPrefillTurns::LocalPrefillTurns(const EndpointLoads& aLoads,
                                     std::string aOwnName)
  : mLoads(aLoads)
  , mOwnName(std::move(aOwnName))
{
}

void
LocalPrefillTurns::SetPeers(std::vector<std::string> aPeers,
                            Duration aUpdateDelay)
{
  mPeers = std::move(aPeers);
  mUpdateDelay = aUpdateDelay;
}

void
LocalPrefillTurns::Update(const std::string& aEngine, Instant aNow)
{
  EngineState& state = mEngines[aEngine];
  const bool isBusy = mLoads.Total(aEngine).mPrefillTokens > 0;
  if (state.mIsBusy && !isBusy) {
    state.mIdleSince = aNow;
  }
  state.mIsBusy = isBusy;
}

Duration
LocalPrefillTurns::Offset(const std::string& aEngine) const
{
  const std::uint64_t seed = Hash64(aEngine);
  const std::uint64_t own = Hash64(mOwnName, seed);
  const auto rank =
    std::count_if(mPeers.begin(), mPeers.end(), [&](const auto& aPeer) {
      return Hash64(aPeer, seed) < own;
    });
  const Duration turn = std::max(
    kMinTurn, FromSeconds(kUpdateDelayFactor * ToSeconds(mUpdateDelay)));
  return turn * static_cast<int>(static_cast<std::size_t>(rank) % kMaxTurns);
}

Instant
LocalPrefillTurns::AvailableAt(const std::string& aEngine, Instant aNow) const
{
  const auto it = mEngines.find(aEngine);
  if (it == mEngines.end()) {
    return Instant();
  }
  return it->second.mIsBusy ? aNow + kBusyCheckInterval
                            : it->second.mIdleSince + kMinPause;
}

Instant
LocalPrefillTurns::NextTurn(const std::string& aEngine,
                            Instant aSince,
                            Instant aNow) const
{
  return std::max(aSince, AvailableAt(aEngine, aNow)) + Offset(aEngine);
}

} // namespace bulrushfold
