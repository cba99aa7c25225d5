#include "Bench/FakeEngine.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
// Factor by which decode steps take longer while the engine computes a prompt.
constexpr double kPrefillInterference = 1.4;
} // namespace

FakeEngine::FakeEngine(EventQueue& aEvents,
                       FakeLinks& aLinks,
                       const Endpoint& aEndpoint,
                       const EngineModel& aModel)
  : mEvents(aEvents)
  , mLinks(aLinks)
  , mEndpoint(aEndpoint)
  , mModel(aModel)
  , mProgressAt(aEvents.Now())
{
}

bool
FakeEngine::Allocate(const Key& aKey, std::uint64_t aPieces)
{
  if (mPiecesUsed + aPieces > mModel.mPieces) {
    return false;
  }
  mPiecesUsed += aPieces;
  mCaches[aKey].mPieces = aPieces;
  return true;
}

void
FakeEngine::Free(const Key& aKey)
{
  if (const auto it = mCaches.find(aKey); it != mCaches.end()) {
    mPiecesUsed -= it->second.mPieces;
    mCaches.erase(it);
  }
}

void
FakeEngine::Prefill(const EngineWork& aWork,
                    std::function<void(std::uint64_t)> aOnDone,
                    FailureHook aOnFailed)
{
  if (mEvents.Now() < mDownUntil) {
    aOnFailed(FailureKind::Lost);
    return;
  }
  if (!Allocate({ aWork.mRequest, aWork.mAttempt },
                PieceCount(aWork.mPromptTokens))) {
    aOnFailed(FailureKind::NoMemory);
    return;
  }
  mWaiting[aWork.mPriority].push_back(
    { aWork, std::move(aOnDone), std::move(aOnFailed) });
  ++mQueued;
  StartNextPrefill();
}

void
FakeEngine::StartNextPrefill()
{
  if (mIsComputing || mQueued == 0) {
    return;
  }
  for (auto& [priority, queue] : mWaiting) {
    if (!queue.empty()) {
      mCurrent = std::move(queue.front());
      queue.pop_front();
      break;
    }
  }
  Advance();
  mIsComputing = true;
  ScheduleStreams();
  mCurrentCached = CachedTokens(mCurrent.mWork);
  const auto computed =
    static_cast<double>(mCurrent.mWork.mPromptTokens - mCurrentCached);
  mEvents.After(mModel.mPrefillOverhead +
                  FromSeconds(computed / mModel.mPrefillTokensPerSecond),
                [this, generation = ++mPrefillGeneration] {
                  if (generation == mPrefillGeneration) {
                    FinishPrefill();
                  }
                });
}

void
FakeEngine::FinishPrefill()
{
  const Prefilling done = std::move(mCurrent);
  const Key key{ done.mWork.mRequest, done.mWork.mAttempt };
  Advance();
  mIsComputing = false;
  ScheduleStreams();
  --mQueued;
  const auto computed =
    static_cast<double>(done.mWork.mPromptTokens - mCurrentCached);
  mTotalComputedTokens += computed;
  StorePrefixes(done.mWork);
  // A prefill that was cancelled while it ran has no KV cache.
  if (const auto it = mCaches.find(key); it != mCaches.end()) {
    it->second.mIsReady = true;
    it->second.mComputedTokens = computed;
    ScheduleEviction(key);
    done.mOnDone(mCurrentCached);
  }
  StartNextPrefill();
}

void
FakeEngine::ScheduleEviction(const Key& aKey)
{
  mEvents.After(mModel.mEvictAfter, [this, aKey, incarnation = mIncarnation] {
    const auto it = mCaches.find(aKey);
    if (incarnation == mIncarnation && it != mCaches.end() &&
        !it->second.mIsPinned) {
      Free(aKey);
    }
  });
}

void
FakeEngine::Unpin(const Key& aKey)
{
  if (const auto it = mCaches.find(aKey); it != mCaches.end()) {
    it->second.mIsPinned = false;
    ScheduleEviction(aKey);
  }
}

std::uint64_t
FakeEngine::CachedTokens(const EngineWork& aWork) const
{
  std::uint64_t cached = 0;
  for (const auto& it : aWork.mPrefixes) {
    if (mPrefixes.count(it.mHash) > 0) {
      cached = it.mTokens;
    }
  }
  return std::min(cached, aWork.mPromptTokens - 1);
}

void
FakeEngine::StorePrefixes(const EngineWork& aWork)
{
  for (const auto& it : aWork.mPrefixes) {
    if (!mPrefixes.insert(it.mHash).second) {
      mPrefixOrder.remove(it.mHash);
    } else {
      mCacheEvents.push_back({ mNextEvent++, true, it.mHash, it.mTokens });
    }
    mPrefixOrder.push_front(it.mHash);
  }
  while (mPrefixOrder.size() > mModel.mCacheEntries) {
    mCacheEvents.push_back({ mNextEvent++, false, mPrefixOrder.back(), 0 });
    mPrefixes.erase(mPrefixOrder.back());
    mPrefixOrder.pop_back();
  }
}

std::vector<CacheEvent>
FakeEngine::ConsumeCacheEvents()
{
  return std::exchange(mCacheEvents, {});
}

void
FakeEngine::Import(const EngineWork& aWork,
                   FakeEngine& aSource,
                   const std::function<void(double)>& aOnDone,
                   const FailureHook& aOnFailed)
{
  const Key key{ aWork.mRequest, aWork.mAttempt };
  if (mEvents.Now() < mDownUntil) {
    aOnFailed(FailureKind::Lost);
    return;
  }
  const auto cache = aSource.mCaches.find(key);
  if (cache == aSource.mCaches.end() || !cache->second.mIsReady) {
    aOnFailed(FailureKind::Evicted);
    return;
  }
  if (mCaches.count(key) > 0 ||
      !Allocate(key, PieceCount(aWork.mPromptTokens + aWork.mMaxTokens))) {
    aOnFailed(FailureKind::NoMemory);
    return;
  }
  // A KV cache is not evicted during its transfer.
  cache->second.mIsPinned = true;
  const double bytes =
    mModel.mBytesPerToken * static_cast<double>(aWork.mPromptTokens);
  mLinks.Transfer(
    aSource.mEndpoint.mLink,
    mEndpoint.mLink,
    bytes,
    [this,
     key,
     bytes,
     aOnDone,
     aOnFailed,
     incarnation = mIncarnation,
     source = &aSource](bool aIsDone) {
      const auto target = mCaches.find(key);
      if (incarnation != mIncarnation) {
        source->Unpin(key);
        aOnFailed(FailureKind::Lost);
        return;
      }
      if (target == mCaches.end()) {
        source->Unpin(key);
        return; // Cancelled.
      }
      const auto from = source->mCaches.find(key);
      if (!aIsDone || from == source->mCaches.end()) {
        Free(key);
        source->Unpin(key);
        aOnFailed(aIsDone ? FailureKind::Evicted : FailureKind::Stalled);
        return;
      }
      target->second.mComputedTokens = from->second.mComputedTokens;
      target->second.mIsReady = true;
      source->Free(key);
      aOnDone(bytes);
    });
}

void
FakeEngine::Decode(const EngineWork& aWork,
                   std::function<void()> aOnFirstToken,
                   std::function<void()> aOnFinished,
                   FailureHook aOnFailed)
{
  const Key key{ aWork.mRequest, aWork.mAttempt };
  if (mEvents.Now() < mDownUntil) {
    aOnFailed(FailureKind::Lost);
    return;
  }
  const auto cache = mCaches.find(key);
  if (cache == mCaches.end() || !cache->second.mIsReady) {
    aOnFailed(FailureKind::Evicted);
    return;
  }
  if (mStreams.size() >= mModel.mSlots) {
    aOnFailed(FailureKind::NoSlot);
    return;
  }
  mTotalUsedTokens += std::exchange(cache->second.mComputedTokens, 0);
  cache->second.mIsPinned = true;
  Advance();
  Stream stream{ aWork,
                 std::move(aOnFirstToken),
                 std::move(aOnFinished),
                 std::move(aOnFailed) };
  stream.mDue = mProgress + 1;
  mStreams[key] = std::move(stream);
  ScheduleStreams();
}

void
FakeEngine::Advance()
{
  const double seconds = ToSeconds(mEvents.Now() - mProgressAt);
  mProgressAt = mEvents.Now();
  if (!mStreams.empty()) {
    const double step = mModel.TokenSeconds(mStreams.size()) *
                        (mIsComputing ? kPrefillInterference : 1.0);
    mProgress += seconds / step;
  }
}

void
FakeEngine::ScheduleStreams()
{
  ++mStreamGeneration;
  if (mStreams.empty()) {
    return;
  }
  double due = mStreams.begin()->second.mDue;
  for (const auto& [key, stream] : mStreams) {
    due = std::min(due, stream.mDue);
  }
  const double step = mModel.TokenSeconds(mStreams.size()) *
                      (mIsComputing ? kPrefillInterference : 1.0);
  const Duration wait = FromSeconds(std::max(0.0, due - mProgress) * step);
  mEvents.After(wait + Duration(1), [this, generation = mStreamGeneration] {
    if (generation == mStreamGeneration) {
      RunStreams();
    }
  });
}

void
FakeEngine::RunStreams()
{
  Advance();
  std::vector<std::function<void()>> hooks;
  for (auto it = mStreams.begin(); it != mStreams.end();) {
    Stream& stream = it->second;
    if (stream.mDue > mProgress) {
      ++it;
      continue;
    }
    if (!stream.mHasFirstToken) {
      stream.mHasFirstToken = true;
      hooks.push_back(stream.mOnFirstToken);
      stream.mDue +=
        std::max(0.0, static_cast<double>(stream.mWork.mOutputTokens) - 1);
      ++it;
      continue;
    }
    hooks.push_back(stream.mOnFinished);
    Free(it->first);
    it = mStreams.erase(it);
  }
  ScheduleStreams();
  for (const auto& hook : hooks) {
    hook();
  }
}

void
FakeEngine::Cancel(const std::string& aRequest, std::uint32_t aAttempt)
{
  const Key key{ aRequest, aAttempt };
  for (auto& [priority, queue] : mWaiting) {
    const auto it =
      std::find_if(queue.begin(), queue.end(), [&](const Prefilling& aItem) {
        return Key{ aItem.mWork.mRequest, aItem.mWork.mAttempt } == key;
      });
    if (it != queue.end()) {
      queue.erase(it);
      --mQueued;
      break;
    }
  }
  Free(key);
  if (mStreams.count(key) > 0) {
    Advance();
    mStreams.erase(key);
    ScheduleStreams();
  }
}

void
FakeEngine::Crash(Duration aSpan)
{
  std::vector<FailureHook> hooks;
  for (auto& [priority, queue] : mWaiting) {
    for (const auto& it : queue) {
      hooks.push_back(it.mOnFailed);
    }
    queue.clear();
  }
  if (mIsComputing) {
    hooks.push_back(mCurrent.mOnFailed);
  }
  for (const auto& [key, stream] : mStreams) {
    hooks.push_back(stream.mOnFailed);
  }
  ++mIncarnation;
  ++mPrefillGeneration;
  ++mStreamGeneration;
  mDownUntil = mEvents.Now() + aSpan;
  mQueued = 0;
  mIsComputing = false;
  mStreams.clear();
  mCaches.clear();
  mPrefixes.clear();
  mPrefixOrder.clear();
  mPiecesUsed = 0;
  for (const auto& hook : hooks) {
    hook(FailureKind::Lost);
  }
}

LoadReport
FakeEngine::Load() const
{
  LoadReport report;
  report.mRunning = mStreams.size();
  report.mQueued = mQueued;
  report.mSlots = mModel.mSlots;
  report.mPiecesTotal = mModel.mPieces;
  report.mPiecesUsed = mPiecesUsed;
  return report;
}

} // namespace bulrushfold
