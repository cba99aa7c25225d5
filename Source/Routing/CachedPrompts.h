#ifndef BULRUSHFOLD_ROUTING_CACHEDPROMPTS_H
#define BULRUSHFOLD_ROUTING_CACHEDPROMPTS_H

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Routing/StreamRuns.h"

namespace bulrushfold {

/** A part of a prompt that an engine lists in its prefix cache. */
struct PromptPart
{
  /** Hash of the part's name. */
  std::uint64_t mKey = 0;
  std::uint64_t mTokens = 0;
};

/** A prompt whose KV cache is still in an engine's memory. */
struct CachedPrompt
{
  std::uint64_t mKey = 0;
  std::string mEndpoint;
  /** Cached tokens: of the prompt, and of the answer if it is cached too. */
  std::uint64_t mTokens = 0;
  Instant mObservedAt;
};

/**
 * Finds the engines that still cache the prompt of an interrupted stream. An
 * engine keeps the KV cache of an ended run until it needs the memory, so a
 * resumed stream can continue there without another prefill. The sources are
 * the present runs of this daemon and its peers, interrupted runs of this
 * daemon, its peers and daemons that died, and the cache lists of engines.
 */
class CachedPrompts
{
public:
  explicit CachedPrompts(const StreamRuns& aRuns)
    : mRuns(aRuns)
  {
  }

  /** A run of this daemon, or of a daemon that died, was interrupted. */
  void OnInterrupted(CachedPrompt aPrompt);
  /** Replaces the cached parts of aEngine by its latest complete list. */
  void OnListed(const std::string& aEngine,
                const std::vector<PromptPart>& aParts,
                Instant aNow);
  /** Replaces the prompts that aPeer reported before. */
  void SetPeer(const std::string& aPeer, std::vector<CachedPrompt> aPrompts);
  void RemovePeer(const std::string& aPeer) { mPeers.erase(aPeer); }

  /** Engines that may cache the prompt aKey, the most cached tokens first. */
  std::vector<CachedPrompt> Find(std::uint64_t aKey, Instant aNow) const;
  /** Prompts of interrupted runs, to report to the peers. */
  std::vector<CachedPrompt> Own(Instant aNow) const;

private:
  void Expire(Instant aNow);

  const StreamRuns& mRuns;
  /** Prompts of interrupted runs, the oldest first. */
  std::deque<CachedPrompt> mInterrupted;
  std::map<std::string, std::vector<CachedPrompt>> mListed;
  std::map<std::string, std::vector<CachedPrompt>> mPeers;
};

} // namespace bulrushfold

#endif
