#ifndef BULRUSHFOLD_EMULATOR_CACHEEVENTS_H
#define BULRUSHFOLD_EMULATOR_CACHEEVENTS_H

#include <cstdint>
#include <deque>

#include <nlohmann/json.hpp>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Emulator/EngineSettings.h"
#include "Emulator/PrefixCache.h"

namespace bulrushfold {

/**
 * Events of prefix cache changes. Each becomes visible after the configured lag
 * and is omitted with the configured probability.
 */
class CacheEvents
{
public:
  CacheEvents(const Clock& aClock,
              Random& aRandom,
              const EngineEmulatorSettings& aSettings);

  void Record(const PrefixChange& aChange);
  /** Answer of GET /engine/events: visible events from sequence aFrom on. */
  nlohmann::json List(std::uint64_t aFrom) const;

private:
  struct Event
  {
    std::uint64_t mSequence = 0;
    Instant mVisibleAt;
    PrefixChange mChange;
  };
  const Clock& mClock;
  Random& mRandom;
  const EngineEmulatorSettings& mSettings;
  std::uint64_t mNextSequence = 1;
  std::deque<Event> mEvents;
};

} // namespace bulrushfold

#endif
