#include "Policy/FairQueue.h"

#include <algorithm>

namespace bulrushfold {

FairQueue::FairQueue(std::size_t aMaxSize)
  : mMaxSize(aMaxSize)
{
}

FairQueue::Lane&
FairQueue::LaneOf(const QueuedRequest& aRequest)
{
  const auto [it, isNew] = mLanes.try_emplace(aRequest.mWorkspace);
  Lane& lane = it->second;
  lane.mShare = aRequest.mShare;
  if (isNew) {
    lane.mStart = mVirtualTime;
    if (const auto debt = mDebts.find(aRequest.mWorkspace);
        debt != mDebts.end()) {
      lane.mStart = std::max(lane.mStart, debt->second);
      mDebts.erase(debt);
    }
  }
  return lane;
}

std::optional<QueuedRequest>
FairQueue::Push(const QueuedRequest& aRequest)
{
  if (mMaxSize == 0) {
    return aRequest;
  }
  Lane& lane = LaneOf(aRequest);
  lane.mRequests.push_back(aRequest);
  lane.mWaitingCost += aRequest.mCost;
  ++mSize;
  if (mSize <= mMaxSize) {
    return std::nullopt;
  }
  Lane* longest = LongestLane();
  QueuedRequest removed = longest->mRequests.back();
  longest->mRequests.pop_back();
  longest->mWaitingCost -= removed.mCost;
  --mSize;
  EraseIfEmpty(mLanes.find(removed.mWorkspace));
  return removed;
}

void
FairQueue::PutBack(const QueuedRequest& aRequest)
{
  Lane& lane = LaneOf(aRequest);
  lane.mRequests.push_front(aRequest);
  lane.mWaitingCost += aRequest.mCost;
  lane.mStart -= aRequest.mCost / lane.mShare;
  ++mSize;
}

std::optional<QueuedRequest>
FairQueue::Pop()
{
  const auto next = std::min_element(
    mLanes.begin(), mLanes.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mStart < aRight.second.mStart;
    });
  if (next == mLanes.end()) {
    return std::nullopt;
  }
  Lane& lane = next->second;
  QueuedRequest request = lane.mRequests.front();
  lane.mRequests.pop_front();
  lane.mWaitingCost -= request.mCost;
  mVirtualTime = std::max(mVirtualTime, lane.mStart);
  lane.mStart += request.mCost / lane.mShare;
  --mSize;
  EraseIfEmpty(next);
  return request;
}

bool
FairQueue::Remove(const std::string& aRequest)
{
  for (auto lane = mLanes.begin(); lane != mLanes.end(); ++lane) {
    auto& requests = lane->second.mRequests;
    const auto it = std::find_if(
      requests.begin(), requests.end(), [&](const QueuedRequest& aItem) {
        return aItem.mRequest == aRequest;
      });
    if (it != requests.end()) {
      lane->second.mWaitingCost -= it->mCost;
      requests.erase(it);
      --mSize;
      EraseIfEmpty(lane);
      return true;
    }
  }
  return false;
}

std::vector<QueuedRequest>
FairQueue::TakeExpired(Instant aNow)
{
  std::vector<QueuedRequest> expired;
  for (auto lane = mLanes.begin(); lane != mLanes.end();) {
    auto& requests = lane->second.mRequests;
    for (auto it = requests.begin(); it != requests.end();) {
      if (aNow < it->mExpires) {
        ++it;
        continue;
      }
      lane->second.mWaitingCost -= it->mCost;
      expired.push_back(*it);
      it = requests.erase(it);
      --mSize;
    }
    EraseIfEmpty(lane++);
  }
  return expired;
}

FairQueue::Lane*
FairQueue::LongestLane()
{
  const auto it = std::max_element(
    mLanes.begin(), mLanes.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mWaitingCost / aLeft.second.mShare <
             aRight.second.mWaitingCost / aRight.second.mShare;
    });
  return &it->second;
}

void
FairQueue::EraseIfEmpty(Lanes::iterator aLane)
{
  if (!aLane->second.mRequests.empty()) {
    return;
  }
  // Without the saved start tag, a workspace whose queue was empty for a moment
  // would be served before its turn.
  if (aLane->second.mStart > mVirtualTime) {
    mDebts[aLane->first] = aLane->second.mStart;
  }
  mLanes.erase(aLane);
  if (mLanes.empty()) {
    mDebts.clear();
    mVirtualTime = 0;
  }
}

} // namespace bulrushfold
