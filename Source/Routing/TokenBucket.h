#ifndef BULRUSHFOLD_ROUTING_TOKENBUCKET_H
#define BULRUSHFOLD_ROUTING_TOKENBUCKET_H

#include "Base/Clock.h"

namespace bulrushfold {

/** Refill of a TokenBucket. */
struct BucketLimits
{
  /** Units per second. */
  double mRate = 0;
  /** Greatest level, in units. */
  double mBurst = 0;
};

/**
 * A token bucket whose limits may change at any time. It starts half full: a
 * process cannot know how much was used before it started. A request that costs
 * more than the burst is admitted when the bucket is full, and the level is
 * negative afterwards.
 */
class TokenBucket
{
public:
  TokenBucket(const BucketLimits& aLimits, Instant aNow)
    : mLevel(aLimits.mBurst / 2)
    , mBurst(aLimits.mBurst)
    , mRecentGrowth(aLimits.mBurst / 2)
    , mRefilledAt(aNow)
  {
  }

  /** Takes aCost if the level allows it; false, and no change, otherwise. */
  bool TryTake(double aCost, const BucketLimits& aLimits, Instant aNow);
  /** Takes aCost, whatever the level. */
  void Take(double aCost) { mLevel -= aCost; }
  void Refund(double aCost) { mLevel += aCost; }
  /** Nothing is taken and nothing is added until the next call of TryTake. */
  void Suspend();
  /** Time until TryTake can succeed; at most kLongestWait. */
  Duration WaitFor(double aCost, const BucketLimits& aLimits) const;

  /** Time after which a larger burst may fill the bucket by half again. */
  static constexpr Duration kGrowthTime = std::chrono::seconds(8);
  static constexpr Duration kLongestWait = std::chrono::seconds(60);

private:
  /** A larger burst comes with an unknown use, like the start of a process, so
   * the part that it adds is half full too. */
  void Grow(const BucketLimits& aLimits, double aSeconds);
  void Refill(const BucketLimits& aLimits, Instant aNow);

  double mLevel;
  /** Burst of the last call. */
  double mBurst;
  /** Units that were added because the burst grew; decreases with time, so that
   * a burst that changes to and fro adds no more. */
  double mRecentGrowth;
  Instant mRefilledAt;
  bool mIsSuspended = false;
};

} // namespace bulrushfold

#endif
