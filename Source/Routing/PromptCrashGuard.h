#ifndef BULRUSHFOLD_ROUTING_PROMPTCRASHGUARD_H
#define BULRUSHFOLD_ROUTING_PROMPTCRASHGUARD_H

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include <sigc++/sigc++.h>

#include "Base/Clock.h"

namespace bulrushfold {

/** A run that was lost with its engine while its answer was starting. */
struct LostPrompt
{
  /** Hash of the id and incarnation of the engine. */
  std::uint64_t mEngine = 0;
  /** Keys of the shared prompt parts, in the order of the prompt. */
  std::vector<std::uint64_t> mParts;
  /** Time since the loss. */
  Duration mAge{};
};

/** A prompt part in a whole answer that ended after runs with it were lost. */
struct AnsweredPart
{
  std::uint64_t mPart = 0;
  /** Time since the end of the answer. */
  Duration mAge{};
};

/** A prompt part that is refused because it crashes engines. */
struct RefusedPart
{
  std::uint64_t mPart = 0;
  /** Crashes that only this part explains. */
  std::uint32_t mCrashes = 0;
  /** Lost runs with the part that this daemon observed. */
  std::uint32_t mOwnRuns = 0;
  /** Lost runs with the part that peers reported. */
  std::uint32_t mPeerRuns = 0;
  Instant mFirstLossAt;
  Instant mLastLossAt;
};

/**
 * Finds the prompt parts that crash engines. All runs on a crashed engine are
 * lost, so the part that explains the most crashes and was in no whole answer
 * since is refused, and the other parts of these crashes are not. Daemons
 * exchange everything they know, so the evidence outlives its observer.
 */
class PromptCrashGuard
{
public:
  /** Crashes after which a part is refused. */
  static constexpr std::uint32_t kCrashLimit = 3;

  void OnRunLost(std::uint64_t aEngine,
                 const std::vector<std::uint64_t>& aParts,
                 Instant aNow);
  /** A whole answer to a prompt with these parts has ended. */
  void OnAnswered(const std::vector<std::uint64_t>& aParts, Instant aNow);
  /** The refused part among aParts; null when there is none. */
  const RefusedPart* FindRefused(const std::vector<std::uint64_t>& aParts,
                                 Instant aNow);

  /** Adds what a peer knows. */
  void Merge(const std::vector<LostPrompt>& aLost,
             const std::vector<AnsweredPart>& aAnswered,
             Instant aNow);
  /** Known lost runs: the most recent first, limited in number. */
  std::vector<LostPrompt> Lost(Instant aNow) const;
  /** Known answers: the most recent first, limited in number. */
  std::vector<AnsweredPart> Answered(Instant aNow) const;

  /** Emitted when this daemon has lost a run. */
  sigc::signal<void()>& OnOwnLoss() { return mOnOwnLoss; }
  /** Emitted when a part becomes refused (true) or is accepted again. */
  sigc::signal<void(const RefusedPart&, bool, Instant)>& OnDecision()
  {
    return mOnDecision;
  }

private:
  using Parts = std::vector<std::uint64_t>;
  /** Engine and parts of a lost run. */
  using RunKey = std::pair<std::uint64_t, Parts>;
  struct Run
  {
    Instant mLostAt;
    bool mIsOwn = false;
  };
  struct Evidence
  {
    std::set<std::size_t> mCrashes;
    /** Number of lost runs. */
    std::size_t mRuns = 0;
    /** Greatest position in a prompt. */
    std::size_t mDepth = 0;
  };

  bool AddRun(const RunKey& aKey, Instant aLostAt, bool aIsOwn, Instant aNow);
  bool AddAnswer(std::uint64_t aPart, Instant aAnsweredAt);
  bool IsExonerated(std::uint64_t aPart, Instant aLostAt) const;
  bool Expire(Instant aNow);
  /** Numbers the crashes; those of one moment get the same number. */
  std::map<std::uint64_t, std::size_t> NumberCrashes() const;
  std::map<std::uint64_t, Evidence> CollectEvidence() const;
  RefusedPart Describe(std::uint64_t aPart, std::size_t aCrashes) const;
  void Update(Instant aNow);

  std::map<RunKey, Run> mRuns;
  std::map<std::uint64_t, Instant> mAnsweredAt;
  std::map<std::uint64_t, RefusedPart> mRefused;
  sigc::signal<void()> mOnOwnLoss;
  sigc::signal<void(const RefusedPart&, bool, Instant)> mOnDecision;
};

} // namespace bulrushfold

#endif
