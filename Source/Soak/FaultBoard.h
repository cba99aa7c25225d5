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
 * Counts which fault classes struck, and which pairs struck close together.
 * Scenarios register their classes by name, so that a run can tell which one
 * never struck.
 */
class FaultBoard
{
public:
  explicit FaultBoard(const Clock& aClock);

  /** Adds a class that the run must reach. */
  void Register(const std::string& aClass);
  /** aClass strikes now. Classes are registered first. */
  void Strike(const std::string& aClass);
  /** Classes that never struck. */
  std::vector<std::string> Missing() const;
  /** All strikes. */
  std::uint64_t Total() const;
  /** Prints the strikes of each class and each pair. */
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
