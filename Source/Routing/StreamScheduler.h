#ifndef BULRUSHFOLD_ROUTING_STREAMSCHEDULER_H
#define BULRUSHFOLD_ROUTING_STREAMSCHEDULER_H

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Routing/CachedPrompts.h"
#include "Routing/EndpointDirectory.h"
#include "Routing/EndpointHealth.h"
#include "Routing/EndpointLoads.h"
#include "Routing/LocalPrefillTurns.h"
#include "Routing/MemoryForecast.h"
#include "Routing/MovingEstimate.h"
#include "Routing/RoutingConfig.h"
#include "Routing/StreamAdmission.h"
#include "Routing/StreamRuns.h"

namespace bulrushfold {

/** A stream that needs engines. */
struct StreamDemand
{
  /** Unique in this daemon. */
  std::uint64_t mNumber = 0;
  std::string mService;
  EngineProfile mProfile;
  std::uint64_t mPromptTokens = 0;
  /** Tokens of the answer that the caller has already. No prefill engine
   * computes them: the decode engine does, between the tokens of its runs. */
  std::uint64_t mGeneratedTokens = 0;
  /** Expected length of the rest of the answer. */
  std::uint64_t mAnswerTokens = 0;
  /** Length of the rest at which the answer ends in any case. */
  std::uint64_t mMaxAnswerTokens = 0;
  /** The first event is late after this time. */
  Instant mFirstEventDeadline;
  /** It waits since then. */
  Instant mSubmittedAt;
  /** It leaves the queue unserved at this time. */
  Instant mQueueDeadline;
  /** Engines that failed it. */
  std::set<std::string> mFailedEndpoints;
  /** Key of the prompt's own part; 0 when it is unknown. */
  std::uint64_t mPromptKey = 0;
  /** A run of it broke off, so that an engine may have its prompt. */
  bool mWasInterrupted = false;
};

/** Tokens whose KV cache aDemand needs before it generates. */
std::uint64_t StartTokens(const StreamDemand& aDemand);

/** Memory that aDemand is expected to use, times the tokens for which it does.
 */
double MemoryTime(const StreamDemand& aDemand);

/** Engines for a stream. */
struct StreamPlacement
{
  std::uint64_t mNumber = 0;
  std::string mDecode;
  /** Empty when the decode engine computes the prompt itself. */
  std::string mPrefill;
  // What decided.
  /** Runs at the decode engine before this one. */
  std::size_t mDecodeRuns = 0;
  /** Largest memory that the decode engine is expected to need, in tokens. */
  double mDecodePeak = 0;
  EndpointWork mPrefillLoad;
  /** Tokens whose KV cache the decode engine should have; 0: not known. */
  std::uint64_t mCachedTokens = 0;
};

/** A run that should go on at another engine. */
struct MoveProposal
{
  std::uint64_t mNumber = 0;
  std::string mTarget;
};

/**
 * Places streams on engines. A stream starts when a decode engine has room
 * for what it is expected to need and a prefill engine has nearly nothing to
 * do, so that a computed prompt never waits for memory. Waiting streams that
 * can still be on time go first, those that use memory for the shortest time
 * before the others; late ones follow. Streams that go on after an event make
 * their decode engine compute what was generated before, which holds up its
 * runs; so they start there one at a time. If an engine still has the prompt
 * of a stream that broke off, the stream goes on there without a prefill.
 *
 * Events to deliver: Submit; Dispatch after every event that may have made
 * room (an own stream ended, a peer told its loads, endpoints changed) and at
 * NextWake; OnPrefillEnded and OnDecodeEnded exactly once for each placement;
 * Rebalance several times a second while streams run, and OnMoved when a
 * proposed move begins or is taken back.
 *
 * An engine that runs out of memory stops its newest run and reads its prompt
 * again, which delays all its runs. So a run is moved away before: the newest
 * one, by the daemon that owns it. Runs at an engine that leaves or changes its
 * role are moved too.
 */
class StreamScheduler
{
public:
  StreamScheduler(const EndpointDirectory& aDirectory,
                  EndpointLoads& aLoads,
                  StreamRuns& aRuns,
                  const CachedPrompts& aKept,
                  LocalPrefillTurns& aPrefillTurns,
                  const EndpointHealth& aHealth,
                  std::string aFailureDomain,
                  Random& aRandom,
                  Instant aStart);

  /** False when aDemand could not begin in time, so that it should rather
   * come back later. */
  bool Admits(const StreamDemand& aDemand, Instant aNow);
  void Submit(StreamDemand aDemand);
  /** Removes a waiting stream; false when it does not wait. */
  bool Withdraw(std::uint64_t aNumber);
  /** Placements of waiting streams that can be made now. */
  std::vector<StreamPlacement> Dispatch(Instant aNow);
  /** Removes and returns waiting streams that were given up. */
  std::vector<std::uint64_t> RemoveExpired(Instant aNow);

  /** The prompt is computed, or the attempt failed. aTook: zero if it failed.
   */
  void OnPrefillEnded(std::uint64_t aNumber, Duration aTook);
  /** The decode engine generates; its memory grows from now on. */
  void OnDecodeStarted(std::uint64_t aNumber, Instant aNow);
  void OnDecodeEnded(std::uint64_t aNumber, Instant aNow);
  /** Runs of this daemon that should move. */
  std::vector<MoveProposal> Rebalance(Instant aNow);
  void OnMoved(std::uint64_t aNumber, const std::string& aEndpoint);
  /** aEvents of aTokensPerEvent tokens came in aTook. */
  void OnProgress(std::uint64_t aEvents,
                  std::uint32_t aTokensPerEvent,
                  Duration aTook);
  /** aEndpoint had no room to reserve aTokens. */
  void OnReservationRefused(const std::string& aEndpoint,
                            std::uint64_t aTokens,
                            Instant aNow);

  /** When Dispatch or RemoveExpired may have something to do. */
  std::optional<Instant> NextWake(Instant aNow) const;
  std::size_t WaitingCount() const { return mWaiting.size(); }
  /** Number of placed streams of this daemon. */
  std::size_t RunningCount() const { return mRuns.Own().size(); }
  /** Tokens by which a run grows in a millisecond. */
  double GrowthRate() const { return mGrowthRate.Value(); }
  /** Prompt tokens that a prefill engine computes in a millisecond. */
  double PrefillRate() const { return mPrefillRate.Value(); }
  /** Expected time to compute a prompt on an idle engine. */
  Duration PrefillTime(std::uint64_t aTokens) const;

private:
  struct Held
  {
    std::string mEndpoint;
    EndpointWork mWork;
    /** The engine computes the whole prompt and nothing else. */
    bool mIsAlone = false;
  };

  /** True when aRun should leave its engine. */
  bool MustLeave(const StreamRun& aRun, Instant aNow) const;
  /** Engine with room for aRun; empty when there is none. */
  std::string ChooseTarget(const StreamRun& aRun, Instant aNow) const;
  double MemoryOf(const std::string& aService) const;
  /** Latest time at which aDemand must be placed to be on time. */
  Instant LatestStart(const StreamDemand& aDemand) const;
  /** The waiting stream that goes next. */
  std::list<StreamDemand>::iterator Next(Instant aNow);
  std::optional<StreamPlacement> Place(const StreamDemand& aDemand,
                                       Instant aNow);
  enum class KeptResult
  {
    Placed,
    /** The engine that has the prompt will have time for it. */
    Later,
    None,
  };
  /** Places aDemand at an engine that has its prompt already. */
  KeptResult PlaceAtKept(const StreamDemand& aDemand,
                         Instant aNow,
                         StreamPlacement& aPlacement);
  /** Expected peak of the engine's memory with aDemand; empty: no room. */
  std::optional<double> PeakWith(const StreamDemand& aDemand,
                                 const EndpointRecord& aEngine,
                                 Instant aNow) const;
  /** Lower is better; an engine serves aDemand only if no usable engine has a
   * better rank, also when that one has no room yet. */
  enum class Rank
  {
    Sound,
    /** aDemand failed there. */
    Tried,
    Avoided,
  };
  Rank RankOf(const std::string& aEngine,
              const StreamDemand& aDemand,
              Instant aNow) const;
  Rank BestRank(const std::vector<const EndpointRecord*>& aEngines,
                const StreamDemand& aDemand,
                Instant aNow) const;
  /** Chooses the decode engine of aPlacement; false when none has room. */
  bool ChooseDecode(const StreamDemand& aDemand,
                    Instant aNow,
                    StreamPlacement& aPlacement);
  const EndpointRecord* ChoosePrefill(const StreamDemand& aDemand,
                                      const std::string& aFailureDomain,
                                      Instant aNow) const;
  void Hold(const StreamDemand& aDemand, const StreamPlacement& aPlacement);
  void Begin(std::map<std::uint64_t, Held>& aWorks,
             std::uint64_t aNumber,
             const Held& aHeld);
  /** aEngine may compute what aDemand generated; else notes when to try. */
  bool MayRead(const std::string& aEngine,
               const StreamDemand& aDemand,
               Instant aNow);
  void EndRead(std::uint64_t aNumber, Instant aNow);

  const EndpointDirectory& mDirectory;
  EndpointLoads& mLoads;
  StreamRuns& mRuns;
  const CachedPrompts& mKept;
  LocalPrefillTurns& mPrefillTurns;
  const EndpointHealth& mHealth;
  std::string mFailureDomain;
  Random& mRandom;
  /** Tokens by which a run grows in a millisecond. */
  MovingEstimate mGrowthRate;
  MemoryForecast mForecast;
  StreamAdmission mAdmission;
  std::list<StreamDemand> mWaiting;
  std::map<std::uint64_t, Held> mPrefills;
  /** What decode engines compute of resumed streams. */
  std::map<std::uint64_t, Held> mReads;
  /** Next turn of this daemon at an engine that a waiting stream needs. */
  std::optional<Instant> mNextTurn;
  /** By service, from the latest demand. */
  std::map<std::string, EngineProfile> mProfiles;
  /** Moves from an engine in the last moments, to see their effect first. */
  std::map<std::string, Instant> mMovedAt;
  /** Memory of an engine that is used although no daemon tells of it: by runs
   * of a daemon that died or is cut off. */
  struct UnknownUse
  {
    double mTokens = 0;
    Instant mObservedAt;
    /** Expected need of the known runs when it was last looked at. */
    double mKnown = 0;
  };
  /** Use that a peer told of since is known now and counts once. */
  void CountNewlyKnown();
  double ExpectedNeed(const std::string& aEndpoint) const;
  double UnknownTokens(const std::string& aEndpoint, Instant aNow) const;

  /** By engine that refused a reservation. */
  std::map<std::string, UnknownUse> mUnknown;
  /** Engines that refused a reservation, until when they are left alone. */
  std::map<std::string, Instant> mFullUntil;
  /** Learned from prefills at engines that had nothing else to do. */
  MovingEstimate mPrefillRate;
};

} // namespace bulrushfold

#endif
