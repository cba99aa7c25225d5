#ifndef BULRUSHFOLD_ROUTING_STREAMSCHEDULER_H
#define BULRUSHFOLD_ROUTING_STREAMSCHEDULER_H

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Routing/CachedPrompts.h"
#include "Routing/EndpointDirectory.h"
#include "Routing/EndpointHealth.h"
#include "Routing/EndpointLoads.h"
#include "Routing/EngineForecast.h"
#include "Routing/LocalPrefillTurns.h"
#include "Routing/MemoryForecast.h"
#include "Routing/MovingAverage.h"
#include "Routing/RoutingConfig.h"
#include "Routing/StreamAdmission.h"
#include "Routing/StreamDemand.h"
#include "Routing/StreamRuns.h"

namespace bulrushfold {

/** Engines chosen for a stream, and the data behind the choice. */
struct StreamPlacement
{
  std::uint64_t mNumber = 0;
  std::string mDecode;
  /** Empty when the decode engine computes the prompt itself. */
  std::string mPrefill;
  // Data behind the choice.
  /** Runs at the decode engine before this one. */
  std::size_t mDecodeRuns = 0;
  /** Expected peak of the decode engine's memory use, in tokens. */
  double mDecodePeak = 0;
  EndpointWork mPrefillLoad;
  /** Tokens of the prompt that the decode engine should have cached; 0 when no
   * cache was found. */
  std::uint64_t mCachedTokens = 0;
  /** Daemon that chose; empty: this one. */
  std::string mPlacedBy;
};

/** A waiting stream that no engine will accept in time. */
struct UnservableStream
{
  std::uint64_t mNumber = 0;
  /** Time until an engine accepts streams again; zero when it is unknown. */
  Duration mRetryAfter{};

  bool operator==(const UnservableStream& aOther) const
  {
    return mNumber == aOther.mNumber && mRetryAfter == aOther.mRetryAfter;
  }
};

/** A run that should move to another engine. */
struct MoveProposal
{
  std::uint64_t mNumber = 0;
  std::string mTarget;
};

/**
 * Places streams on engines. A stream starts when a decode engine has enough
 * memory for its expected need and a prefill engine is nearly idle, so that a
 * computed prompt never waits for memory. Waiting streams that can still be on
 * time are placed before late ones, and in each of these groups the stream with
 * the least memory use over time is placed first.
 *
 * A stream that is resumed after an event makes its decode engine compute the
 * tokens that were generated before, in a local prefill. This stalls the other
 * runs of the engine, so each engine starts such streams one at a time. If an
 * engine still caches the prompt of an interrupted stream, the stream resumes
 * there without a prefill engine.
 *
 * An engine that runs out of memory stops its newest run and computes the
 * prompt of that run again, which delays all its runs. To prevent this, the
 * newest run is moved to another engine before, by the daemon that owns it.
 * Runs at an engine that drains or changes its role are moved too. An answer
 * that has begun goes on only at engines of the same software version.
 *
 * Events to deliver: Submit; RemoveUnservable and Dispatch after every event
 * that may have freed capacity (a stream of this daemon ended, a peer reported
 * its loads, endpoints changed) and at NextWake; OnPrefillEnded and
 * OnDecodeEnded exactly once for each placement; Rebalance several times a
 * second while streams run, and OnMoved when a proposed move begins or is
 * reverted.
 */
class StreamScheduler
{
public:
  StreamScheduler(const EndpointDirectory& aDirectory,
                  EndpointLoads& aLoads,
                  StreamRuns& aRuns,
                  const CachedPrompts& aCachedPrompts,
                  LocalPrefillTurns& aPrefillTurns,
                  const EndpointHealth& aHealth,
                  std::string aFailureDomain,
                  Random& aRandom,
                  Instant aStart);

  /** False when aDemand is not expected to begin in time, so that its caller
   * should retry later. */
  bool Admits(const StreamDemand& aDemand, Instant aNow);
  void Submit(StreamDemand aDemand);
  /** Counts a run that another daemon placed. OnDecodeEnded ends it. */
  void Adopt(const StreamRun& aRun) { mRuns.Add(aRun); }
  /** Removes a waiting stream; false when there is none with this number. */
  bool Withdraw(std::uint64_t aNumber);
  /** Placements of waiting streams that can be made now. */
  std::vector<StreamPlacement> Dispatch(Instant aNow);
  /** Removes and returns the streams that have waited for too long. */
  std::vector<std::uint64_t> RemoveExpired(Instant aNow);
  /** Removes and returns the streams that no engine will accept in time,
   * because all decode engines of their service leave or back off. Streams that
   * resume an answer keep waiting for an engine that is added. */
  std::vector<UnservableStream> RemoveUnservable(Instant aNow);

  /** The prefill engine computed the prompt in aElapsed, or failed: then
   * aElapsed is zero. */
  void OnPrefillEnded(std::uint64_t aNumber, Duration aElapsed);
  /** The decode engine generates tokens; the run's memory grows from now on. */
  void OnDecodeStarted(std::uint64_t aNumber, Instant aNow);
  void OnDecodeEnded(std::uint64_t aNumber, Instant aNow);
  /** Runs of this daemon that should move. */
  std::vector<MoveProposal> Rebalance(Instant aNow);
  void OnMoved(std::uint64_t aNumber, const std::string& aEndpoint);
  /** A run sent aEvents events of aTokensPerEvent tokens each in aElapsed. */
  void OnProgress(std::uint64_t aEvents,
                  std::uint32_t aTokensPerEvent,
                  Duration aElapsed);
  /** aEndpoint refused to reserve memory for aTokens. */
  void OnReservationRefused(const std::string& aEndpoint,
                            std::uint64_t aTokens,
                            Instant aNow);

  /** Time at which Dispatch and RemoveExpired should be called; empty when no
   * stream waits. */
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
  struct PrefillWork
  {
    std::string mEndpoint;
    EndpointWork mWork;
    /** The engine computes the whole prompt and had no other work. */
    bool mIsExclusive = false;
  };

  /** True when aRun should move to another engine. */
  bool ShouldMove(const StreamRun& aRun, Instant aNow) const;
  /** Engine with enough memory for aRun; empty when there is none. */
  std::string ChooseTarget(const StreamRun& aRun, Instant aNow) const;
  /** Usable memory of one engine of aService, in tokens. */
  double UsableMemory(const std::string& aService) const;
  /** Latest time at which aDemand must be placed to be on time. */
  Instant LatestStart(const StreamDemand& aDemand) const;
  /** Set when no engine will accept aDemand in time. */
  std::optional<UnservableStream> FindUnservable(const StreamDemand& aDemand,
                                                 Instant aNow) const;
  /** The part of aEngines that may go on with the answer of aDemand; empty when
   * all of them may, because it has not begun. */
  static std::optional<std::vector<const EndpointRecord*>> FittingEngines(
    const StreamDemand& aDemand,
    const std::vector<const EndpointRecord*>& aEngines);
  /** The service has decode engines, but none of them may go on with the answer
   * of aDemand. */
  bool HasOtherVersionsOnly(const StreamDemand& aDemand) const;
  /** The waiting stream to be placed next. */
  std::list<StreamDemand>::iterator NextToPlace(Instant aNow);
  std::optional<StreamPlacement> Place(const StreamDemand& aDemand,
                                       Instant aNow);
  enum class CachedResult
  {
    Placed,
    /** The stream waits for its turn at the engine that caches the prompt. */
    Wait,
    None,
  };
  /** Places aDemand at an engine that caches its prompt. */
  CachedResult PlaceAtCachedPrompt(const StreamDemand& aDemand,
                                   Instant aNow,
                                   StreamPlacement& aPlacement);
  /** Expected need of aDemand alone. */
  MemoryProfile ProfileOf(const StreamDemand& aDemand, Instant aNow) const;
  /** Expected need of the runs at aEngine. */
  MemoryProfile EngineProfileOf(const std::string& aEngine, Instant aNow) const;
  /** Expected peak of the engine's memory use with aDemand, whose own need is
   * aProfile; empty when aDemand does not fit. */
  std::optional<double> PeakWith(const StreamDemand& aDemand,
                                 const MemoryProfile& aProfile,
                                 const EndpointRecord& aEngine,
                                 Instant aNow) const;
  /** Lower is better. An engine serves aDemand only if no usable engine has a
   * better rank, even if that one has no free capacity at present. */
  enum class Rank
  {
    Healthy,
    /** An earlier attempt of aDemand failed there. */
    FailedBefore,
    Avoided,
  };
  Rank RankOf(const std::string& aEngine,
              const StreamDemand& aDemand,
              Instant aNow) const;
  Rank BestRank(const std::vector<const EndpointRecord*>& aEngines,
                const StreamDemand& aDemand,
                Instant aNow) const;
  /** Chooses the decode engine of aPlacement; false when none has capacity. */
  bool ChooseDecode(const StreamDemand& aDemand,
                    Instant aNow,
                    StreamPlacement& aPlacement);
  /** A prefill engine for aDemand, preferably in aFailureDomain; null when all
   * are busy. */
  const EndpointRecord* ChoosePrefill(const StreamDemand& aDemand,
                                      const std::string& aFailureDomain,
                                      Instant aNow) const;
  /** Records the run and the prefills of aPlacement. */
  void AddPlacement(const StreamDemand& aDemand,
                    const StreamPlacement& aPlacement);
  void AddPrefill(std::map<std::uint64_t, PrefillWork>& aWorks,
                  std::uint64_t aNumber,
                  const PrefillWork& aPrefill);
  /** True if aEngine may start a local prefill for aDemand now; otherwise
   * updates mNextTurn. */
  bool MayPrefillLocally(const std::string& aEngine,
                         const StreamDemand& aDemand,
                         Instant aNow);
  void EndLocalPrefill(std::uint64_t aNumber, Instant aNow);

  const EndpointDirectory& mDirectory;
  EndpointLoads& mLoads;
  StreamRuns& mRuns;
  const CachedPrompts& mCachedPrompts;
  LocalPrefillTurns& mPrefillTurns;
  const EndpointHealth& mHealth;
  std::string mFailureDomain;
  Random& mRandom;
  /** Tokens by which a run grows in a millisecond. */
  MovingAverage mGrowthRate;
  MemoryForecast mForecast;
  mutable std::unordered_map<std::string, EngineForecast> mEngineForecasts;
  StreamAdmission mAdmission;
  std::list<StreamDemand> mWaiting;
  std::map<std::uint64_t, PrefillWork> mPrefills;
  /** Local prefills of decode engines, by number of the stream. */
  std::map<std::uint64_t, PrefillWork> mLocalPrefills;
  /** Earliest turn of this daemon at an engine that a waiting stream needs. */
  std::optional<Instant> mNextTurn;
  /** Engine profiles by service, from the latest demand. */
  std::map<std::string, EngineProfile> mProfiles;
  /** Time of the last move, by engine that the run left. The next move waits
   * until the effect of the last one is visible. */
  std::map<std::string, Instant> mMovedAt;
  /** Memory of an engine that is used by runs that no daemon reports: those of
   * a daemon that died or is partitioned from this one. */
  struct UnaccountedMemory
  {
    double mTokens = 0;
    Instant mObservedAt;
    /** ExpectedNeed of the engine at the last update. */
    double mReportedNeed = 0;
  };
  /** Subtracts runs that were reported meanwhile from the unaccounted memory,
   * so that they do not count twice. */
  void SubtractReported();
  /** Memory that all reported runs at aEndpoint use on average, in tokens. */
  double ExpectedNeed(const std::string& aEndpoint) const;
  /** Unaccounted memory of aEndpoint at aNow, in tokens. */
  double UnaccountedTokens(const std::string& aEndpoint, Instant aNow) const;

  /** Unaccounted memory, by engine that refused a reservation. */
  std::map<std::string, UnaccountedMemory> mUnaccounted;
  /** Time until which no stream is placed on an engine that refused a
   * reservation, by engine. */
  std::map<std::string, Instant> mFullUntil;
  /** Prompt tokens that a prefill engine computes in a millisecond, measured at
   * engines without other work. */
  MovingAverage mPrefillRate;
};

} // namespace bulrushfold

#endif
