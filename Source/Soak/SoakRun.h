#ifndef BULRUSHFOLD_SOAK_SOAKRUN_H
#define BULRUSHFOLD_SOAK_SOAKRUN_H

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "Base/Clock.h"

namespace bulrushfold {

/** What one run does. */
struct SoakOptions
{
  std::uint64_t mSeed = 1;
  /** Real seconds after which no new steps begin; 0: no limit. */
  double mSeconds = 0;
  /** Steps (events) to run before settling; 0: no limit. */
  std::uint64_t mSteps = 0;
  /** Mechanism to disable. */
  std::string mDefect;
};

/** Result of one run. */
struct SoakResult
{
  std::uint64_t mSteps = 0;
  std::uint64_t mRequests = 0;
  std::uint64_t mFaults = 0;
  std::uint64_t mViolations = 0;
  /** Fault classes that never struck. */
  std::vector<std::string> mMissing;
};

/**
 * Runs all scenarios in virtual time and prints figures, fault table and, as
 * the last line, the summary. The seed and the number of steps fix the run.
 * aClock only bounds its real duration.
 */
SoakResult RunSoak(const SoakOptions& aOptions,
                   const Clock& aClock,
                   std::ostream& aOut);

/** Names that SoakOptions::mDefect may have. */
std::vector<std::string> SoakDefects();

} // namespace bulrushfold

#endif
