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

/** Properties of an engine. */
struct EngineModel
{
  double mPrefillTokensPerSecond = 12000;
  Duration mPrefillOverhead = std::chrono::milliseconds(5);
  /** Time per token: base + slope x streams. */
  double mTokenBaseSeconds = 0.018;
  double mTokenSlopeSeconds = 0.001;
  std::uint64_t mSlots = 20;
  std::uint64_t mPieces = 120;
  double mBytesPerToken = 100e3;
  Duration mEvictAfter = std::chrono::milliseconds(800);
  /** Cached prefixes. */
  std::size_t mCacheEntries = 64;

  double TokenSeconds(std::size_t aStreams) const
  {
    return mTokenBaseSeconds +
           mTokenSlopeSeconds * static_cast<double>(aStreams);
  }
};

/** One piece of work for an engine. */
struct EngineWork
{
  std::string mRequest;
  std::uint32_t mAttempt = 0;
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mMaxTokens = 0;
  /** Tokens that the answer will have. */
  std::uint64_t mOutputTokens = 0;
  std::vector<PromptPrefix> mPrefixes;
  int mPriority = 0;
};

/**
 * A model engine with continuous batching. Computes one prompt at a time, by
 * priority and arrival; memory is taken when work is accepted.
 */
class FakeEngine
{
public:
  using FailHook = std::function<void(FailureKind)>;

  FakeEngine(EventQueue& aEvents,
             FakeLinks& aLinks,
             const Endpoint& aEndpoint,
             const EngineModel& aModel);

  void Prefill(const EngineWork& aWork,
               std::function<void(std::uint64_t aCached)> aDone,
               FailHook aFailed);
  /** Moves the cache of aWork from aSource to this engine. */
  void Import(const EngineWork& aWork,
              FakeEngine& aSource,
              const std::function<void(double aBytes)>& aDone,
              const FailHook& aFailed);
  void Decode(const EngineWork& aWork,
              std::function<void()> aFirst,
              std::function<void()> aFinished,
              FailHook aFailed);
  void Cancel(const std::string& aRequest, std::uint32_t aAttempt);
  /** Loses all work and refuses new work for aSpan. */
  void Crash(Duration aSpan);

  const Endpoint& Config() const { return mEndpoint; }
  LoadReport Load() const;
  /** Cache events since the last call. */
  std::vector<CacheEvent> TakeEvents();
  /** Prompt tokens computed, and the part that a decode started from. */
  double ComputedTokens() const { return mComputed; }
  double UsedTokens() const { return mUsed; }

private:
  using Key = std::pair<std::string, std::uint32_t>;
  struct Prefilling
  {
    EngineWork mWork;
    std::function<void(std::uint64_t)> mDone;
    FailHook mFailed;
  };
  struct Cache
  {
    std::uint64_t mPieces = 0;
    double mComputedTokens = 0;
    bool mIsReady = false;
    /** Read by a transfer or used by a decode; not evicted. */
    bool mIsPinned = false;
  };
  struct Stream
  {
    EngineWork mWork;
    std::function<void()> mFirst;
    std::function<void()> mFinished;
    FailHook mFailed;
    /** Progress at which the next event of the stream is due. */
    double mDue = 0;
    bool mHasFirst = false;
  };

  bool Take(const Key& aKey, std::uint64_t aPieces);
  void Free(const Key& aKey);
  void NextPrefill();
  void FinishPrefill();
  /** Frees an unused cache after the engine's eviction time. */
  void EvictLater(const Key& aKey);
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
  std::uint64_t mLife = 0;
  Instant mDownUntil;
  std::uint64_t mPiecesUsed = 0;
  std::map<Key, Cache> mCaches;
  std::map<int, std::deque<Prefilling>, std::greater<>> mWaiting;
  std::size_t mQueued = 0;
  bool mIsComputing = false;
  Prefilling mCurrent;
  std::uint64_t mCurrentCached = 0;
  std::uint64_t mPrefillTurn = 0;
  std::map<Key, Stream> mStreams;
  double mProgress = 0;
  Instant mProgressAt;
  std::uint64_t mStreamTurn = 0;
  std::list<std::uint64_t> mPrefixOrder;
  std::set<std::uint64_t> mPrefixes;
  std::vector<CacheEvent> mCacheEvents;
  std::uint64_t mNextEvent = 0;
  double mComputed = 0;
  double mUsed = 0;
};

} // namespace bulrushfold

#endif
