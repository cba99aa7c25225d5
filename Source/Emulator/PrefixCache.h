#ifndef BULRUSHFOLD_EMULATOR_PREFIXCACHE_H
#define BULRUSHFOLD_EMULATOR_PREFIXCACHE_H

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushfold {

/** Size of one cached block of a prompt in bytes, which are 512 tokens. */
constexpr std::size_t kPrefixBlockBytes = 2048;

/** Insertion or eviction of a block. */
struct PrefixChange
{
  bool mIsStored = false;
  /** Hash of the prompt up to the end of the block. */
  std::uint64_t mPrefix = 0;
  /** Tokens of the prompt up to the end of the block. */
  std::uint64_t mTokens = 0;
};

/**
 * Hashes of aPrompt up to the end of each whole block. The hash of a block is
 * Hash64(BLOCK, seed = hash of the block before); the seed of the first one is
 * Hash64(aModel).
 */
std::vector<std::uint64_t> PrefixHashes(std::string_view aModel,
                                        std::string_view aPrompt);

/**
 * Cache of prompt prefixes with a limited size. It evicts the least recently
 * used block.
 */
class PrefixCache
{
public:
  explicit PrefixCache(std::uint64_t aMaxTokens);

  /** Length of the cached prefix of a prompt, in tokens. */
  std::uint64_t CachedTokens(const std::vector<std::uint64_t>& aHashes) const;
  /** Adds the blocks of a prompt and returns all insertions and evictions. */
  std::vector<PrefixChange> Insert(const std::vector<std::uint64_t>& aHashes);

private:
  using Order = std::list<std::uint64_t>;
  std::size_t mMaxBlocks;
  /** Least recently used first. */
  Order mOrder;
  struct Block
  {
    Order::iterator mPosition;
    std::uint64_t mTokens = 0;
  };
  std::map<std::uint64_t, Block> mBlocks;
};

} // namespace bulrushfold

#endif
