#ifndef BULRUSHFOLD_SOAK_JOURNAL_H
#define BULRUSHFOLD_SOAK_JOURNAL_H

#include <cstdint>
#include <deque>
#include <iosfwd>
#include <map>
#include <string>

#include "Base/Clock.h"

namespace bulrushfold {

/** Last events of each subject (a request or key) and the violations found. */
class Journal
{
public:
  Journal(const Clock& aClock, std::ostream& aOut, std::uint64_t aSeed);

  void SetStep(std::uint64_t aStep) { mStep = aStep; }
  /** Notes an event of aSubject. */
  void Note(const std::string& aSubject, const std::string& aEvent);
  /** Prints seed, step, aInvariant and the last events of aSubject. */
  void Violate(const std::string& aInvariant,
               const std::string& aSubject,
               const std::string& aDetail);
  std::uint64_t Violations() const { return mViolations; }

private:
  const Clock& mClock;
  std::ostream& mOut;
  std::uint64_t mSeed;
  std::uint64_t mStep = 0;
  std::uint64_t mViolations = 0;
  std::map<std::string, std::deque<std::string>> mEvents;
  /** Subjects in the order of their first event, to forget the oldest. */
  std::deque<std::string> mSubjects;
  Instant mStart;
};

} // namespace bulrushfold

#endif
