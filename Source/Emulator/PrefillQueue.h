#ifndef BULRUSHFOLD_EMULATOR_PREFILLQUEUE_H
#define BULRUSHFOLD_EMULATOR_PREFILLQUEUE_H

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "Emulator/CacheEvents.h"
#include "Emulator/EmulatorCall.h"
#include "Emulator/EngineMessages.h"
#include "Emulator/EngineSettings.h"
#include "Emulator/KvTable.h"
#include "Emulator/PrefixCache.h"
#include "Net/EventLoop.h"

namespace bulrushfold {

/** Queue of prefills; runs one at a time, by priority, then by arrival. */
class PrefillQueue
{
public:
  using Call = std::shared_ptr<EmulatorCall>;

  PrefillQueue(EventLoop& aLoop,
               const EngineEmulatorSettings& aSettings,
               KvTable& aTable,
               CacheEvents& aEvents,
               EngineCounts& aCounts,
               std::function<void()> aCrash);

  /** Queues a prefill, or answers at once when its result already exists. */
  void Add(const PrefillOrder& aOrder, const Call& aCall);
  /** Ends the prefills of aRequest; aAttempt 0 means all attempts. */
  std::size_t Cancel(const std::string& aRequest, std::uint64_t aAttempt);
  /** Number of prefills that wait or run. */
  std::size_t Size() const { return mJobs.size(); }

private:
  struct Job
  {
    PrefillOrder mOrder;
    std::string mKv;
    Call mCall;
    std::uint64_t mCachedTokens = 0;
    std::vector<std::uint64_t> mHashes;
  };
  using Jobs = std::list<Job>;

  /**
   * Answers aCall with the result of an earlier prefill of the same work, or
   * attaches aCall to the prefill in the queue. False if there is neither.
   */
  bool AttachToExisting(const PrefillOrder& aOrder, const Call& aCall);
  void StartNext();
  void FinishCurrent();
  void Answer(const Job& aJob, std::uint64_t aTokens);

  EventLoop& mLoop;
  const EngineEmulatorSettings& mSettings;
  KvTable& mTable;
  CacheEvents& mEvents;
  EngineCounts& mCounts;
  std::function<void()> mCrash;
  PrefixCache mCache;
  /** The running prefill is first; the others follow by priority. */
  Jobs mJobs;
  bool mIsRunning = false;
  EventHandle mTimer;
};

} // namespace bulrushfold

#endif
