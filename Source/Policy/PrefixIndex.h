#ifndef BULRUSHFOLD_POLICY_PREFIXINDEX_H
#define BULRUSHFOLD_POLICY_PREFIXINDEX_H

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Policy/PolicyTypes.h"

namespace bulrushfold {

/** Distance, in prompt tokens, between two prefixes that are indexed. */
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
 * Hashes of the prefixes of aPrompt, one every kPrefixStepTokens tokens (of
 * four bytes), at most aMaxPrefixes. A hash is Hash64 over the bytes of the
 * prefix, seeded with Hash64 of the model's name. Engines identify prefixes by
 * the same hashes.
 */
std::vector<PromptPrefix> HashPrefixes(std::string_view aModel,
                                       std::string_view aPrompt,
                                       std::size_t aMaxPrefixes);

/**
 * Approximate index of the prompt prefixes that each endpoint caches. Cache
 * events arrive late and may be missing: a gap in an endpoint's events reduces
 * the weight of its older entries, and the result of each prefill corrects the
 * weight of the endpoint. The size is limited; the least recently used entries
 * are evicted first.
 */
class PrefixIndex
{
public:
  explicit PrefixIndex(std::size_t aMaxEntries);

  void OnEvents(std::uint32_t aEndpoint,
                const std::vector<CacheEvent>& aEvents);
  /** A prefill of a prompt with aPrefixes used aCachedTokens cached tokens. */
  void OnPrefill(std::uint32_t aEndpoint,
                 const std::vector<PromptPrefix>& aPrefixes,
                 std::uint64_t aCachedTokens);
  /** Removes all entries of aEndpoint, for example after a restart. */
  void RemoveEndpoint(std::uint32_t aEndpoint);

  /** An endpoint and the cached tokens that a prefill may expect there. */
  struct Hit
  {
    std::uint32_t mEndpoint = 0;
    double mTokens = 0;
  };
  /** The endpoints that cache the longest prefixes, at most aMaxHits. */
  std::vector<Hit> Find(const std::vector<PromptPrefix>& aPrefixes,
                        std::size_t aMaxHits) const;

  std::size_t size() const { return mEntries.size(); }

private:
  struct Location
  {
    std::uint32_t mEndpoint = 0;
    std::uint32_t mGeneration = 0;
  };
  struct Entry
  {
    std::uint64_t mTokens = 0;
    std::vector<Location> mLocations;
    std::list<std::uint64_t>::iterator mUsePosition;
  };
  /** State of the cache events of one endpoint. */
  struct EventState
  {
    std::uint64_t mNextSequence = 0;
    bool mHasEvents = false;
    /** Number of gaps in the events; entries stored before a gap weigh
     * less. */
    std::uint32_t mGeneration = 0;
    /** Moving average of the share of expected tokens that were cached. */
    double mWeight = 1;
  };

  void Store(std::uint32_t aEndpoint, const PromptPrefix& aPrefix);
  void Erase(std::uint32_t aEndpoint, std::uint64_t aHash);
  double Weight(const Location& aLocation) const;

  std::size_t mMaxEntries;
  std::unordered_map<std::uint64_t, Entry> mEntries;
  /** Hashes of the entries, the most recently used first. */
  std::list<std::uint64_t> mUseOrder;
  std::unordered_map<std::uint32_t, EventState> mEventStates;
};

} // namespace bulrushfold

#endif
