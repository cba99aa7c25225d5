#include "Base/Clock.h"

#include <cmath>
#include <ctime>

namespace bulrushfold {

namespace {
// 2026-01-01T00:00:00Z. Keys and certificates are compared with the virtual
// clock, so its calendar date must be plausible.
constexpr std::chrono::milliseconds kManualClockEpoch{ 1767225600000 };
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kMicrosecondsPerMillisecond = 1e3;
} // namespace

Instant
SystemClock::Now() const
{
  // Unlike std::chrono::steady_clock, CLOCK_BOOTTIME includes the time for
  // which the VM was suspended. Leases and deadlines also expire during that
  // time.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

WallTime
SystemClock::Wall() const
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
}

ManualClock::ManualClock()
  : mNow(std::chrono::hours(1))
  , mWallStart(kManualClockEpoch)
  , mStart(mNow)
{
}

WallTime
ManualClock::Wall() const
{
  return mWallStart +
         std::chrono::duration_cast<std::chrono::milliseconds>(mNow - mStart);
}

void
ManualClock::Advance(Duration aStep)
{
  mNow += aStep;
}

double
ToMilliseconds(Duration aSpan)
{
  return static_cast<double>(aSpan.count()) / kMicrosecondsPerMillisecond;
}

double
ToSeconds(Duration aSpan)
{
  return static_cast<double>(aSpan.count()) / kMicrosecondsPerSecond;
}

Duration
FromSeconds(double aSeconds)
{
  return Duration(std::llround(aSeconds * kMicrosecondsPerSecond));
}

} // namespace bulrushfold
