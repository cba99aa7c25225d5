#ifndef BULRUSHFOLD_POLICY_PREFIXINDEX_H
#define BULRUSHFOLD_POLICY_PREFIXINDEX_H

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Policy/PolicyTypes.h"

namespace bulrushfold {

/** Prompt tokens between two prefixes that are tracked. */
constexpr std::uint64_t kPrefixStepTokens = 512;

/** One entry of an engine's cache events. */
struct CacheEvent
{
  std::uint64_t mSequence = 0;
  /** True: stored, false: evicted. */
  bool mIsStored = true;
  std::uint64_t mPrefix = 0;
  std::uint64_t mTokens = 0;
};

/**
 * Hashes of the prefixes of aPrompt, one each kPrefixStepTokens tokens (of four
 * bytes) up to aMaxPrefixes: Hash64 over the bytes of the prefix, seeded with
 * Hash64 of the model's name. Engines name prefixes in the same way.
 */
std::vector<PromptPrefix> HashPrefixes(std::string_view aModel,
                                       std::string_view aPrompt,
                                       std::size_t aMaxPrefixes);

/**
 * Approximate knowledge of which endpoint caches which prompt prefix. Events
 * come late and with gaps: after a gap the endpoint's older entries count less,
 * and each prefill's true result corrects the entry. Memory is bounded; the
 * entries used least recently go first.
 */
class PrefixIndex
{
public:
  explicit PrefixIndex(std::size_t aMaxEntries);

  void OnEvents(std::uint32_t aEndpoint,
                const std::vector<CacheEvent>& aEvents);
  /** A prefill of a prompt with aPrefixes found aCachedTokens cached. */
  void OnPrefill(std::uint32_t aEndpoint,
                 const std::vector<PromptPrefix>& aPrefixes,
                 std::uint64_t aCachedTokens);
  /** Removes all entries of aEndpoint, for example after a restart. */
  void Forget(std::uint32_t aEndpoint);

  /** An endpoint and the cached tokens that a prefill may expect there. */
  struct Hit
  {
    std::uint32_t mEndpoint = 0;
    double mTokens = 0;
  };
  /** Endpoints with the longest known prefixes, at most aMaxHits. */
  std::vector<Hit> Find(const std::vector<PromptPrefix>& aPrefixes,
                        std::size_t aMaxHits) const;

  std::size_t size() const { return mEntries.size(); }

private:
  struct Place
  {
    std::uint32_t mEndpoint = 0;
    std::uint32_t mGeneration = 0;
  };
  struct Entry
  {
    std::uint64_t mTokens = 0;
    std::vector<Place> mPlaces;
    std::list<std::uint64_t>::iterator mUse;
  };
  /** What is known of the events of one endpoint. */
  struct Source
  {
    std::uint64_t mNext = 0;
    bool mHasEvents = false;
    /** Increases with each gap; older entries are doubtful. */
    std::uint32_t mGeneration = 0;
    /** Share of expected tokens that were found, learned. */
    double mTrust = 1;
  };

  void Store(std::uint32_t aEndpoint, const PromptPrefix& aPrefix);
  void Erase(std::uint32_t aEndpoint, std::uint64_t aHash);
  double Trust(const Place& aPlace) const;

  std::size_t mMaxEntries;
  std::unordered_map<std::uint64_t, Entry> mEntries;
  /** Hashes, the one used last first. */
  std::list<std::uint64_t> mUses;
  std::unordered_map<std::uint32_t, Source> mSources;
};

} // namespace bulrushfold

#endif
