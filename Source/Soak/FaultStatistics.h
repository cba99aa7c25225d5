#ifndef BULRUSHFOLD_SOAK_FAULTSTATISTICS_H
#define BULRUSHFOLD_SOAK_FAULTSTATISTICS_H

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Base/Clock.h"

namespace bulrushfold {

/**
 * Counts the injected faults of each class, and the pairs of faults that were
 * injected within a short time. Scenarios register their classes by name, so
 * that a run can report the classes that were never injected.
 */
class FaultStatistics
{
public:
  explicit FaultStatistics(const Clock& aClock);

  /** Adds a class that must be injected during the run. */
  void Register(const std::string& aClass);
  /** Counts a fault of aClass, which must be registered, at the current time.
   */
  void Count(const std::string& aClass);
  /** Classes that were never injected. */
  std::vector<std::string> NeverInjected() const;
  /** Number of injected faults of all classes. */
  std::uint64_t Total() const;
  /** Prints the counts of each class and each pair. */
  void Print(std::ostream& aOut) const;

private:
  struct ClassCount
  {
    std::uint64_t mCount = 0;
    Instant mLastAt;
  };

  const Clock& mClock;
  std::map<std::string, ClassCount> mClasses;
  std::map<std::pair<std::string, std::string>, std::uint64_t> mPairCounts;
};

} // namespace bulrushfold

#endif
