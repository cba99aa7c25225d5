#include "Bench/FakeLinks.h"

#include <algorithm>

namespace bulrushfold {

namespace {
// A transfer fails when stalls delay it by more than this.
constexpr Duration kStallLimit = std::chrono::milliseconds(250);
} // namespace

FakeLinks::FakeLinks(EventQueue& aEvents)
  : mEvents(aEvents)
{
}

void
FakeLinks::Add(const std::string& aLink, double aBytesPerSecond)
{
  mLinks[aLink].mBytesPerSecond = aBytesPerSecond;
}

void
FakeLinks::Stall(const std::string& aLink, Instant aFrom, Instant aUntil)
{
  mLinks[aLink].mStalls.emplace_back(aFrom, aUntil);
}

Instant
FakeLinks::EndAfterStalls(const Link& aLink, Instant aStart, Duration aSpan)
{
  Instant end = aStart + aSpan;
  for (const auto& [from, until] : aLink.mStalls) {
    if (from < end && until > aStart) {
      end += until - std::max(from, aStart);
    }
  }
  return end;
}

void
FakeLinks::Transfer(const std::string& aFrom,
                    const std::string& aTo,
                    double aBytes,
                    const Hook& aHook)
{
  Link& from = mLinks[aFrom];
  Link& to = mLinks[aTo];
  const Duration span =
    FromSeconds(aBytes / std::min(from.mBytesPerSecond, to.mBytesPerSecond));
  const Instant start =
    std::max({ mEvents.Now(), from.mBusyUntil, to.mBusyUntil });
  const Instant unstalledEnd = start + span;
  const Instant end = std::max(EndAfterStalls(from, start, span),
                               EndAfterStalls(to, start, span));
  if (end > unstalledEnd + kStallLimit) {
    // A failed transfer does not occupy the links.
    mEvents.After(unstalledEnd + kStallLimit - mEvents.Now(),
                  [aHook] { aHook(false); });
    return;
  }
  from.mBusyUntil = end;
  to.mBusyUntil = end;
  mEvents.After(end - mEvents.Now(), [aHook] { aHook(true); });
}

} // namespace bulrushfold
