#ifndef BULRUSHFOLD_EMULATOR_KVTABLE_H
#define BULRUSHFOLD_EMULATOR_KVTABLE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "Emulator/EngineMessages.h"
#include "Emulator/EngineSettings.h"
#include "Net/EventLoop.h"

namespace bulrushfold {

/** What a KV cache in memory is waiting for or used by. */
enum class KvState
{
  Prefilling,
  Prefilled,
  Importing,
  Decoding,
  /** The answer is complete; only its tokens are kept. */
  Finished,
};

/** Name of aState in the list of holdings. */
std::string_view KvStateName(KvState aState);

/** One KV cache. */
struct KvEntry
{
  WorkId mWork;
  std::string mOwner;
  std::string mModel;
  std::string mPrompt;
  /** Tokens of the prompt and of the text generated before. */
  std::uint64_t mTokens = 0;
  std::uint64_t mPieces = 0;
  KvState mState = KvState::Prefilling;
  EventHandle mEviction;
};

/** Memory of an engine, handed out in pieces, and the KV caches in it. */
class KvTable
{
public:
  KvTable(EventLoop& aLoop,
          const EngineEmulatorSettings& aSettings,
          EngineCounts& aCounts);

  /** Takes memory for aEntry's tokens; empty when there is not enough. */
  std::optional<std::string> Add(KvEntry aEntry);
  /** Entry of handle aKv; null if there is none. */
  KvEntry* Find(const std::string& aKv);
  /** Handle of the entry of aWork; empty if there is none. */
  std::string FindWork(const WorkId& aWork) const;
  /** Grows an entry to aTokens; false when there is not enough memory. */
  bool Grow(const std::string& aKv, std::uint64_t aTokens);
  /** Gives the memory of an entry back and keeps the entry. */
  void Shrink(const std::string& aKv);
  /** Removes an entry; an unknown handle is ignored. */
  void Remove(const std::string& aKv);
  /** Removes the entry unless it is used within the eviction time. */
  void StartEviction(const std::string& aKv);
  void StopEviction(const std::string& aKv);

  std::uint64_t PiecesUsed() const { return mUsed; }
  const std::map<std::string, KvEntry>& Entries() const { return mEntries; }

private:
  EventLoop& mLoop;
  const EngineEmulatorSettings& mSettings;
  EngineCounts& mCounts;
  std::uint64_t mUsed = 0;
  std::uint64_t mNextHandle = 1;
  std::map<std::string, KvEntry> mEntries;
};

/** Pieces that aTokens tokens need. */
std::uint64_t PiecesOf(std::uint64_t aTokens);

} // namespace bulrushfold

#endif
