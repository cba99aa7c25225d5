#ifndef BULRUSHFOLD_ROUTING_LOCALPREFILLTURNS_H
#define BULRUSHFOLD_ROUTING_LOCALPREFILLTURNS_H

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Routing/EndpointLoads.h"

namespace bulrushfold {

/**
 * Decides when a decode engine may run a local prefill, which computes the KV
 * cache of tokens that a resumed stream generated before. All other runs of the
 * engine are stalled meanwhile, so only one daemon should start a local prefill
 * at a time. After an engine became idle, each daemon has a turn at a different
 * time, so that the others can receive an update when one of them has started.
 */
class LocalPrefillTurns
{
public:
  LocalPrefillTurns(const EndpointLoads& aLoads, std::string aOwnName);

  /** The other live daemons, and the time until they receive an update. */
  void SetPeers(std::vector<std::string> aPeers, Duration aUpdateDelay);
  /** Updates whether a local prefill runs at aEngine; call before NextTurn. */
  void Update(const std::string& aEngine, Instant aNow);
  /** Earliest time of the next local prefill at aEngine, for any daemon; it
   * may be in the past. */
  Instant AvailableAt(const std::string& aEngine, Instant aNow) const;
  /** Time at which this daemon may start a local prefill at aEngine for a
   * stream that waits since aSince, if no other daemon starts one before. */
  Instant NextTurn(const std::string& aEngine,
                   Instant aSince,
                   Instant aNow) const;

private:
  Duration Offset(const std::string& aEngine) const;

  const EndpointLoads& mLoads;
  std::string mOwnName;
  std::vector<std::string> mPeers;
  Duration mUpdateDelay{};
  struct EngineState
  {
    bool mIsBusy = false;
    /** When the engine was first observed idle after it was busy. */
    Instant mIdleSince;
  };
  std::map<std::string, EngineState> mEngines;
};

} // namespace bulrushfold

#endif
