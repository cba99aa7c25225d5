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

/** A part of a prompt, as an engine's prefix cache knows it. */
struct PromptPart
{
  /** Hash of its name. */
  std::uint64_t mKey = 0;
  std::uint64_t mTokens = 0;
};

/** An engine that has the KV cache of a prompt. */
struct CachedPrompt
{
  std::uint64_t mKey = 0;
  std::string mEndpoint;
  /** Tokens of the prompt, and of the answer if that was kept too. */
  std::uint64_t mTokens = 0;
  Instant mObservedAt;
};

/**
 * Where the KV caches of streams are that broke off. An engine keeps the
 * prompt of a run that ended until it needs the memory, so a caller that
 * resumes its stream is served there without another prefill. Known are the
 * runs of this daemon and its peers, those that broke off, those of peers that
 * went silent, and what engines list.
 */
class CachedPrompts
{
public:
  explicit CachedPrompts(const StreamRuns& aRuns)
    : mRuns(aRuns)
  {
  }

  /** A run of this daemon, or of a daemon that died, ended unfinished. */
  void OnInterrupted(CachedPrompt aPrompt);
  /** aEngine listed all that it keeps. */
  void OnListed(const std::string& aEngine,
                const std::vector<PromptPart>& aParts,
                Instant aNow);
  /** Replaces what aPeer told before. */
  void SetPeer(const std::string& aPeer, std::vector<CachedPrompt> aPrompts);
  void RemovePeer(const std::string& aPeer) { mPeers.erase(aPeer); }

  /** Engines that may have the prompt aKey, the one with most of it first. */
  std::vector<CachedPrompt> Find(std::uint64_t aKey, Instant aNow) const;
  /** For the peers: runs that broke off. */
  std::vector<CachedPrompt> Own(Instant aNow) const;

private:
  void Expire(Instant aNow);

  const StreamRuns& mRuns;
  /** In the order in which they broke off. */
  std::deque<CachedPrompt> mBroken;
  std::map<std::string, std::vector<CachedPrompt>> mListed;
  std::map<std::string, std::vector<CachedPrompt>> mPeers;
};

} // namespace bulrushfold

#endif
