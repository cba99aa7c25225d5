#include "Policy/FairQueue.h"

#include <algorithm>

namespace bulrushfold {

FairQueue::FairQueue(std::size_t aMaxSize)
  : mMaxSize(aMaxSize)
{
}

FairQueue::WorkspaceQueue&
FairQueue::QueueOf(const QueuedRequest& aRequest)
{
  const auto [it, isNew] = mQueues.try_emplace(aRequest.mWorkspace);
  WorkspaceQueue& queue = it->second;
  queue.mShare = aRequest.mShare;
  if (isNew) {
    queue.mStartTag = mVirtualTime;
    if (const auto savedTag = mSavedStartTags.find(aRequest.mWorkspace);
        savedTag != mSavedStartTags.end()) {
      queue.mStartTag = std::max(queue.mStartTag, savedTag->second);
      mSavedStartTags.erase(savedTag);
    }
  }
  return queue;
}

std::optional<QueuedRequest>
FairQueue::Push(const QueuedRequest& aRequest)
{
  if (mMaxSize == 0) {
    return aRequest;
  }
  WorkspaceQueue& queue = QueueOf(aRequest);
  queue.mRequests.push_back(aRequest);
  queue.mWaitingCost += aRequest.mCost;
  ++mSize;
  if (mSize <= mMaxSize) {
    return std::nullopt;
  }
  WorkspaceQueue* longest = LongestQueue();
  QueuedRequest removed = longest->mRequests.back();
  longest->mRequests.pop_back();
  longest->mWaitingCost -= removed.mCost;
  --mSize;
  EraseIfEmpty(mQueues.find(removed.mWorkspace));
  return removed;
}

void
FairQueue::PushFront(const QueuedRequest& aRequest)
{
  WorkspaceQueue& queue = QueueOf(aRequest);
  queue.mRequests.push_front(aRequest);
  queue.mWaitingCost += aRequest.mCost;
  queue.mStartTag -= aRequest.mCost / queue.mShare;
  ++mSize;
}

std::optional<QueuedRequest>
FairQueue::Pop()
{
  const auto next = std::min_element(
    mQueues.begin(), mQueues.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mStartTag < aRight.second.mStartTag;
    });
  if (next == mQueues.end()) {
    return std::nullopt;
  }
  WorkspaceQueue& queue = next->second;
  QueuedRequest request = queue.mRequests.front();
  queue.mRequests.pop_front();
  queue.mWaitingCost -= request.mCost;
  mVirtualTime = std::max(mVirtualTime, queue.mStartTag);
  queue.mStartTag += request.mCost / queue.mShare;
  --mSize;
  EraseIfEmpty(next);
  return request;
}

bool
FairQueue::Remove(const std::string& aRequest)
{
  for (auto queue = mQueues.begin(); queue != mQueues.end(); ++queue) {
    auto& requests = queue->second.mRequests;
    const auto it = std::find_if(
      requests.begin(), requests.end(), [&](const QueuedRequest& aItem) {
        return aItem.mRequest == aRequest;
      });
    if (it != requests.end()) {
      queue->second.mWaitingCost -= it->mCost;
      requests.erase(it);
      --mSize;
      EraseIfEmpty(queue);
      return true;
    }
  }
  return false;
}

std::vector<QueuedRequest>
FairQueue::RemoveExpired(Instant aNow)
{
  std::vector<QueuedRequest> expired;
  for (auto queue = mQueues.begin(); queue != mQueues.end();) {
    auto& requests = queue->second.mRequests;
    for (auto it = requests.begin(); it != requests.end();) {
      if (aNow < it->mExpires) {
        ++it;
        continue;
      }
      queue->second.mWaitingCost -= it->mCost;
      expired.push_back(*it);
      it = requests.erase(it);
      --mSize;
    }
    EraseIfEmpty(queue++);
  }
  return expired;
}

FairQueue::WorkspaceQueue*
FairQueue::LongestQueue()
{
  const auto it = std::max_element(
    mQueues.begin(), mQueues.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mWaitingCost / aLeft.second.mShare <
             aRight.second.mWaitingCost / aRight.second.mShare;
    });
  return &it->second;
}

void
FairQueue::EraseIfEmpty(WorkspaceQueues::iterator aQueue)
{
  if (!aQueue->second.mRequests.empty()) {
    return;
  }
  // Without the saved start tag, a workspace whose queue was empty for a moment
  // would be served before its turn.
  if (aQueue->second.mStartTag > mVirtualTime) {
    mSavedStartTags[aQueue->first] = aQueue->second.mStartTag;
  }
  mQueues.erase(aQueue);
  if (mQueues.empty()) {
    mSavedStartTags.clear();
    mVirtualTime = 0;
  }
}

} // namespace bulrushfold
