#ifndef BULRUSHFOLD_BENCH_FAKELINKS_H
#define BULRUSHFOLD_BENCH_FAKELINKS_H

#include <map>
#include <string>
#include <vector>

#include "Bench/EventQueue.h"

namespace bulrushfold {

/** Simulated links of limited rate. A link serves one transfer at a time. */
class FakeLinks
{
public:
  using Hook = std::function<void(bool aIsDone)>;

  explicit FakeLinks(EventQueue& aEvents);

  void Add(const std::string& aLink, double aBytesPerSecond);
  /** aLink transfers no data from aFrom until aUntil. */
  void Stall(const std::string& aLink, Instant aFrom, Instant aUntil);
  /** Calls aHook at the end; with false when stalls made the transfer fail. */
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
  /** End of a transfer that starts at aStart and needs aSpan without stalls. */
  static Instant EndAfterStalls(const Link& aLink,
                                Instant aStart,
                                Duration aSpan);

  EventQueue& mEvents;
  std::map<std::string, Link> mLinks;
};

} // namespace bulrushfold

#endif
