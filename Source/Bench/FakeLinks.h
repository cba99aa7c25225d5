#ifndef BULRUSHFOLD_BENCH_FAKELINKS_H
#define BULRUSHFOLD_BENCH_FAKELINKS_H

#include <map>
#include <string>
#include <vector>

#include "Bench/EventQueue.h"

namespace bulrushfold {

/** Links of limited rate. Transfers on a link follow one another. */
class FakeLinks
{
public:
  using Hook = std::function<void(bool aIsDone)>;

  explicit FakeLinks(EventQueue& aEvents);

  void Add(const std::string& aLink, double aBytesPerSecond);
  /** aLink moves no byte between the two times. */
  void Stall(const std::string& aLink, Instant aFrom, Instant aUntil);
  /** Calls aHook at the end, or with false when nothing moved for too long. */
  void Transfer(const std::string& aFrom,
                const std::string& aTo,
                double aBytes,
                const Hook& aHook);

private:
  struct Link
  {
    double mBytesPerSecond = 0;
    Instant mBusyUntil;
    std::vector<std::pair<Instant, Instant>> mStalls;
  };
  /** First time from aStart on at which a transfer of aSpan can end. */
  static Instant EndAfterStalls(const Link& aLink,
                                Instant aStart,
                                Duration aSpan);

  EventQueue& mEvents;
  std::map<std::string, Link> mLinks;
};

} // namespace bulrushfold

#endif
