#ifndef BULRUSHFOLD_ROUTING_ENGINEFORECAST_H
#define BULRUSHFOLD_ROUTING_ENGINEFORECAST_H

#include <cstdint>
#include <optional>
#include <vector>

#include "Base/Clock.h"
#include "Routing/MemoryForecast.h"
#include "Routing/StreamRuns.h"

namespace bulrushfold {

/**
 * Forecasts the memory use of one engine and keeps the forecast up to date.
 * When a run is added, starts or ends, only its own share is calculated: a
 * decision costs what has changed, not the number of runs times the points of a
 * profile. All shares are calculated again when they are older than one step of
 * the profile.
 */
class EngineForecast
{
public:
  /** The profile at aNow. aVersion has changed if aRuns have since the last
   * call; see StreamRuns::VersionAt. */
  MemoryProfile At(const MemoryForecast& aForecast,
                   const std::vector<const StreamRun*>& aRuns,
                   std::uint64_t aVersion,
                   Instant aNow);

private:
  /** What one run adds to the profile. */
  struct Share
  {
    Share(const MemoryForecast& aForecast, const StreamRun& aRun, Instant aNow);
    /** It is the share of aRun, which has not changed since. */
    bool IsOf(const StreamRun& aRun) const;

    /** Identifies the run; not dereferenced, as the run may have ended. */
    const StreamRun* mRun;
    std::uint64_t mPromptTokens;
    std::uint64_t mAnswerTokens;
    std::uint64_t mMaxAnswerTokens;
    std::optional<Instant> mStartedAt;
    MemoryProfile mProfile;
  };
  /** The sum that aShare is a part of. */
  MemoryProfile& SumOf(const Share& aShare)
  {
    return aShare.mStartedAt ? mStarted : mNotStarted;
  }
  void Update(const MemoryForecast& aForecast,
              const std::vector<const StreamRun*>& aRuns);

  std::uint64_t mVersion = 0;
  Instant mCalculatedAt{};
  /** In the order of the runs. */
  std::vector<Share> mShares;
  /** Sum of the shares of the runs that grow, at mCalculatedAt. */
  MemoryProfile mStarted;
  /** Sum of the others, whose growth begins at the time of the call. */
  MemoryProfile mNotStarted;
};

} // namespace bulrushfold

#endif
