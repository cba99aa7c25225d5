#ifndef BULRUSHFOLD_ROUTING_STREAMRUNS_H
#define BULRUSHFOLD_ROUTING_STREAMRUNS_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <sigc++/sigc++.h>

#include "Base/Clock.h"

namespace bulrushfold {

/** A stream that was placed on a decode engine and uses its memory, or will. */
struct StreamRun
{
  /** Unique in the daemon that placed it. */
  std::uint64_t mNumber = 0;
  std::string mEndpoint;
  /** Tokens whose KV cache exists before the engine generates the first one. */
  std::uint64_t mPromptTokens = 0;
  /** Expected number of tokens that the engine generates. */
  std::uint64_t mAnswerTokens = 0;
  /** Maximum number of tokens that the engine generates. */
  std::uint64_t mMaxAnswerTokens = 0;
  /** Time at which the engine began to generate; empty before. */
  std::optional<Instant> mStartedAt;
  /** Key of the part of the prompt that only this stream has; 0: unknown. */
  std::uint64_t mPromptKey = 0;
};

/** The streams of this daemon and of its peers, by decode engine. */
class StreamRuns
{
public:
  void Add(const StreamRun& aRun);
  void OnStarted(std::uint64_t aNumber, Instant aNow);
  /** The run continues at another engine. */
  void OnMoved(std::uint64_t aNumber, const std::string& aEndpoint);
  void Remove(std::uint64_t aNumber);

  /** Replaces the runs that aPeer reported before. */
  void SetPeer(const std::string& aPeer, std::vector<StreamRun> aRuns);
  void RemovePeer(const std::string& aPeer);

  /** All runs at aEndpoint, valid until the next change. */
  const std::vector<const StreamRun*>& At(const std::string& aEndpoint) const;
  std::size_t CountAt(const std::string& aEndpoint) const
  {
    return At(aEndpoint).size();
  }
  /** Number that increases with each change of the runs at aEndpoint. */
  std::uint64_t VersionAt(const std::string& aEndpoint) const;
  /** Runs with this prompt, valid until the next change. */
  std::vector<const StreamRun*> WithPrompt(std::uint64_t aKey) const;
  /** The runs that aPeer reported last. */
  std::vector<StreamRun> RunsOf(const std::string& aPeer) const;
  /** Runs of this daemon, by number. */
  const std::map<std::uint64_t, StreamRun>& Own() const { return mOwn; }
  /** Emitted when the runs of this daemon changed. */
  sigc::signal<void()>& OnOwnChange() { return mOnOwnChange; }

private:
  struct EndpointRuns
  {
    std::vector<const StreamRun*> mRuns;
    std::uint64_t mVersion = 0;
  };

  void Insert(const StreamRun& aRun);
  void Erase(const StreamRun& aRun);

  std::map<std::uint64_t, StreamRun> mOwn;
  std::map<std::string, std::vector<StreamRun>> mPeers;
  std::unordered_map<std::string, EndpointRuns> mIndex;
  sigc::signal<void()> mOnOwnChange;
};

} // namespace bulrushfold

#endif
