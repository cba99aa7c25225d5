#ifndef BULRUSHFOLD_TESTS_ROUTING_CRASHGUARDFIXTURE_H
#define BULRUSHFOLD_TESTS_ROUTING_CRASHGUARDFIXTURE_H

#include <cstdint>
#include <vector>

#include "Routing/CrashGuard.h"

namespace bulrushfold {
inline constexpr std::uint64_t kFirst = 1;
inline constexpr std::uint64_t kDeadly = 2;
inline constexpr std::uint64_t kSound = 3;
inline constexpr std::uint64_t kOther = 4;
inline const Instant kStart{ std::chrono::seconds(100) };
inline Random random{ 1 };

/** A run with these prompt parts, sent 10 ms before, is lost. */
inline void
Lose(CrashGuard& aGuard,
     std::uint64_t aEngine,
     const std::vector<std::uint64_t>& aParts,
     Instant aNow)
{
  aGuard.OnRunLost(
    aEngine, { aParts, 0, 0 }, aNow - std::chrono::milliseconds(10), aNow);
}

/** A run of a whole request, sent aTook before, is lost. */
inline void
LoseRequest(CrashGuard& aGuard,
            std::uint64_t aEngine,
            std::uint64_t aRequest,
            Instant aNow,
            Duration aTook = std::chrono::milliseconds(1))
{
  aGuard.OnRunLost(aEngine, { {}, aRequest, 0 }, aNow - aTook, aNow);
}

inline bool
IsRefused(CrashGuard& aGuard, std::uint64_t aRequest, Instant aNow)
{
  return aGuard.FindRefused({ {}, aRequest, 0 }, aNow) != nullptr;
}

inline CrashReport
OnlyLost(CrashReport aReport)
{
  aReport.mAnswered.clear();
  return aReport;
}

/** Crashes aCount engines, each 200 ms after the other, with runs of the deadly
 * part and of a sound one. */
inline Instant
Crash(CrashGuard& aGuard, std::uint64_t aCount)
{
  Instant now = kStart;
  for (std::uint64_t i = 0; i < aCount; ++i) {
    now += std::chrono::milliseconds(200);
    const std::uint64_t engine = 100 + i;
    Lose(aGuard, engine, { kFirst, kDeadly }, now);
    Lose(aGuard, engine, { kFirst, kSound }, now);
  }
  return now;
}

} // namespace bulrushfold

#endif
