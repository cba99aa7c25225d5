#ifndef BULRUSHFOLD_SOAK_FAULTBOARD_H
#define BULRUSHFOLD_SOAK_FAULTBOARD_H

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
class FaultBoard
{
public:
  explicit FaultBoard(const Clock& aClock);

  /** Adds a class that must be injected during the run. */
  void Register(const std::string& aClass);
  /** Counts a fault of aClass, which must be registered, at the current time.
   */
  void Strike(const std::string& aClass);
  /** Classes that were never injected. */
  std::vector<std::string> Missing() const;
  /** Number of injected faults of all classes. */
  std::uint64_t Total() const;
  /** Prints the counts of each class and each pair. */
  void Print(std::ostream& aOut) const;

private:
  struct Record
  {
    std::uint64_t mCount = 0;
    Instant mLast;
  };

  const Clock& mClock;
  std::map<std::string, Record> mClasses;
  std::map<std::pair<std::string, std::string>, std::uint64_t> mPairs;
};

} // namespace bulrushfold

#endif
