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
  for (std::size_t offset = 0; offset + kPrefixBlockBytes <= aPrompt.size();
       offset += kPrefixBlockBytes) {
    hash = Hash64(aPrompt.substr(offset, kPrefixBlockBytes), hash);
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
  // The first block becomes the most recently used one, so that a block is
  // evicted before the blocks that precede it in the prompt.
  for (std::size_t n = aHashes.size(); n > 0; --n) {
    const std::uint64_t hash = aHashes[n - 1];
    const auto [block, isNew] = mBlocks.try_emplace(hash);
    if (isNew) {
      block->second.mTokens = n * kTokensPerBlock;
      changes.push_back({ true, hash, block->second.mTokens });
    } else {
      mOrder.erase(block->second.mPosition);
    }
    block->second.mPosition = mOrder.insert(mOrder.end(), hash);
  }
  while (mBlocks.size() > mMaxBlocks) {
    const std::uint64_t hash = mOrder.front();
    changes.push_back({ false, hash, mBlocks.at(hash).mTokens });
    mBlocks.erase(hash);
    mOrder.pop_front();
  }
  return changes;
}

} // namespace bulrushfold
