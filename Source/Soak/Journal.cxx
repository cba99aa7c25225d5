#include "Soak/Journal.h"

#include <ostream>

#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr std::size_t kMaxEventsPerSubject = 40;
constexpr std::size_t kMaxSubjects = 20000;
// Later violations are usually consequences of the first ones.
constexpr std::uint64_t kMaxPrintedViolations = 3;
} // namespace

Journal::Journal(const Clock& aClock, std::ostream& aOut, std::uint64_t aSeed)
  : mClock(aClock)
  , mOut(aOut)
  , mSeed(aSeed)
  , mStart(aClock.Now())
{
}

void
Journal::Record(const std::string& aSubject, const std::string& aEvent)
{
  auto [it, added] = mEvents.try_emplace(aSubject);
  if (added) {
    mSubjects.push_back(aSubject);
  }
  it->second.push_back(
    absl::StrCat(ToMilliseconds(mClock.Now() - mStart), " ms ", aEvent));
  if (it->second.size() > kMaxEventsPerSubject) {
    it->second.pop_front();
  }
  if (mSubjects.size() > kMaxSubjects) {
    mEvents.erase(mSubjects.front());
    mSubjects.pop_front();
  }
}

void
Journal::ReportViolation(const std::string& aInvariant,
                         const std::string& aSubject,
                         const std::string& aDetail)
{
  if (++mViolations > kMaxPrintedViolations) {
    return;
  }
  mOut << "violation seed=" << mSeed << " step=" << mStep
       << " invariant=" << aInvariant << " subject=" << aSubject << " "
       << aDetail << "\n";
  for (const auto& it : mEvents[aSubject]) {
    mOut << "  " << it << "\n";
  }
}

} // namespace bulrushfold
