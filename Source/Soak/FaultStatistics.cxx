#include "Soak/FaultStatistics.h"

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

FaultStatistics::FaultStatistics(const Clock& aClock)
  : mClock(aClock)
{
}

void
FaultStatistics::Register(const std::string& aClass)
{
  mClasses[aClass];
}

void
FaultStatistics::Count(const std::string& aClass)
{
  const Instant now = mClock.Now();
  for (const auto& [other, record] : mClasses) {
    if (record.mCount > 0 && now - record.mLastAt <= kPairWindow) {
      ++mPairCounts[std::minmax(aClass, other)];
    }
  }
  ClassCount& count = mClasses[aClass];
  ++count.mCount;
  count.mLastAt = now;
}

std::vector<std::string>
FaultStatistics::NeverInjected() const
{
  std::vector<std::string> neverInjected;
  for (const auto& [name, record] : mClasses) {
    if (record.mCount == 0) {
      neverInjected.push_back(name);
    }
  }
  return neverInjected;
}

std::uint64_t
FaultStatistics::Total() const
{
  std::uint64_t n = 0;
  for (const auto& [name, record] : mClasses) {
    n += record.mCount;
  }
  return n;
}

void
FaultStatistics::Print(std::ostream& aOut) const
{
  aOut << "fault classes\n" << std::left;
  for (const auto& [name, record] : mClasses) {
    aOut << "  " << std::setw(kNameWidth) << name << record.mCount << "\n";
  }
  const std::size_t n = mClasses.size();
  aOut << "fault pairs (reached " << mPairCounts.size() << " of "
       << n * (n + 1) / 2 << ")\n";
  for (const auto& [pair, count] : mPairCounts) {
    aOut << "  " << std::setw(kNameWidth) << pair.first << std::setw(kNameWidth)
         << pair.second << count << "\n";
  }
}

} // namespace bulrushfold
