#ifndef BULRUSHFOLD_BENCH_FAKEENGINE_H
#define BULRUSHFOLD_BENCH_FAKEENGINE_H

#include <deque>
#include <list>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "Bench/EventQueue.h"
#include "Bench/FakeLinks.h"
#include "Policy/PolicyTypes.h"
#include "Policy/PrefixIndex.h"

namespace bulrushfold {

/** Speed, memory and timing of an engine. */
struct EngineModel
{
  double mPrefillTokensPerSecond = 12000;
  Duration mPrefillOverhead = std::chrono::milliseconds(5);
  /** Time per token = base + slope x number of streams. */
  double mTokenBaseSeconds = 0.018;
  double mTokenSlopeSeconds = 0.001;
  std::uint64_t mSlots = 20;
  std::uint64_t mPieces = 120;
  double mBytesPerToken = 100e3;
  Duration mEvictAfter = std::chrono::milliseconds(800);
  /** Maximum number of cached prefixes. */
  std::size_t mCacheEntries = 64;

  double TokenSeconds(std::size_t aStreams) const
  {
    return mTokenBaseSeconds +
           mTokenSlopeSeconds * static_cast<double>(aStreams);
  }
};

/** Work of one attempt of a request. */
struct EngineWork
{
  std::string mRequest;
  std::uint32_t mAttempt = 0;
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mMaxTokens = 0;
  /** Length of the answer; routers do not know it in advance. */
  std::uint64_t mOutputTokens = 0;
  std::vector<PromptPrefix> mPrefixes;
  int mPriority = 0;
};

/**
 * A simulated model engine with continuous batching. It computes one prompt at
 * a time, by priority, then by arrival. It allocates memory when it accepts
 * work.
 */
class FakeEngine
{
public:
  using FailureHook = std::function<void(FailureKind)>;

  FakeEngine(EventQueue& aEvents,
             FakeLinks& aLinks,
             const Endpoint& aEndpoint,
             const EngineModel& aModel);

  void Prefill(const EngineWork& aWork,
               std::function<void(std::uint64_t aCached)> aOnDone,
               FailureHook aOnFailed);
  /** Moves the KV cache of aWork from aSource to this engine. */
  void Import(const EngineWork& aWork,
              FakeEngine& aSource,
              const std::function<void(double aBytes)>& aOnDone,
              const FailureHook& aOnFailed);
  void Decode(const EngineWork& aWork,
              std::function<void()> aOnFirstToken,
              std::function<void()> aOnFinished,
              FailureHook aOnFailed);
  void Cancel(const std::string& aRequest, std::uint32_t aAttempt);
  /** Drops all work and refuses new work for aSpan. */
  void Crash(Duration aSpan);

  const Endpoint& Config() const { return mEndpoint; }
  LoadReport Load() const;
  /** Cache events since the last call. */
  std::vector<CacheEvent> ConsumeCacheEvents();
  /** Prompt tokens computed, and those of them that a decode used. */
  double ComputedTokens() const { return mTotalComputedTokens; }
  double UsedTokens() const { return mTotalUsedTokens; }

private:
  using Key = std::pair<std::string, std::uint32_t>;
  struct Prefilling
  {
    EngineWork mWork;
    std::function<void(std::uint64_t)> mOnDone;
    FailureHook mOnFailed;
  };
  struct Cache
  {
    std::uint64_t mPieces = 0;
    double mComputedTokens = 0;
    bool mIsReady = false;
    /** True while a transfer or decode uses the cache; prevents eviction. */
    bool mIsPinned = false;
  };
  struct Stream
  {
    EngineWork mWork;
    std::function<void()> mOnFirstToken;
    std::function<void()> mOnFinished;
    FailureHook mOnFailed;
    /** Value of mProgress at which the next event of the stream is due. */
    double mDue = 0;
    bool mHasFirstToken = false;
  };

  bool Allocate(const Key& aKey, std::uint64_t aPieces);
  void Free(const Key& aKey);
  void StartNextPrefill();
  void FinishPrefill();
  /** Frees the cache after the eviction time unless it is pinned then. */
  void ScheduleEviction(const Key& aKey);
  void Unpin(const Key& aKey);
  std::uint64_t CachedTokens(const EngineWork& aWork) const;
  void StorePrefixes(const EngineWork& aWork);
  void Advance();
  void ScheduleStreams();
  void RunStreams();

  EventQueue& mEvents;
  FakeLinks& mLinks;
  Endpoint mEndpoint;
  EngineModel mModel;
  /** Number of crashes; events from before a crash are ignored. */
  std::uint64_t mIncarnation = 0;
  Instant mDownUntil;
  std::uint64_t mPiecesUsed = 0;
  std::map<Key, Cache> mCaches;
  std::map<int, std::deque<Prefilling>, std::greater<>> mWaiting;
  std::size_t mQueued = 0;
  bool mIsComputing = false;
  Prefilling mCurrent;
  std::uint64_t mCurrentCached = 0;
  std::uint64_t mPrefillGeneration = 0;
  std::map<Key, Stream> mStreams;
  /** Decode steps of the batch so far. */
  double mProgress = 0;
  Instant mProgressAt;
  std::uint64_t mStreamGeneration = 0;
  std::list<std::uint64_t> mPrefixOrder;
  std::set<std::uint64_t> mPrefixes;
  std::vector<CacheEvent> mCacheEvents;
  std::uint64_t mNextEvent = 0;
  double mTotalComputedTokens = 0;
  double mTotalUsedTokens = 0;
};

} // namespace bulrushfold

#endif
