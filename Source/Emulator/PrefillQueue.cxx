#include "Emulator/PrefillQueue.h"

#include <algorithm>
#include <utility>

#include "Emulator/TokenSource.h"

namespace bulrushfold {

PrefillQueue::PrefillQueue(EventLoop& aLoop,
                           const EngineEmulatorSettings& aSettings,
                           KvTable& aTable,
                           CacheEvents& aEvents,
                           EngineCounts& aCounts,
                           std::function<void()> aCrash)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mTable(aTable)
  , mEvents(aEvents)
  , mCounts(aCounts)
  , mCrash(std::move(aCrash))
  , mCache(aSettings.mPrefixCacheTokens)
{
}

void
PrefillQueue::Add(const PrefillOrder& aOrder, const Call& aCall)
{
  if (AttachToExisting(aOrder, aCall)) {
    return;
  }
  KvEntry entry;
  entry.mWork = aOrder.mWork;
  entry.mOwner = aOrder.mOwner;
  entry.mModel = aOrder.mModel;
  entry.mPrompt = aOrder.mPrompt;
  entry.mTokens = CountTokens(aOrder.mPrompt) + CountTokens(aOrder.mGenerated);
  const auto kv = mTable.Add(std::move(entry));
  if (!kv) {
    aCall->ReplyProblem(HttpStatus::Unavailable, "no_memory", "no free pieces");
    return;
  }
  const auto first = mIsRunning ? std::next(mJobs.begin()) : mJobs.begin();
  const auto position = std::find_if(first, mJobs.end(), [&](const Job& aIt) {
    return aIt.mOrder.mPriority < aOrder.mPriority;
  });
  mJobs.insert(position, { aOrder, *kv, aCall, 0, {} });
  StartNext();
}

bool
PrefillQueue::AttachToExisting(const PrefillOrder& aOrder, const Call& aCall)
{
  for (auto& it : mJobs) {
    if (it.mOrder.mWork == aOrder.mWork) {
      it.mCall = aCall;
      return true;
    }
  }
  const std::string kv = mTable.FindWork(aOrder.mWork);
  const KvEntry* entry = mTable.Find(kv);
  if (entry == nullptr || entry->mState != KvState::Prefilled) {
    return false;
  }
  Job job;
  job.mKv = kv;
  job.mCall = aCall;
  job.mCachedTokens = entry->mTokens;
  Answer(job, entry->mTokens);
  return true;
}

void
PrefillQueue::StartNext()
{
  if (mIsRunning || mJobs.empty()) {
    return;
  }
  mIsRunning = true;
  Job& job = mJobs.front();
  if (mSettings.mCrashPoint == EngineCrashPoint::Prefill &&
      job.mOrder.mPrompt.find(kCrashMarker) != std::string::npos) {
    mCrash();
  }
  job.mHashes =
    PrefixHashes(job.mOrder.mModel, job.mOrder.mPrompt + job.mOrder.mGenerated);
  job.mCachedTokens = mCache.CachedTokens(job.mHashes);
  const std::uint64_t tokens = mTable.Find(job.mKv)->mTokens;
  const double computed =
    static_cast<double>(tokens - std::min(tokens, job.mCachedTokens));
  mTimer =
    mLoop.After(FromSeconds(computed / mSettings.mPrefillTokensPerSecond),
                [this] { FinishCurrent(); });
}

void
PrefillQueue::FinishCurrent()
{
  const Job job = std::move(mJobs.front());
  mJobs.pop_front();
  mIsRunning = false;
  KvEntry& entry = *mTable.Find(job.mKv);
  entry.mState = KvState::Prefilled;
  ++mCounts["prefills"];
  mCounts["prefill_tokens"] += entry.mTokens;
  mCounts["cached_tokens"] += job.mCachedTokens;
  for (const auto& it : mCache.Insert(job.mHashes)) {
    mEvents.Record(it);
  }
  mTable.StartEviction(job.mKv);
  Answer(job, entry.mTokens);
  StartNext();
}

void
PrefillQueue::Answer(const Job& aJob, std::uint64_t aTokens)
{
  aJob.mCall->ReplyJson(HttpStatus::Ok,
                        { { "kv", aJob.mKv },
                          { "prompt_tokens", aTokens },
                          { "cached_tokens", aJob.mCachedTokens },
                          { "pieces", PiecesOf(aTokens) } });
}

std::size_t
PrefillQueue::Cancel(const std::string& aRequest, std::uint64_t aAttempt)
{
  std::size_t n = 0;
  for (auto it = mJobs.begin(); it != mJobs.end();) {
    const WorkId& work = it->mOrder.mWork;
    if (work.mRequest != aRequest ||
        (aAttempt != 0 && work.mAttempt != aAttempt)) {
      ++it;
      continue;
    }
    if (mIsRunning && it == mJobs.begin()) {
      mIsRunning = false;
      mTimer = {};
    }
    it->mCall->ReplyProblem(HttpStatus::Conflict, "cancelled", "cancelled");
    mTable.Remove(it->mKv);
    it = mJobs.erase(it);
    ++n;
  }
  StartNext();
  return n;
}

} // namespace bulrushfold
