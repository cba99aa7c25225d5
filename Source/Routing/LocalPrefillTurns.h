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
 * Decides when a decode engine may compute what a resumed stream generated
 * before. All its runs stand still meanwhile, so the daemons of the fleet
 * take turns: after an engine was free for a while, each daemon begins at
 * another moment, which leaves time to hear that one of them has begun.
 */
class LocalPrefillTurns
{
public:
  LocalPrefillTurns(const EndpointLoads& aLoads, std::string aSelf);

  /** The other live daemons, and the time until they hear of a change. */
  void SetPeers(std::vector<std::string> aPeers, Duration aNewsDelay);
  /** Notes whether aEngine computes; call before NextTurn. */
  void Update(const std::string& aEngine, Instant aNow);
  /** When aEngine may compute again; not after aNow: now. */
  Instant FreeAt(const std::string& aEngine, Instant aNow) const;
  /** When this daemon may begin at aEngine with a stream that waits since
   * aSince, unless another one is first. */
  Instant NextTurn(const std::string& aEngine,
                   Instant aSince,
                   Instant aNow) const;

private:
  Duration Offset(const std::string& aEngine) const;

  const EndpointLoads& mLoads;
  std::string mSelf;
  std::vector<std::string> mPeers;
  Duration mNewsDelay{};
  struct Seen
  {
    bool mIsBusy = false;
    /** When it was first seen free after it was busy. */
    Instant mFreeSince;
  };
  std::map<std::string, Seen> mSeen;
};

} // namespace bulrushfold

#endif
