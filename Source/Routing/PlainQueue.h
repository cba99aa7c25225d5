#ifndef BULRUSHFOLD_ROUTING_PLAINQUEUE_H
#define BULRUSHFOLD_ROUTING_PLAINQUEUE_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Base/Clock.h"
#include "Routing/MovingAverage.h"
#include "Routing/PlacementTerms.h"
#include "Routing/PlainSelector.h"

namespace bulrushfold {

/** A plain request that needs an endpoint. */
struct PlainDemand
{
  /** Unique in the daemon that places the request. */
  std::uint64_t mNumber = 0;
  std::string mService;
  /** Endpoints of earlier attempts. */
  std::set<std::string> mAttempted;
  /** Only an endpoint without an earlier attempt helps. */
  bool mNeedsUntried = false;
  /** Time after which an answer is late. */
  Instant mTarget;
  PlacementTerms mTerms{};
};

/** Why a PlainDemand gets no endpoint. */
enum class PlainRefusalCause
{
  /** The daemon that places the request did not state a cause. */
  Unknown,
  /** No endpoint of the service is usable. */
  NoEndpoint,
  /** Those that wait before it need longer than the longest wait. */
  QueueFull,
  /** It would get a slot only after its target. */
  TargetTooNear,
  /** It has waited as long as it may. */
  WaitEnded,
};

std::string_view PlainRefusalCauseName(PlainRefusalCause aCause);

/** How the queue decided to refuse a PlainDemand. */
struct PlainRefusal
{
  PlainRefusalCause mCause = PlainRefusalCause::Unknown;
  /** Requests for the same service that waited before it. */
  std::uint32_t mAhead = 0;
  /** Time until its target; negative when the target has passed. */
  Duration mTargetLeft{};
  /** Time that it waited in the queue. */
  Duration mWaited{};
};

/** The answer to a PlainDemand. */
struct PlainGrant
{
  std::uint64_t mNumber = 0;
  /** Empty when no endpoint is available in time. */
  std::optional<EndpointChoice> mChoice;
  /** Set with an empty choice: when to retry; zero when it is unknown. */
  Duration mRetryAfter{};
  /** Daemon that chose; empty: this one. */
  std::string mPlacedBy;
  /** Set with an empty choice: the workspace has used up its quota. */
  bool mIsOverQuota = false;
  /** Set with an empty choice: the queue's reason. */
  PlainRefusal mRefusal{};
};

/**
 * Gives plain requests to endpoints. The daemon that places for a whole fleet
 * knows the load of each endpoint, so it gives an endpoint only as many
 * requests as it has slots, and a few that are on their way. In a burst the
 * others wait here for a short time, and the one whose wait ends first is
 * served first: its wait ends at its target, or after the longest wait. So a
 * request overtakes only those that may still wait when its target has passed,
 * and no target keeps the requests of a route from being served. A request that
 * would be late anyway, or whose wait would be too long, is refused at once. An
 * endpoint's own queue would serve them in the order of arrival, late or not,
 * and shed the rest.
 *
 * A daemon that places only for itself does not know the loads that well; it
 * sends each request to the least loaded endpoint without waiting.
 */
class PlainQueue
{
public:
  explicit PlainQueue(const PlainSelector& aSelector);

  /** True: this daemon places for the whole fleet. */
  void SetLimited(bool aIsLimited) { mIsLimited = aIsLimited; }
  /** Set when the demand is answered at once; otherwise it waits. */
  std::optional<PlainGrant> Submit(const PlainDemand& aDemand, Instant aNow);
  /** Removes a waiting demand. */
  void Withdraw(std::uint64_t aNumber);
  /** Answers to waiting demands, at a time when endpoints may have free slots
   * or demands have waited too long. The caller counts each granted request in
   * aOnGrant, before the next one is chosen. */
  void Dispatch(Instant aNow,
                const std::function<void(const PlainGrant&)>& aOnGrant);
  /** A request that was granted has ended after aElapsed. */
  void OnServed(const std::string& aService, Duration aElapsed);
  /** Time at which the next waiting demand is refused. */
  std::optional<Instant> NextWake() const;
  std::size_t WaitingCount() const { return mWaiting.size(); }

private:
  struct Waiting
  {
    PlainDemand mDemand;
    Instant mSince;
  };
  /** An endpoint for aDemand. aIsLimited: only one with a free slot. */
  std::optional<EndpointChoice> Choose(const PlainDemand& aDemand,
                                       bool aIsLimited,
                                       Instant aNow) const;
  /** True when some endpoint could serve aDemand, now or later. */
  bool HasEndpoint(const PlainDemand& aDemand, Instant aNow) const;
  /** Number of waiting demands for aService that are served before one whose
   * wait ends at aWaitEnd. */
  std::uint32_t CountAhead(const std::string& aService, Instant aWaitEnd) const;
  /** Time until aDemand, if it arrives now, gets a slot when all that wait
   * before it are served. */
  Duration ExpectedWait(const PlainDemand& aDemand, Instant aNow) const;
  /** Why aDemand may not wait; Unknown: it may. */
  PlainRefusalCause FindRefusalCause(const PlainDemand& aDemand,
                                     Instant aNow) const;
  /** aWaiting: the demand, with the time of its arrival. */
  PlainGrant Refuse(const Waiting& aWaiting,
                    PlainRefusalCause aCause,
                    Instant aNow) const;

  const PlainSelector& mSelector;
  bool mIsLimited = false;
  /** Waiting demands by the time at which their waits end. */
  std::multimap<Instant, Waiting> mWaiting;
  /** Time that a request occupies a slot, by service, in ms. */
  std::map<std::string, MovingAverage> mServiceTimes;
};

} // namespace bulrushfold

#endif
