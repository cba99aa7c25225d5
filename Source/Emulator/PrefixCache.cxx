#include "Emulator/PrefixCache.h"

#include "Base/Digest.h"
#include "Emulator/TokenSource.h"

namespace bulrushfold {

namespace {
constexpr std::uint64_t kTokensPerBlock = kPrefixBlockBytes / 4;
} // namespace

std::vector<std::uint64_t>
PrefixHashes(std::string_view aModel, std::string_view aPrompt)
{
  std::vector<std::uint64_t> hashes;
  std::uint64_t hash = Hash64(aModel);
  for (std::size_t at = 0; at + kPrefixBlockBytes <= aPrompt.size();
       at += kPrefixBlockBytes) {
    hash = Hash64(aPrompt.substr(at, kPrefixBlockBytes), hash);
    hashes.push_back(hash);
  }
  return hashes;
}

PrefixCache::PrefixCache(std::uint64_t aMaxTokens)
  : mMaxBlocks(aMaxTokens / kTokensPerBlock)
{
}

std::uint64_t
PrefixCache::CachedTokens(const std::vector<std::uint64_t>& aHashes) const
{
  std::uint64_t tokens = 0;
  for (const std::uint64_t it : aHashes) {
    if (mBlocks.count(it) == 0) {
      break;
    }
    tokens += kTokensPerBlock;
  }
  return tokens;
}

std::vector<PrefixChange>
PrefixCache::Insert(const std::vector<std::uint64_t>& aHashes)
{
  std::vector<PrefixChange> changes;
  // The first block is used last, so that a prefix outlives what follows it.
  for (auto it = aHashes.rbegin(); it != aHashes.rend(); ++it) {
    const auto [block, isNew] = mBlocks.try_emplace(*it);
    if (isNew) {
      changes.push_back({ true, *it });
    } else {
      mOrder.erase(block->second);
    }
    block->second = mOrder.insert(mOrder.end(), *it);
  }
  while (mBlocks.size() > mMaxBlocks) {
    changes.push_back({ false, mOrder.front() });
    mBlocks.erase(mOrder.front());
    mOrder.pop_front();
  }
  return changes;
}

} // namespace bulrushfold
