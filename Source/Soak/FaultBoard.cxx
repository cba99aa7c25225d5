#include "Soak/FaultBoard.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace bulrushfold {

namespace {
// Maximum time between two faults that count as a pair. They affect the same
// requests, because the deadlines are a few seconds.
constexpr Duration kPairWindow = std::chrono::seconds(2);
constexpr int kNameWidth = 28;
} // namespace

FaultBoard::FaultBoard(const Clock& aClock)
  : mClock(aClock)
{
}

void
FaultBoard::Register(const std::string& aClass)
{
  mClasses[aClass];
}

void
FaultBoard::Strike(const std::string& aClass)
{
  const Instant now = mClock.Now();
  for (const auto& [other, record] : mClasses) {
    if (record.mCount > 0 && now - record.mLast <= kPairWindow) {
      ++mPairs[std::minmax(aClass, other)];
    }
  }
  Record& own = mClasses[aClass];
  ++own.mCount;
  own.mLast = now;
}

std::vector<std::string>
FaultBoard::Missing() const
{
  std::vector<std::string> missing;
  for (const auto& [name, record] : mClasses) {
    if (record.mCount == 0) {
      missing.push_back(name);
    }
  }
  return missing;
}

std::uint64_t
FaultBoard::Total() const
{
  std::uint64_t n = 0;
  for (const auto& [name, record] : mClasses) {
    n += record.mCount;
  }
  return n;
}

void
FaultBoard::Print(std::ostream& aOut) const
{
  aOut << "fault classes\n" << std::left;
  for (const auto& [name, record] : mClasses) {
    aOut << "  " << std::setw(kNameWidth) << name << record.mCount << "\n";
  }
  const std::size_t n = mClasses.size();
  aOut << "fault pairs (reached " << mPairs.size() << " of " << n * (n + 1) / 2
       << ")\n";
  for (const auto& [pair, count] : mPairs) {
    aOut << "  " << std::setw(kNameWidth) << pair.first << std::setw(kNameWidth)
         << pair.second << count << "\n";
  }
}

} // namespace bulrushfold
