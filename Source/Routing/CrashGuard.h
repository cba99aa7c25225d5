#ifndef BULRUSHFOLD_ROUTING_CRASHGUARD_H
#define BULRUSHFOLD_ROUTING_CRASHGUARD_H

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <sigc++/sigc++.h>

#include "Base/Clock.h"
#include "Base/Random.h"

namespace bulrushfold {

/** What identifies a request and its prompt, for evidence of crashes. */
struct RequestKeys
{
  /** Keys of the shared prompt parts, in the order of the prompt. */
  std::vector<std::uint64_t> mParts;
  /** Hash of path, caller and body; equal for all attempts of a caller. 0:
   * unknown. */
  std::uint64_t mRequest = 0;
  /** Hash of path and body; equal for all callers. 0: unknown. */
  std::uint64_t mContent = 0;
};

/** What a key of a request identifies. */
enum class CrashKeyKind
{
  PromptPart,
  /** Path and body, of whichever caller. */
  Content,
  /** Path and body of one caller. */
  Request,
};

std::string_view CrashKeyKindName(CrashKeyKind aKind);

/** A run whose connection was lost. */
struct LostRun
{
  /** Unique in the fleet. */
  std::uint64_t mId = 0;
  /** Hash of the id and incarnation of the engine or plain endpoint. */
  std::uint64_t mEngine = 0;
  RequestKeys mKeys;
  /** Time since the loss. */
  Duration mAge{};
  /** Time from the send to the loss. */
  Duration mTook{};
};

/** A request or prompt part that was answered well after runs with it were
 * lost. */
struct AnsweredPart
{
  std::uint64_t mPart = 0;
  /** Time since the end of the answer. */
  Duration mAge{};
};

/** An answer that shows that an engine with lost runs is up. */
struct EngineAnswer
{
  std::uint64_t mEngine = 0;
  /** Time since the answer. */
  Duration mAge{};
  /** Time from the send to the answer. */
  Duration mTook{};
};

/** What a daemon knows of crashes, for its peers. */
struct CrashReport
{
  std::vector<LostRun> mLost;
  std::vector<AnsweredPart> mAnswered;
  std::vector<EngineAnswer> mEngineAnswers;
};

/** A request or prompt part that is refused because it crashes engines. */
struct RefusedPart
{
  std::uint64_t mPart = 0;
  CrashKeyKind mKind = CrashKeyKind::PromptPart;
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
 * Finds the requests and prompt parts that crash the engines or plain endpoints
 * that run them.
 *
 * A lost run is evidence of a crash only if its engine was up when the run was
 * sent: the first loss at an engine starts a crash, all runs that it had then
 * are lost with it, and later sends are no evidence until an answer shows that
 * the engine is up again. An engine that answers a run which it had at the time
 * of a loss did not crash; only that connection was lost.
 *
 * The request or part that explains the most crashes and was in no good answer
 * since is refused, and the others that were lost in these crashes are not.
 * Daemons exchange everything they know, so the evidence outlives its observer.
 */
class CrashGuard
{
public:
  /** Crashes after which a part is refused. */
  static constexpr std::uint32_t kCrashLimit = 3;

  explicit CrashGuard(Random& aRandom)
    : mRandom(aRandom)
  {
  }

  /** The connection of a run was lost; its request was sent at aSentAt. */
  void OnRunLost(std::uint64_t aEngine,
                 const RequestKeys& aKeys,
                 Instant aSentAt,
                 Instant aNow);
  /** A run at aEndpoint was given up because its engine was silent. */
  void OnRunSilent(const std::string& aEndpoint,
                   std::uint64_t aEngine,
                   const RequestKeys& aKeys,
                   Instant aSentAt,
                   Instant aNow);
  /** The engine at aEndpoint has left the registry or restarted. The runs that
   * fell silent there shortly before were lost. */
  void OnEngineGone(const std::string& aEndpoint, Instant aNow);
  /** A request with these keys was answered well. */
  void OnAnswered(const RequestKeys& aKeys, Instant aNow);
  /** The engine answered a request, well or not, that was sent at aSentAt. */
  void OnEngineAnswered(std::uint64_t aEngine, Instant aSentAt, Instant aNow);
  /** True while OnEngineAnswered may tell anything new. */
  bool HasLostRuns() const { return !mRuns.empty(); }
  /** The refused part among aKeys; null when there is none. */
  const RefusedPart* FindRefused(const RequestKeys& aKeys, Instant aNow);

  /** Adds what a peer knows. */
  void Merge(const CrashReport& aReport, Instant aNow);
  /** What this daemon knows, each list limited in number: lost runs of requests
   * that were lost repeatedly first, then the most recent. */
  CrashReport Report(Instant aNow) const;
  /** Number of lost runs that are known. */
  std::size_t LostRuns() const { return mRuns.size(); }

  /** Emitted when this daemon has lost a run. */
  sigc::signal<void()>& OnOwnLoss() { return mOnOwnLoss; }
  /** Emitted when a part becomes refused (true) or is accepted again. */
  sigc::signal<void(const RefusedPart&, bool, Instant)>& OnDecision()
  {
    return mOnDecision;
  }

private:
  /** Engines that are lost within this time count as one crash: they share a
   * cause, such as a power failure, rather than a request. */
  static constexpr Duration kSameMoment = std::chrono::milliseconds(50);
  /** Error of the times that peers report, by the delay of their messages. */
  static constexpr Duration kTimeTolerance = std::chrono::milliseconds(20);

  struct Run
  {
    std::uint64_t mEngine = 0;
    RequestKeys mKeys;
    Instant mSentAt;
    Instant mLostAt;
    bool mIsOwn = false;
  };
  using Runs = std::map<std::uint64_t, Run>;
  /** An answer of an engine. */
  struct Answer
  {
    Instant mSentAt;
    Instant mAnsweredAt;
  };
  struct Engine
  {
    /** Ids of the lost runs. */
    std::set<std::uint64_t> mRuns;
    std::vector<Answer> mAnswers;
  };
  struct Evidence
  {
    std::set<std::size_t> mCrashes;
    /** Number of lost runs. */
    std::size_t mRuns = 0;
    /** Greatest position among the keys of a request: the parts of its prompt,
     * its content and the request itself. */
    std::size_t mDepth = 0;
    /** Sum of the times from send to loss. */
    Duration mTook{};
    CrashKeyKind mKind = CrashKeyKind::PromptPart;
  };
  /** The crash in which each run was lost, by run; runs that are no evidence
   * are left out. */
  using Crashes = std::map<std::uint64_t, std::size_t>;

  struct SilentRun
  {
    std::string mEndpoint;
    Run mRun;
  };

  /** When the engine of a silent run crashed: at the first loss of another run
   * there, or, without one, when the run was given up. A run that is given up
   * before that loss must not seem to start the crash. */
  Instant CrashDuring(const Run& aRun) const;
  bool AddRun(std::uint64_t aId, const Run& aRun, Instant aNow);
  Runs::iterator RemoveRun(Runs::iterator aRun);
  void RemoveOldest();
  bool AddAnswer(std::uint64_t aPart, Instant aAnsweredAt);
  bool AddEngineAnswer(std::uint64_t aEngine, const Answer& aAnswer);
  bool IsExonerated(std::uint64_t aPart, Instant aLostAt) const;
  /** A refused request was lost in the run. */
  bool IsOfRefused(const Run& aRun) const;
  Duration LifetimeOf(const Run& aRun) const;
  bool Expire(Instant aNow);
  /** Runs that were lost in a crash of aEngine, with the start of the crash. */
  std::vector<std::pair<Instant, std::uint64_t>> CrashedRuns(
    const Engine& aEngine) const;
  /** Numbers the crashes; those of one moment get the same number. */
  Crashes NumberCrashes() const;
  std::map<std::uint64_t, Evidence> CollectEvidence() const;
  RefusedPart Describe(std::uint64_t aPart, const Evidence& aEvidence) const;
  void Update(Instant aNow);

  Random& mRandom;
  Runs mRuns;
  std::unordered_map<std::uint64_t, Engine> mEngines;
  /** Number of lost runs with a part or request. */
  std::unordered_map<std::uint64_t, std::size_t> mRunCounts;
  std::deque<SilentRun> mSilentRuns;
  std::map<std::uint64_t, Instant> mAnsweredAt;
  std::map<std::uint64_t, RefusedPart> mRefused;
  sigc::signal<void()> mOnOwnLoss;
  sigc::signal<void(const RefusedPart&, bool, Instant)> mOnDecision;
};

} // namespace bulrushfold

#endif
