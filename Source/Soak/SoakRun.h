#ifndef BULRUSHFOLD_SOAK_SOAKRUN_H
#define BULRUSHFOLD_SOAK_SOAKRUN_H

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "Base/Clock.h"

namespace bulrushfold {

/** Options of one run. */
struct SoakOptions
{
  std::uint64_t mSeed = 1;
  /** Real time in seconds after which the run settles; 0: no limit. */
  double mSeconds = 0;
  /** Number of events to run before settling; 0: no limit. */
  std::uint64_t mSteps = 0;
  /** Mechanism to disable; empty in a normal run. */
  std::string mDefect;
};

/** Result of one run. */
struct SoakResult
{
  std::uint64_t mSteps = 0;
  std::uint64_t mRequests = 0;
  std::uint64_t mFaults = 0;
  std::uint64_t mViolations = 0;
  /** Fault classes that were never injected. */
  std::vector<std::string> mNeverInjected;
};

/**
 * Runs all scenarios in virtual time and prints statistics, the table of faults
 * and, as the last line, the summary. The seed and the number of steps
 * determine the run. aClock only limits its real duration.
 */
SoakResult RunSoak(const SoakOptions& aOptions,
                   const Clock& aClock,
                   std::ostream& aOut);

/** Values that SoakOptions::mDefect may have. */
std::vector<std::string> SoakDefects();

} // namespace bulrushfold

#endif
