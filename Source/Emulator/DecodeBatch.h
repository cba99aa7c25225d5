#ifndef BULRUSHFOLD_EMULATOR_DECODEBATCH_H
#define BULRUSHFOLD_EMULATOR_DECODEBATCH_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Base/Clock.h"
#include "Emulator/EmulatorCall.h"
#include "Emulator/EngineMessages.h"
#include "Emulator/EngineSettings.h"
#include "Emulator/KvTable.h"
#include "Emulator/TokenSource.h"
#include "Net/EventLoop.h"

namespace bulrushfold {

/**
 * Streams that an engine decodes together. Every step of the batch adds one
 * token to each stream, and the interval between steps grows with the number of
 * streams.
 */
class DecodeBatch
{
public:
  using Call = std::shared_ptr<EmulatorCall>;

  DecodeBatch(EventLoop& aLoop,
              const Clock& aClock,
              const EngineEmulatorSettings& aSettings,
              KvTable& aTable,
              EngineCounts& aCounts,
              std::function<void()> aCrash);

  /** Answers POST /engine/decode, which starts or resumes a stream. */
  void Handle(const DecodeOrder& aOrder, const Call& aCall);
  /** Ends the streams of aRequest; aAttempt 0 means all attempts. */
  std::size_t Cancel(const std::string& aRequest, std::uint64_t aAttempt);
  /** Streams that occupy a slot. */
  std::size_t Running() const { return mRunning; }
  /** All streams, with the offset of their next token. */
  nlohmann::json Status() const;

private:
  struct Stream
  {
    Stream(TokenSource aTokens)
      : mTokens(std::move(aTokens))
    {
    }
    std::string mKv;
    TokenSource mTokens;
    Call mCall;
    /** Tokens generated so far, which is the offset of the next one. */
    std::uint64_t mGeneratedTokens = 0;
    /** Tokens written to the current connection. */
    std::uint64_t mSentTokens = 0;
    std::uint64_t mMaxTokens = 0;
    bool mIsEnded = false;
    EventHandle mResumeTimer;
  };

  /**
   * Returns the KV cache of a new stream after it checked for a free slot and
   * allocated memory for the answer. Otherwise answers the call with a problem
   * and returns null.
   */
  KvEntry* AcquireKv(const DecodeOrder& aOrder, const Call& aCall);
  void Start(const DecodeOrder& aOrder, const Call& aCall);
  void Attach(const WorkId& aWork,
              Stream& aStream,
              const Call& aCall,
              std::uint64_t aOffset);
  void HandleClosed(const WorkId& aWork, const EmulatorCall* aCall);
  /** Removes the stream unless it is resumed within the resume timeout. */
  void StartResumeTimer(const WorkId& aWork, Stream& aStream);
  void Remove(const WorkId& aWork);
  Duration StepInterval() const;
  void ScheduleStep();
  void Step();
  void AddToken(Stream& aStream);
  /** Sends the tokens not sent yet and, when all are sent, the final event. */
  void Flush(const WorkId& aWork, Stream& aStream);

  EventLoop& mLoop;
  const Clock& mClock;
  const EngineEmulatorSettings& mSettings;
  KvTable& mTable;
  EngineCounts& mCounts;
  std::function<void()> mCrash;
  std::map<WorkId, Stream> mStreams;
  std::size_t mRunning = 0;
  bool mIsScheduled = false;
  Instant mStepAt;
  EventHandle mStepTimer;
};

} // namespace bulrushfold

#endif
