#ifndef BULRUSHFOLD_SERVING_WORKSPACELIMITER_H
#define BULRUSHFOLD_SERVING_WORKSPACELIMITER_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/Clock.h"

namespace bulrushfold {

/** Limits of one workspace across all daemons; 0 means unlimited. */
struct WorkspaceLimits
{
  double mRequestsPerSecond = 0;
  double mBurst = 0;
  std::uint64_t mMaxConcurrent = 0;
};

/** Part of a workspace's limits that one daemon may use until it expires. */
struct LimitLease
{
  double mRequestsPerSecond = 0;
  double mConcurrent = 0;
  Instant mExpiry;
};

/** Use of a workspace at one daemon, reported to the limit's owner. */
struct LimitDemand
{
  std::string mWorkspace;
  /** Requests that arrived per second, accepted or not. */
  double mRequestsPerSecond = 0;
  /** Highest number of requests in progress, plus those refused for it. */
  double mConcurrent = 0;
};

/** Verdict on one request. */
enum class LimitVerdict
{
  Accept,
  RateLimited,
  ConcurrencyLimited,
};

/** Share of each limit that daemons without a lease divide among them. */
constexpr double kUnleasedShare = 0.1;
/** Time for which a lease holds. */
constexpr Duration kLimitLeaseTime = std::chrono::seconds(3);

/**
 * The owner's side of one workspace's limits: divides them among the daemons
 * in proportion to their demand. The leases in force never add up to more than
 * the limit less kUnleasedShare.
 */
class LimitAllocator
{
public:
  LimitLease Grant(const std::string& aDaemon,
                   const LimitDemand& aDemand,
                   const WorkspaceLimits& aLimits,
                   Instant aNow);

private:
  struct Holder
  {
    LimitDemand mDemand;
    LimitLease mLease;
  };

  std::map<std::string, Holder> mReplicas;
};

/**
 * The entry daemon's side: admits requests against its leases. Without a lease
 * it uses an equal part of kUnleasedShare, so that the limits hold within that
 * share, and for concurrency within one request a daemon, while the owner is
 * unreachable.
 */
class WorkspaceLimiter
{
public:
  /** Number of live daemons, which divide the unleased share. */
  void SetDaemons(std::size_t aCount);
  /**
   * Judges a request and counts it as in progress when it is accepted; each
   * accepted request must be ended with End.
   */
  LimitVerdict Begin(const std::string& aWorkspace,
                     const WorkspaceLimits& aLimits,
                     Instant aNow);
  void End(const std::string& aWorkspace);
  void OnLease(const std::string& aWorkspace, const LimitLease& aLease);
  /**
   * Demand of the workspaces used since the last call, to be sent to their
   * owners; call it once a second.
   */
  std::vector<LimitDemand> CollectDemand(Instant aNow);

private:
  struct State
  {
    WorkspaceLimits mLimits;
    LimitLease mLease;
    double mTokens = 1;
    Instant mRefilled;
    std::uint64_t mInProgress = 0;
    std::uint64_t mPeak = 0;
    std::uint64_t mArrived = 0;
    std::uint64_t mRefusedForConcurrency = 0;
  };

  double RateOf(const State& aState, Instant aNow) const;
  double ConcurrencyOf(const State& aState, Instant aNow) const;
  void Refill(State& aState, Instant aNow) const;

  std::size_t mDaemons = 1;
  Instant mDemandTaken;
  std::map<std::string, State> mWorkspaces;
};

} // namespace bulrushfold

#endif
