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

/** A request that waits for capacity. */
struct QueuedRequest
{
  std::string mRequest;
  std::string mWorkspace;
  /** Weight of the workspace; positive. */
  double mShare = 1;
  /** Work that the request needs; positive, in the same unit for all
   * requests. */
  double mCost = 1;
  /** The request is removed unserved at this time. */
  Instant mExpires;
};

/**
 * Bounded queue of requests that wait for capacity. Workspaces are served in
 * proportion to their shares (start-time fair queueing), and the requests of
 * one workspace in order of arrival. The only workspace in the queue receives
 * all capacity.
 */
class FairQueue
{
public:
  explicit FairQueue(std::size_t aMaxSize);

  void SetMaxSize(std::size_t aMaxSize) { mMaxSize = aMaxSize; }
  /**
   * Adds aRequest. When the queue is full, the newest request of the workspace
   * with the most waiting work per share is removed; it may be aRequest.
   * @return the removed request, if any.
   */
  std::optional<QueuedRequest> Push(const QueuedRequest& aRequest);
  /** Reinserts a popped request at the front of its workspace's queue,
   * regardless of the maximum size. */
  void PushFront(const QueuedRequest& aRequest);
  /** Removes and returns the next request in order. */
  std::optional<QueuedRequest> Pop();
  /** Removes aRequest; returns false when it was not in the queue. */
  bool Remove(const std::string& aRequest);
  /** Removes and returns all requests that expired by aNow. */
  std::vector<QueuedRequest> RemoveExpired(Instant aNow);

  std::size_t size() const { return mSize; }
  bool empty() const { return mSize == 0; }

private:
  struct WorkspaceQueue
  {
    std::deque<QueuedRequest> mRequests;
    double mShare = 1;
    double mWaitingCost = 0;
    /** Start tag of start-time fair queueing: the virtual time at which the
     * next request of the workspace starts. */
    double mStartTag = 0;
  };
  using WorkspaceQueues = std::map<std::string, WorkspaceQueue>;

  WorkspaceQueue& QueueOf(const QueuedRequest& aRequest);
  /** The workspace with the most waiting work per share. */
  WorkspaceQueue* LongestQueue();
  void EraseIfEmpty(WorkspaceQueues::iterator aQueue);

  std::size_t mMaxSize;
  std::size_t mSize = 0;
  double mVirtualTime = 0;
  WorkspaceQueues mQueues;
  /** Start tags, later than the virtual time, of workspaces without waiting
   * requests. */
  std::map<std::string, double> mSavedStartTags;
};

} // namespace bulrushfold

#endif
