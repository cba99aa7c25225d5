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

/** Part of a workspace's limits that one daemon may use until mExpiry. */
struct LimitLease
{
  double mRequestsPerSecond = 0;
  double mConcurrent = 0;
  Instant mExpiry;
};

/** Use of a workspace at one daemon, reported to the owner of its limits. */
struct LimitDemand
{
  std::string mWorkspace;
  /** Requests that arrived per second, accepted or not. */
  double mRequestsPerSecond = 0;
  /** Highest number of requests in progress, plus the requests refused by the
   * concurrency limit. */
  double mConcurrent = 0;
};

/** Decision on one request. */
enum class LimitVerdict
{
  Accept,
  RateLimited,
  ConcurrencyLimited,
};

/** Share of each limit that is not leased. The live daemons divide it equally,
 * and a daemon without a lease uses its part only. */
constexpr double kUnleasedShare = 0.1;
/** Time for which a lease is valid. */
constexpr Duration kLimitLeaseTime = std::chrono::seconds(3);

/**
 * Divides the limits of one workspace among the daemons in proportion to their
 * demand. It is used by the daemon that owns the limits. The valid leases never
 * add up to more than the limit less kUnleasedShare.
 */
class LimitAllocator
{
public:
  LimitLease Grant(const std::string& aDaemon,
                   const LimitDemand& aDemand,
                   const WorkspaceLimits& aLimits,
                   Instant aNow);

private:
  struct DaemonLease
  {
    LimitDemand mDemand;
    LimitLease mLease;
  };

  std::map<std::string, DaemonLease> mDaemonLeases;
};

/**
 * Admits requests at an entry daemon within its leases. Without a lease the
 * daemon uses an equal part of kUnleasedShare. So all daemons together stay
 * within this share while the owner is unreachable, except that each daemon
 * admits at least one concurrent request.
 */
class WorkspaceLimiter
{
public:
  /** Sets the number of live daemons, which divide the unleased share. */
  void SetDaemons(std::size_t aCount);
  /**
   * Decides on a request and counts it as in progress when it is accepted. End
   * must be called for each accepted request.
   */
  LimitVerdict Begin(const std::string& aWorkspace,
                     const WorkspaceLimits& aLimits,
                     Instant aNow);
  void End(const std::string& aWorkspace);
  void OnLease(const std::string& aWorkspace, const LimitLease& aLease);
  /**
   * Returns and resets the demand of the workspaces since the last call. The
   * daemon calls this once a second and sends the result to the owners.
   */
  std::vector<LimitDemand> CollectDemand(Instant aNow);

private:
  struct State
  {
    WorkspaceLimits mLimits;
    LimitLease mLease;
    /** Token bucket of the rate limit, as of mRefilledAt. */
    double mTokens = 1;
    Instant mRefilledAt;
    std::uint64_t mInProgress = 0;
    /** Highest mInProgress since the last CollectDemand. */
    std::uint64_t mPeakInProgress = 0;
    std::uint64_t mArrivals = 0;
    std::uint64_t mRefusedForConcurrency = 0;
  };

  double RateOf(const State& aState, Instant aNow) const;
  double ConcurrencyOf(const State& aState, Instant aNow) const;
  void Refill(State& aState, Instant aNow) const;

  std::size_t mDaemons = 1;
  Instant mDemandReportedAt;
  std::map<std::string, State> mWorkspaces;
};

} // namespace bulrushfold

#endif
