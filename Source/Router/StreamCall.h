#ifndef BULRUSHFOLD_ROUTER_STREAMCALL_H
#define BULRUSHFOLD_ROUTER_STREAMCALL_H

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "Base/Clock.h"
#include "Router/EventRelay.h"
#include "Router/PlainCall.h"
#include "Router/SendOutcome.h"
#include "Routing/SharedRetryBudget.h"
#include "Routing/StreamScheduler.h"

namespace bulrushfold {

/** Stage of a stream. */
enum class StreamState
{
  /** The scheduler has not placed the stream yet. */
  Waiting,
  Reserving,
  Prefilling,
  /** The stream was sent to a decode engine, whose answer has not started. */
  Starting,
  Streaming,
  /** An error answer of the decode engine is being received. */
  ReceivingError,
  Finished,
};

/** Parameters of the call to a decode engine. */
struct DecodeParameters
{
  std::string mEndpoint;
  std::optional<KvCache> mCache;
  std::string mReservation;
  std::string mLastEventId;
};

/** What became of a run whose engine was asked to move it. */
enum class MoveOutcome
{
  /** The engine stopped the run, and the target has a copy of its KV cache. */
  Copied,
  /** The engine stopped the run, but there is no copy. */
  Stopped,
  /** The engine states that it did not stop the run, which continues or has
   * ended before. */
  NotStopped,
  /** It is unknown whether the engine stopped the run. */
  Unknown,
};

/** Answer of an engine that was asked to move a run. */
struct MoveAnswer
{
  MoveOutcome mOutcome = MoveOutcome::Unknown;
  /** KV cache from which the stopped run can be resumed; set when the outcome
   * is Copied or Stopped. */
  std::optional<KvCache> mCache;
};

/** Actions that a StreamCall requests from its session. */
class StreamCallDelegate
{
public:
  virtual ~StreamCallDelegate() = default;
  // Scheduler.
  /** False when the stream could not start in time. */
  virtual bool Admits(const StreamDemand& aDemand) = 0;
  virtual void RequestPlacement(StreamDemand aDemand) = 0;
  virtual void WithdrawPlacement() = 0;
  /** The prefill has ended. aDuration: zero when it failed or was cancelled. */
  virtual void ReleasePrefill(Duration aDuration) = 0;
  /** The decode engine has started to generate. */
  virtual void ReportDecodeStarted() = 0;
  virtual void ReleaseDecode() = 0;
  /** The answer is complete. aEvents: their number; aDuration: time
   * from the first one to the last. */
  virtual void ReportAnswer(std::uint64_t aEvents, Duration aDuration) = 0;
  virtual void ReportDecodeFull(const std::string& aEndpoint,
                                std::uint64_t aTokens) = 0;
  /** A run was interrupted; aEndpoint may still have cached its prompt. */
  virtual void ReportInterruptedRun(const std::string& aEndpoint) = 0;
  /** The run counts towards the load of aEndpoint from now on. */
  virtual void ReportMoved(const std::string& aEndpoint) = 0;
  virtual bool IsUsable(const std::string& aEndpoint) const = 0;
  /** Version of the software of aEndpoint; empty when it is unknown. */
  virtual std::string SoftwareOf(const std::string& aEndpoint) const = 0;
  /** The next event of the stream comes from an engine of aSoftware.
   * aHasBegun: the caller has received events of that version. */
  virtual void ReportVersion(const std::string& aSoftware, bool aHasBegun) = 0;
  /** aEndpoint is in the registry and did not ask for a pause. */
  virtual bool CanReceive(const std::string& aEndpoint) const = 0;
  /** A part of the prompt crashes engines, so it must not be sent to one. */
  virtual bool IsPromptRefused() = 0;
  // Engines. The session reports the end of each call with the matching On...
  // function of StreamCall, unless CancelSend cancels it.
  virtual void Reserve(const std::string& aEndpoint, std::uint64_t aTokens) = 0;
  virtual void Prefill(const std::string& aEndpoint, Instant aDeadline) = 0;
  virtual void Decode(const DecodeParameters& aParameters,
                      Instant aDeadline) = 0;
  /** Cancels the send in progress. aReason: its result in the health record. */
  virtual void CancelSend(SendResult aReason) = 0;
  /** The engine of the run has been silent for the stall timeout. aKeptFor: why
   * no other run may replace it; empty when a replacement is prepared. */
  virtual void ReportSilence(std::optional<RefusalReason> aKeptFor) = 0;
  /** Sets the run aside: its answer is still received, and the next actions
   * refer to its replacement. */
  virtual void SetRunAside() = 0;
  /** Discards the replacement; the next actions refer to the run again. */
  virtual void ReturnToRun() = 0;
  /** Pauses or continues to receive the answer of the run that was set aside.
   */
  virtual void SetRunAsideReading(bool aIsReading) = 0;
  /** Cancels the run that was set aside. */
  virtual void CancelRunAside() = 0;
  /** Stops the run at aEndpoint and copies its KV cache to aTarget. The session
   * reports the result with OnMoveAnswered. */
  virtual void Move(const std::string& aEndpoint,
                    const std::string& aTarget) = 0;
  virtual void DropCache(const KvCache& aCache) = 0;
  virtual void DropReservation(const std::string& aEndpoint,
                               const std::string& aReservation) = 0;
  // Caller.
  virtual void StartAnswer(int aStatus, const HttpHeaders& aHeaders) = 0;
  virtual void SendAnswer(std::string_view aData) = 0;
  /** The engine's answer is not read, because the caller reads too slowly. */
  virtual bool IsReadPaused() const = 0;
  virtual void EndAnswer() = 0;
  virtual void AbortAnswer(RefusalReason aReason) = 0;
  virtual void Deliver(const EndpointAnswer& aAnswer) = 0;
  virtual void Refuse(const Refusal& aRefusal) = 0;
  /** Schedules OnWake for aTime; replaces the time that was set before. */
  virtual void WakeAt(Instant aTime) = 0;
};

/** Parameters of one stream. */
struct StreamParameters
{
  CallParameters mCall;
  std::uint64_t mNumber = 0;
  EngineProfile mProfile;
  TokenCounts mTokens;
  /** Expected length of the answer, in tokens. */
  std::uint64_t mAnswerTokens = 0;
  /** Id of the last event that the caller has already received. */
  std::string mLastEventId;
  /** Key of the part that only this prompt contains; 0 when it is unknown. */
  std::uint64_t mPromptKey = 0;
  /** Arrival of the caller's first attempt, if that attempt was refused with a
   * retry time. */
  std::optional<Instant> mFirstArrival;
};

/**
 * Handles one stream: placement, reservation, prefill, decode, and the retries
 * when one of them fails. If the answer is interrupted and the route allows it,
 * another engine continues the stream after the last complete event.
 */
class StreamCall
{
public:
  StreamCall(StreamCallDelegate& aDelegate,
             SharedRetryBudget& aRetryBudget,
             StreamParameters aParameters);

  /** The stream that the caller resumes was begun by aSoftware. To be called
   * before Start. */
  void BindTo(const std::string& aSoftware) { mSoftware = aSoftware; }
  /** Refuses the stream, because its version is unknown. */
  void RefuseUnknownVersion() { Finish(RefusalReason::UnknownVersion); }
  void Start(Instant aNow);
  void OnPlaced(const StreamPlacement& aPlacement, Instant aNow);
  /** The stream expired in the scheduler's queue. */
  void OnPlacementExpired(Instant aNow);
  /** The workspace has used up its quota until aRetryAfter. */
  void OnOverQuota(Duration aRetryAfter, Instant aNow);
  /** No engine will accept the stream in time. aRetryAfter: time until one
   * accepts streams again; zero when it is unknown. */
  void OnUnservable(Duration aRetryAfter, Instant aNow);
  /** The placer refused the stream, because it could not begin in time. */
  void OnOverload(Instant aNow);
  /** aReservation: empty when the engine granted none. */
  void OnReserved(const std::string& aReservation, Instant aNow);
  /** aCache: set when aOutcome is Answered. */
  void OnPrefilled(SendOutcome aOutcome,
                   const KvCache& aCache,
                   Duration aDuration,
                   Instant aNow);
  /** The engine of the run that was set aside sends or closes its connection. A
   * replacement that is being prepared is discarded, but if it was sent, the
   * run is cancelled. To be called before the event itself is delivered. */
  void OnRunHeard(Instant aNow);
  void OnAnswerStarted(SendOutcome aOutcome,
                       int aStatus,
                       const HttpHeaders& aHeaders,
                       Instant aNow);
  void OnAnswerData(std::string_view aData, Instant aNow);
  /** The call to the decode engine ended. */
  void OnAnswerEnded(SendOutcome aOutcome, Instant aNow);
  /** Starts to move the run to aTarget, if that is possible now. */
  void StartMove(const std::string& aTarget, Instant aNow);
  void OnMoveAnswered(const MoveAnswer& aAnswer, Instant aNow);
  void OnWake(Instant aNow);
  void OnCallerDisconnected(Instant aNow);
  /** The process ends; answers the request, or aborts a started answer. */
  void OnStopEnd();

  StreamState State() const { return mAttempt.mState; }
  /** The run is being moved, so the answer of its engine may end early. */
  bool IsMoving() const { return mMove.has_value() && !mRunAside; }
  /** Memory used by an incomplete event or by an error answer, in bytes. */
  std::size_t KeptBytes() const
  {
    return mRelay.PendingBytes() + mErrorAnswer.mBody.size();
  }
  /** The data of the present run ends inside an event. If its answer ends now,
   * the engine has broken it off. */
  bool EndsInsideEvent() const
  {
    return mAttempt.mState == StreamState::Streaming &&
           (mRelay.HasPartialEvent() ||
            (mAttempt.mIsUnframed && mRelay.EndsInsideEvent()));
  }

private:
  /** Time without data after which another engine is prepared to continue a
   * run. */
  static constexpr Duration kStallTimeout = std::chrono::milliseconds(1200);

  /** Time after which a prefill without an answer counts as lost. */
  static constexpr Duration kPrefillTimeout = std::chrono::milliseconds(1500);
  /** Time for which a run is kept after its replacement was sent. The users
   * allow two engines to work on a stream for 400 ms. */
  static constexpr Duration kMaxOverlap = std::chrono::milliseconds(300);
  /** Maximum placements of one stream; limits the retries when engines refuse.
   */
  static constexpr std::uint32_t kMaxPlacements = 40;

  /** A placement of the stream, and its run at the decode engine. */
  struct Attempt
  {
    StreamState mState = StreamState::Waiting;
    StreamPlacement mPlacement;
    std::string mReservation;
    std::optional<KvCache> mCache;
    /** Software version of the decode engine when the run was sent to it. */
    std::string mSoftware;
    /** Source of a copied run, until the target has resumed it. */
    std::string mMoveSource;
    /** The last decode continues a run that was moved, so its refusal does not
     * mean that the run has not started. */
    bool mContinuesRun = false;
    /** The answer of the run ends with its connection. */
    bool mIsUnframed = false;
    /** An earlier move may have stopped the run, or may still stop it. */
    bool mMayBeStopped = false;
  };

  /** Move in progress. */
  struct RunMove
  {
    std::string mSource;
    std::string mTarget;
    /** How the source has ended its answer. */
    std::optional<SendOutcome> mEnd;
    std::optional<MoveAnswer> mAnswer;
  };

  /** True if the answer may go on at aEndpoint. */
  bool MayContinueAt(const std::string& aEndpoint) const;
  /** Reports the version of the next event, if it has changed. */
  void NoteVersion(const std::string& aSoftware);
  StreamDemand MakeDemand(Instant aNow) const;
  void RefuseForOverload();
  void Submit(Instant aNow);
  /** Time after which the next event is late. */
  Instant NextEventDue(Instant aNow) const;
  /** Time at which the stream leaves the scheduler's queue. */
  Instant QueueDeadline(Instant aNow) const;
  std::uint64_t ReservedTokens(Instant aNow) const;
  void StartPrefill(Instant aNow);
  void StartDecode(Instant aNow);
  /** Resumes the moved run once the source has ended its answer and reported
   * the KV cache. */
  void ContinueMove(Instant aNow);
  /** Forgets the move and drops the KV cache that it left. */
  void DropMove();
  /** The connection of a run that a move has stopped ends in order, so that the
   * answer looks complete unless its head stated where it ends. */
  bool MayHaveBeenStopped() const
  {
    return mAttempt.mIsUnframed && (mMove || mAttempt.mMayBeStopped);
  }
  /** Resumes the run at its source after the target refused it; false when that
   * is not possible. */
  bool ResumeAtSource(Instant aNow);
  void SendDecode(Instant aNow);
  /** Releases everything that the stream occupies at engines. */
  void ReleaseAll();
  /** Submits the stream to the scheduler again, or ends it. aRepeatedSends:
   * sends that a further attempt uses of the retry budget. */
  void Retry(std::uint32_t aRepeatedSends, Instant aNow);
  /** Number of calls before the decode that a further attempt repeats. */
  std::uint32_t RepeatedPrefills() const;
  /** True when the route allows one more run. */
  bool MayRunAgain() const;
  /** True when the prompt may be sent to another prefill engine. */
  bool MayPrefillAgain(Instant aNow);
  /** Ends the attempt if a part of the prompt crashes engines. */
  bool EndIfPromptRefused(Instant aNow);
  /** Cancels the present step and releases everything. aSendResult: result of
   * the cancelled send in the health record. */
  void CancelStep(SendResult aSendResult);
  /** Cancels the present step, releases everything, and ends the stream.
   * aSendResult: result of the cancelled send in the health record. */
  void EndEarly(RefusalReason aReason, SendResult aSendResult);
  /** The attempt cannot continue: returns to the run that was set aside, or
   * ends the stream. aMinRetryAfter: see Finish. */
  void FailAttempt(RefusalReason aReason,
                   Instant aNow,
                   Duration aMinRetryAfter = Duration::zero());
  /** Aborts a started answer, else refuses the request. aMinRetryAfter: minimum
   * time for which a refused caller should wait. */
  void Finish(RefusalReason aReason,
              Duration aMinRetryAfter = Duration::zero());
  void HandleStall(Instant aNow);
  /** Prepares a replacement of the silent run. The run is kept until the engine
   * of the replacement accepts it, because its own engine may go on. */
  void HandleSilence(Instant aNow);
  /** Why no other run may replace the present one; empty when one may. */
  std::optional<RefusalReason> ReplacementObstacle(Instant aNow);
  /** Counts the sends of the replacement in the retry budget; false when the
   * budget does not allow them. */
  bool CountReplacement(Instant aNow);
  /** Discards the replacement and everything that it occupies at engines. */
  void DropReplacement();
  /** Reads the answer of the run that was set aside again, as its replacement
   * was refused. Returns to it if its move was answered meanwhile, and true
   * then. */
  bool ReturnToRunAside(Instant aNow);
  /** Cancels the run that was set aside, because its replacement has started or
   * may have. */
  void AbandonRunAside();
  void SetStallTimeout(Duration aTimeout, Instant aNow);
  /** Waits for the next data of the run, or for its deadline. */
  void WatchRun(Instant aNow);

  StreamCallDelegate& mDelegate;
  SharedRetryBudget& mRetryBudget;
  StreamParameters mParameters;
  EventRelay mRelay;
  Attempt mAttempt;
  /** The silent run for which mAttempt prepares a replacement. */
  std::optional<Attempt> mRunAside;
  /** The sends of the replacement are counted in the retry budget. */
  bool mIsReplacementCounted = false;
  /** The replacement was sent to its decode engine, which has not answered. The
   * answer of the run that was set aside is not read meanwhile. */
  bool mIsReplacementSent = false;
  std::set<std::string> mFailedEndpoints;
  std::optional<RunMove> mMove;
  std::uint32_t mMoveCount = 0;
  EndpointAnswer mErrorAnswer;
  /** Number of runs at decode engines that may have started. A run counts when
   * it is sent, and until its engine states that it did not run. */
  std::uint32_t mPossibleRuns = 0;
  std::uint32_t mPlacementCount = 0;
  /** An engine whose cache should have the prompt failed. */
  bool mIsPromptLost = false;
  bool mHasStartedAnswer = false;
  /** Software version that made the first event that was passed on, also at an
   * earlier attempt of the caller. */
  std::optional<std::string> mSoftware;
  /** The version that was reported last. */
  std::optional<std::string> mReportedSoftware;
  /** A single run has generated the whole answer. */
  bool mIsSingleRun = true;
  Instant mFirstEventAt;
  Instant mStallDeadline;
};

} // namespace bulrushfold

#endif
