#ifndef BULRUSHFOLD_SOAK_JOURNAL_H
#define BULRUSHFOLD_SOAK_JOURNAL_H

#include <cstdint>
#include <deque>
#include <iosfwd>
#include <map>
#include <string>

#include "Base/Clock.h"

namespace bulrushfold {

/** Records the last events of each subject (a key or the store) and reports
 * violations of invariants. */
class Journal
{
public:
  Journal(const Clock& aClock, std::ostream& aOut, std::uint64_t aSeed);

  void SetStep(std::uint64_t aStep) { mStep = aStep; }
  /** Records an event of aSubject. */
  void Record(const std::string& aSubject, const std::string& aEvent);
  /** Counts a violation of aInvariant. Prints the first few with seed, step and
   * the last events of aSubject. */
  void ReportViolation(const std::string& aInvariant,
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
  /** Subjects in the order of their first event; the oldest is removed first.
   */
  std::deque<std::string> mSubjects;
  Instant mStart;
};

} // namespace bulrushfold

#endif
