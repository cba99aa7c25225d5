#ifndef BULRUSHFOLD_ROUTING_SHAREDRETRYBUDGET_H
#define BULRUSHFOLD_ROUTING_SHAREDRETRYBUDGET_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "Base/Clock.h"

namespace bulrushfold {

/** Count of events in a sliding window, in steps of a twentieth of it. */
class WindowCount
{
public:
  explicit WindowCount(Duration aWindow);

  void Add(Instant aNow, std::uint32_t aCount = 1);
  /** Events of the last window; the oldest step counts as a whole. */
  std::uint32_t AtMost(Instant aNow) const;
  /** Events of at least the last aSpan. */
  std::uint32_t Since(Duration aSpan, Instant aNow) const;
  /** Events of the last window without its oldest, partial step. */
  std::uint32_t AtLeast(Instant aNow) const;

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

/** Bound on the sends of a service beyond the first of each request. */
struct RetryLimits
{
  /** Of the requests in the window. */
  double mRatio = 0.2;
  /** Sends in the window that are allowed in any case, by all daemons. */
  double mBaseRetries = 10;
  Duration mWindow = std::chrono::seconds(10);
};

/** What a daemon sent to a service in the last window. */
struct RetryUse
{
  std::uint32_t mRequests = 0;
  std::uint32_t mRetries = 0;
};

using RetryUses = std::map<std::string, RetryUse>;

/**
 * Holds all daemons together to a bound on repeated sends. While all peers tell
 * of their use, each daemon takes an equal part of what is left at the time of
 * the last messages. A daemon that does not hear all peers keeps to an equal
 * part of the whole.
 */
class SharedRetryBudget
{
public:
  /** aStart: start of the process. */
  SharedRetryBudget(const RetryLimits& aLimits, Instant aStart);

  /** A request for aService arrived from a caller. */
  void OnRequest(const std::string& aService, Instant aNow);
  /** Takes aSends further sends to aService; false when so many are not
   * left. */
  bool TryConsume(const std::string& aService,
                  std::uint32_t aSends,
                  Instant aNow);

  /** Daemons that share the bound, this one included. */
  void SetDaemons(std::size_t aCount);
  /** Longest time between two messages of a live peer. */
  static constexpr Duration kNewsAge = std::chrono::milliseconds(600);
  /** Replaces what aPeer told before. */
  void SetPeer(const std::string& aPeer, RetryUses aUses);
  void RemovePeer(const std::string& aPeer);
  /** Use of this daemon, to tell peers. */
  RetryUses OwnUses(Instant aNow) const;

private:
  struct Use
  {
    explicit Use(Duration aWindow)
      : mRequests(aWindow)
      , mRetries(aWindow)
    {
    }
    WindowCount mRequests;
    WindowCount mRetries;
  };
  Use& UseOf(const std::string& aService);
  bool FitsOwnPart(const Use& aUse, std::uint32_t aSends, Instant aNow) const;
  bool FitsTotal(const std::string& aService,
                 const Use& aUse,
                 std::uint32_t aSends,
                 Instant aNow) const;

  double BaseRetries(Instant aNow) const;

  RetryLimits mLimits;
  Instant mStart;
  std::size_t mDaemons = 1;
  std::map<std::string, Use> mUses;
  std::map<std::string, RetryUses> mPeers;
};

} // namespace bulrushfold

#endif
