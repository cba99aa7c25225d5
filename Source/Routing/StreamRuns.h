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

/** A stream that holds memory of a decode engine, or is about to. */
struct StreamRun
{
  /** Unique in the daemon that placed it. */
  std::uint64_t mNumber = 0;
  std::string mEndpoint;
  /** Tokens before the first one that it generates there. */
  std::uint64_t mPromptTokens = 0;
  /** Expected number of tokens that it generates. */
  std::uint64_t mAnswerTokens = 0;
  /** Number at which the answer ends in any case. */
  std::uint64_t mMaxAnswerTokens = 0;
  /** When the engine began to generate; empty before. */
  std::optional<Instant> mStartedAt;
  /** Key of the prompt's own part; 0 when it is unknown. */
  std::uint64_t mPromptKey = 0;
};

/** The streams of this daemon and of its peers, by decode engine. */
class StreamRuns
{
public:
  void Add(const StreamRun& aRun);
  void OnStarted(std::uint64_t aNumber, Instant aNow);
  /** The run goes on at another engine. */
  void OnMoved(std::uint64_t aNumber, const std::string& aEndpoint);
  void Remove(std::uint64_t aNumber);

  /** Replaces what aPeer told before. */
  void SetPeer(const std::string& aPeer, std::vector<StreamRun> aRuns);
  void RemovePeer(const std::string& aPeer);

  /** All runs at aEndpoint, valid until the next change. */
  const std::vector<const StreamRun*>& At(const std::string& aEndpoint) const;
  std::size_t CountAt(const std::string& aEndpoint) const
  {
    return At(aEndpoint).size();
  }
  /** Runs with this prompt, valid until the next change. */
  std::vector<const StreamRun*> WithPrompt(std::uint64_t aKey) const;
  /** Runs that aPeer told of last. */
  std::vector<StreamRun> RunsOf(const std::string& aPeer) const;
  /** Runs of this daemon, by number. */
  const std::map<std::uint64_t, StreamRun>& Own() const { return mOwn; }
  /** Emitted when the runs of this daemon changed. */
  sigc::signal<void()>& OnOwnChange() { return mOnOwnChange; }

private:
  void HandleOwnChange();

  std::map<std::uint64_t, StreamRun> mOwn;
  std::map<std::string, std::vector<StreamRun>> mPeers;
  /** Runs by endpoint, rebuilt when it is asked for after a change. */
  mutable std::unordered_map<std::string, std::vector<const StreamRun*>> mIndex;
  mutable bool mIsIndexed = true;
  sigc::signal<void()> mOnOwnChange;
};

} // namespace bulrushfold

#endif
