#include "Emulator/KvTable.h"

#include <algorithm>
#include <utility>

#include "Base/EnumNames.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<KvState, 5> kStateNames{ {
  { KvState::Prefilling, "prefilling" },
  { KvState::Prefilled, "prefilled" },
  { KvState::Importing, "importing" },
  { KvState::Decoding, "decoding" },
  { KvState::Finished, "finished" },
} };
} // namespace

std::string_view
KvStateName(KvState aState)
{
  return FindEnumName(kStateNames, aState);
}

std::uint64_t
PiecesOf(std::uint64_t aTokens)
{
  return std::max<std::uint64_t>(
    1, (aTokens + kTokensPerPiece - 1) / kTokensPerPiece);
}

KvTable::KvTable(EventLoop& aLoop,
                 const EngineEmulatorSettings& aSettings,
                 EngineCounts& aCounts)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mCounts(aCounts)
{
}

std::optional<std::string>
KvTable::Add(KvEntry aEntry)
{
  aEntry.mPieces = PiecesOf(aEntry.mTokens);
  if (mUsedPieces + aEntry.mPieces > mSettings.mPieces) {
    ++mCounts["no_memory"];
    return std::nullopt;
  }
  mUsedPieces += aEntry.mPieces;
  const std::string kv = absl::StrCat("kv", mNextHandle++);
  mEntries[kv] = std::move(aEntry);
  return kv;
}

KvEntry*
KvTable::Find(const std::string& aKv)
{
  const auto it = mEntries.find(aKv);
  return it == mEntries.end() ? nullptr : &it->second;
}

std::string
KvTable::FindWork(const WorkId& aWork) const
{
  for (const auto& [kv, entry] : mEntries) {
    if (entry.mWork == aWork) {
      return kv;
    }
  }
  return "";
}

bool
KvTable::Grow(const std::string& aKv, std::uint64_t aTokens)
{
  KvEntry& entry = mEntries.at(aKv);
  const std::uint64_t required = std::max(entry.mPieces, PiecesOf(aTokens));
  if (mUsedPieces - entry.mPieces + required > mSettings.mPieces) {
    ++mCounts["no_memory"];
    return false;
  }
  mUsedPieces += required - entry.mPieces;
  entry.mPieces = required;
  return true;
}

void
KvTable::Shrink(const std::string& aKv)
{
  KvEntry& entry = mEntries.at(aKv);
  mUsedPieces -= std::exchange(entry.mPieces, 0);
}

void
KvTable::Remove(const std::string& aKv)
{
  if (const auto it = mEntries.find(aKv); it != mEntries.end()) {
    mUsedPieces -= it->second.mPieces;
    mEntries.erase(it);
  }
}

void
KvTable::StartEviction(const std::string& aKv)
{
  KvEntry& entry = mEntries.at(aKv);
  entry.mEviction = mLoop.After(mSettings.mEvictionTime, [this, aKv] {
    ++mCounts["evictions"];
    mCounts["wasted_prefill_tokens"] += mEntries.at(aKv).mTokens;
    Remove(aKv);
  });
}

void
KvTable::StopEviction(const std::string& aKv)
{
  mEntries.at(aKv).mEviction = {};
}

} // namespace bulrushfold
