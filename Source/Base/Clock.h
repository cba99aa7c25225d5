#ifndef BULRUSHFOLD_BASE_CLOCK_H
#define BULRUSHFOLD_BASE_CLOCK_H

#include <chrono>

namespace bulrushfold {

/** Time span in microseconds. */
using Duration = std::chrono::microseconds;

/** Point in time of the monotonic clock, in microseconds. */
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Point in time of the calendar clock, in milliseconds. */
using WallTime =
  std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/**
 * Source of time. Classes that make decisions read the time only through this
 * interface, so that tests and randomised runs can use a virtual clock.
 */
class Clock
{
public:
  virtual ~Clock() = default;
  /** Monotonic time; never decreases. */
  virtual Instant Now() const = 0;
  /** Calendar time; may jump forwards or backwards. */
  virtual WallTime Wall() const = 0;
};

/** Clock of the operating system. */
class SystemClock : public Clock
{
public:
  Instant Now() const override;
  WallTime Wall() const override;
};

/** Virtual clock whose time changes only by Advance. */
class ManualClock : public Clock
{
public:
  ManualClock();
  Instant Now() const override { return mNow; }
  WallTime Wall() const override;
  /** Advances both times by aStep, which must not be negative. */
  void Advance(Duration aStep);

private:
  Instant mNow;
  WallTime mWallStart;
  Instant mStart;
};

/** Length of aSpan in milliseconds, with fractions. */
double ToMilliseconds(Duration aSpan);

/** Length of aSpan in seconds, with fractions. */
double ToSeconds(Duration aSpan);

/** aSeconds as a Duration, rounded to the nearest microsecond. */
Duration FromSeconds(double aSeconds);

} // namespace bulrushfold

#endif
