#ifndef BULRUSHFOLD_POLICY_FAIRQUEUE_H
#define BULRUSHFOLD_POLICY_FAIRQUEUE_H

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"

namespace bulrushfold {

/** A waiting request. */
struct QueuedRequest
{
  std::string mRequest;
  std::string mWorkspace;
  /** Weight of the workspace; positive. */
  double mShare = 1;
  /** Work that the request needs; positive, in any one unit. */
  double mCost = 1;
  /** It leaves the queue unserved at this time. */
  Instant mExpires;
};

/**
 * Bounded wait for capacity. Workspaces take turns in proportion to their
 * shares (start-time fair queueing); within a workspace the order is that of
 * arrival. A workspace alone in the queue gets everything.
 */
class FairQueue
{
public:
  explicit FairQueue(std::size_t aMaxSize);

  void SetMaxSize(std::size_t aMaxSize) { mMaxSize = aMaxSize; }
  /**
   * Adds aRequest. When the queue is full, the newest request of the workspace
   * with the most waiting work per share makes room; that may be aRequest.
   * @return the request that has no place, if any.
   */
  std::optional<QueuedRequest> Push(const QueuedRequest& aRequest);
  /** Puts a popped request back in front of its workspace, without limit. */
  void PutBack(const QueuedRequest& aRequest);
  /** Removes the next request in order. */
  std::optional<QueuedRequest> Pop();
  /** True when aRequest was waiting and is removed. */
  bool Remove(const std::string& aRequest);
  /** Removes and returns all requests that expired by aNow. */
  std::vector<QueuedRequest> TakeExpired(Instant aNow);

  std::size_t size() const { return mSize; }
  bool empty() const { return mSize == 0; }

private:
  struct Lane
  {
    std::deque<QueuedRequest> mRequests;
    double mShare = 1;
    double mWaitingCost = 0;
    /** Virtual time at which the next request of the lane starts. */
    double mStart = 0;
  };
  using Lanes = std::map<std::string, Lane>;

  Lane& LaneOf(const QueuedRequest& aRequest);
  /** The lane with the most waiting work per share. */
  Lane* LongestLane();
  void EraseIfEmpty(Lanes::iterator aLane);

  std::size_t mMaxSize;
  std::size_t mSize = 0;
  double mVirtualTime = 0;
  Lanes mLanes;
  /** Start times of lanes that left while ahead of the virtual time. */
  std::map<std::string, double> mDebts;
};

} // namespace bulrushfold

#endif
