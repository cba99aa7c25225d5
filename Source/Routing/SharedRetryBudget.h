#ifndef BULRUSHFOLD_ROUTING_SHAREDRETRYBUDGET_H
#define BULRUSHFOLD_ROUTING_SHAREDRETRYBUDGET_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Base/Clock.h"

namespace bulrushfold {

/** Counts events in a sliding window that is divided into 20 steps. */
class SlidingWindowCounter
{
public:
  explicit SlidingWindowCounter(Duration aWindow);

  void Add(Instant aNow, std::uint32_t aCount = 1);
  /** Events in the window including the oldest step, which lies only partly
   * in it. */
  std::uint32_t UpperBound(Instant aNow) const;
  /** Events in the last aSpan, rounded up to whole steps. */
  std::uint32_t CountSince(Duration aSpan, Instant aNow) const;
  /** Events in the window without the oldest step, which lies only partly in
   * it. */
  std::uint32_t LowerBound(Instant aNow) const;

private:
  static constexpr std::size_t kSteps = 20;
  struct Step
  {
    std::int64_t mNumber = -1;
    std::uint32_t mCount = 0;
  };
  std::int64_t StepOf(Instant aTime) const;
  std::uint32_t Sum(Instant aNow, std::int64_t aSteps) const;

  Duration mStep;
  std::array<Step, kSteps + 1> mRing;
};

/** Limit on retries: sends to a service after the first one of a request. */
struct RetryLimits
{
  /** Allowed retries per request in the window. */
  double mRatio = 0.2;
  /** Retries of all daemons that are allowed in the window in addition to the
   * ratio. */
  double mBaseRetries = 10;
  Duration mWindow = std::chrono::seconds(10);
};

/** Requests and retries of a daemon to a service in the last window. */
struct RetryUse
{
  std::uint32_t mRequests = 0;
  std::uint32_t mRetries = 0;
};

using RetryUses = std::map<std::string, RetryUse>;

/**
 * Retry budget that all daemons share. While all peers report their use, each
 * daemon may use an equal part of what remained at the time of the last
 * messages. If the reports of a peer are missing, the daemon may only use an
 * equal part of the whole budget.
 */
class SharedRetryBudget
{
public:
  /** aStart: start of the process. */
  SharedRetryBudget(const RetryLimits& aLimits, Instant aStart);

  /** A request for aService arrived from a caller. */
  void OnRequest(const std::string& aService, Instant aNow);
  /** True when the budget allows aSends more retries to aService now. */
  bool Allows(const std::string& aService, std::uint32_t aSends, Instant aNow);
  /** Consumes aSends retries to aService; false, without any effect, when the
   * budget does not allow so many. */
  bool TryConsume(const std::string& aService,
                  std::uint32_t aSends,
                  Instant aNow);

  /** Number of daemons that share the budget, including this one. */
  void SetDaemons(std::size_t aCount);
  /** Longest time between two messages of a live peer. */
  static constexpr Duration kMaxUpdateInterval = std::chrono::milliseconds(600);
  /** Replaces the use that aPeer reported before. */
  void SetPeer(const std::string& aPeer, RetryUses aUses);
  void RemovePeer(const std::string& aPeer);
  /** aPeer reported the use of all aDaemons other daemons together. Replaces
   * all earlier reports. */
  void SetFleet(const std::string& aPeer,
                RetryUses aUses,
                std::size_t aDaemons);
  /** Use of this daemon and of all peers together. */
  RetryUses AllUses(Instant aNow) const;
  /** Use of this daemon, to report to the peers. */
  RetryUses OwnUses(Instant aNow) const;

private:
  struct Use
  {
    explicit Use(Duration aWindow)
      : mRequests(aWindow)
      , mRetries(aWindow)
    {
    }
    SlidingWindowCounter mRequests;
    SlidingWindowCounter mRetries;
  };
  Use& UseOf(const std::string& aService);
  bool FitsOwnShare(const Use& aUse, std::uint32_t aSends, Instant aNow) const;
  bool FitsSharedBudget(const std::string& aService,
                        const Use& aUse,
                        std::uint32_t aSends,
                        Instant aNow) const;

  double BaseRetries(Instant aNow) const;

  RetryLimits mLimits;
  Instant mStart;
  std::size_t mDaemons = 1;
  /** Number of other daemons whose use mPeers contains. */
  std::size_t ReportedDaemons() const
  {
    return mFleetDaemons.value_or(mPeers.size());
  }
  /** Set while mPeers holds one report about all other daemons. */
  std::optional<std::size_t> mFleetDaemons;
  std::map<std::string, Use> mUses;
  std::map<std::string, RetryUses> mPeers;
};

} // namespace bulrushfold

#endif
