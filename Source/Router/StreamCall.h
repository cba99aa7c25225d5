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
#include "Router/SendEnd.h"
#include "Routing/SharedRetryBudget.h"
#include "Routing/StreamScheduler.h"

namespace bulrushfold {

/** Step of a stream. */
enum class StreamState
{
  /** The scheduler has not placed it. */
  Waiting,
  Reserving,
  Prefilling,
  /** Sent to a decode engine; its answer has not begun. */
  Starting,
  Streaming,
  /** A failure of the engine is being received. */
  Failing,
  Over,
};

/** A decode engine's part of a stream. */
struct DecodeOrder
{
  std::string mEndpoint;
  std::optional<KvCache> mCache;
  std::string mReservation;
  std::string mLastEventId;
};

/** What a StreamCall has its session do. */
class StreamCallPort
{
public:
  virtual ~StreamCallPort() = default;
  // Scheduler.
  /** False when a stream could not begin in time. */
  virtual bool Admits(const StreamDemand& aDemand) = 0;
  virtual void RequestPlacement(StreamDemand aDemand) = 0;
  virtual void WithdrawPlacement() = 0;
  /** The prompt is computed or given up; zero: it failed. */
  virtual void ReleasePrefill(Duration aTook) = 0;
  /** The engine generates. */
  virtual void NoteStarted() = 0;
  virtual void ReleaseDecode() = 0;
  /** The whole answer came: events, and the time between first and last. */
  virtual void NoteAnswer(std::uint64_t aEvents, Duration aTook) = 0;
  virtual void NoteDecodeFull(const std::string& aEndpoint,
                              std::uint64_t aTokens) = 0;
  /** A run ended unfinished, and aEndpoint may still have its prompt. */
  virtual void NoteBroken(const std::string& aEndpoint) = 0;
  /** The run is now counted at aEndpoint. */
  virtual void NoteMoved(const std::string& aEndpoint) = 0;
  virtual bool IsUsable(const std::string& aEndpoint) const = 0;
  // Engines. Each call ends with its event, or with CancelSend.
  virtual void Reserve(const std::string& aEndpoint, std::uint64_t aTokens) = 0;
  virtual void Prefill(const std::string& aEndpoint, Instant aDeadline) = 0;
  virtual void Decode(const DecodeOrder& aOrder, Instant aDeadline) = 0;
  virtual void CancelSend(SendResult aReason) = 0;
  /** Stops the run and copies its cache; ends with OnMoveAnswered. */
  virtual void Move(const std::string& aEndpoint,
                    const std::string& aTarget) = 0;
  virtual void DropCache(const KvCache& aCache) = 0;
  virtual void DropReservation(const std::string& aEndpoint,
                               const std::string& aReservation) = 0;
  // Caller.
  virtual void StartAnswer(int aStatus, const HttpHeaders& aHeaders) = 0;
  virtual void SendAnswer(std::string_view aData) = 0;
  virtual void EndAnswer() = 0;
  virtual void BreakAnswer(RefusalReason aReason) = 0;
  virtual void Deliver(const EndpointAnswer& aAnswer) = 0;
  virtual void Refuse(const Refusal& aRefusal) = 0;
  /** Calls OnWake at aTime; replaces an earlier order. */
  virtual void WakeAt(Instant aTime) = 0;
};

/** A stream's own data for the scheduler. */
struct StreamTerms
{
  CallTerms mCall;
  std::uint64_t mNumber = 0;
  EngineProfile mProfile;
  TokenCounts mTokens;
  /** Expected length of the answer. */
  std::uint64_t mAnswerTokens = 0;
  /** Last event that the caller already has. */
  std::string mLastEventId;
  /** Key of the prompt's own part; 0 when it is unknown. */
  std::uint64_t mPromptKey = 0;
  /** When the caller first came, if it was told to come back. */
  std::optional<Instant> mFirstArrival;
};

/**
 * Life of one stream: placement, reservation, prefill, decode, and what
 * follows when one of them fails. A stream whose answer breaks off goes on at
 * another engine if its route allows it, with whole events only.
 */
class StreamCall
{
public:
  StreamCall(StreamCallPort& aPort,
             SharedRetryBudget& aRetryBudget,
             StreamTerms aTerms);

  void Start(Instant aNow);
  void OnPlaced(const StreamPlacement& aPlacement, Instant aNow);
  /** It waited in the queue until it was given up. */
  void OnNoPlacement(Instant aNow);
  /** aReservation: empty when the engine gave none. */
  void OnReserved(const std::string& aReservation, Instant aNow);
  /** aHandle: set when aEnd is Answered. */
  void OnPrefilled(SendEnd aEnd,
                   const KvCache& aCache,
                   Duration aTook,
                   Instant aNow);
  void OnAnswerStarted(SendEnd aEnd,
                       int aStatus,
                       const HttpHeaders& aHeaders,
                       Instant aNow);
  void OnAnswerData(std::string_view aData, Instant aNow);
  /** The call to the decode engine ended. */
  void OnAnswerEnded(SendEnd aEnd, Instant aNow);
  /** Begins a move of the run to aTarget, if that is possible now. */
  void StartMove(const std::string& aTarget, Instant aNow);
  /** aCache: where the stopped run can be taken up; empty when it goes on or
   * is lost. aIsCopied: the target has it. */
  void OnMoveAnswered(const std::optional<KvCache>& aCache,
                      bool aIsCopied,
                      Instant aNow);
  void OnWake(Instant aNow);
  void OnCallerGone(Instant aNow);

  StreamState State() const { return mState; }
  /** The run is being moved, so that its stream may end early. */
  bool IsMoving() const { return mMove.has_value(); }

private:
  /** A move in progress. */
  struct RunMove
  {
    std::string mSource;
    std::string mTarget;
    /** The stream of the stopped run has ended. */
    bool mHasEnded = false;
    bool mIsAnswered = false;
    std::optional<KvCache> mCache;
    bool mIsCopied = false;
  };

  StreamDemand MakeDemand(Instant aNow) const;
  void Submit(Instant aNow);
  /** When the next event is late. */
  Instant Due(Instant aNow) const;
  std::uint64_t ReservedTokens(Instant aNow) const;
  void StartPrefill(Instant aNow);
  void StartDecode(Instant aNow);
  /** Takes the moved run up once it has stopped and its cache is known. */
  void ContinueMove(Instant aNow);
  /** The target did not take the run: takes it up where it was stopped. */
  bool ReturnToSource(Instant aNow);
  void SendDecode(Instant aNow);
  /** Gives back all that is held at engines. */
  void ReleaseAll();
  /** Goes on at other engines, or ends. aRepeats: sends that count as repeated
   * if it goes on. */
  void Retry(std::uint32_t aRepeats, Instant aNow);
  /** Calls before the decode that another run repeats. */
  std::uint32_t RepeatsToDecode() const;
  bool MayRunAgain() const;
  void Finish(RefusalReason aReason, bool aIsTimeout);
  void HandleStall(Instant aNow);
  void SetStallLimit(Duration aLimit, Instant aNow);

  StreamCallPort& mPort;
  SharedRetryBudget& mRetryBudget;
  StreamTerms mTerms;
  EventRelay mRelay;
  StreamState mState = StreamState::Waiting;
  StreamPlacement mPlacement;
  std::set<std::string> mFailedEndpoints;
  std::string mReservation;
  std::optional<KvCache> mCache;
  std::optional<RunMove> mMove;
  /** Where a moved run was stopped, until it goes on. */
  std::string mMoveSource;
  std::uint32_t mMoves = 0;
  EndpointAnswer mFailure;
  /** Runs at decode engines that may have begun. */
  std::uint32_t mRuns = 0;
  std::uint32_t mPlacements = 0;
  /** An engine that should have kept the prompt failed. */
  bool mIsPromptLost = false;
  bool mHasAnswer = false;
  /** The answer came from one run. */
  bool mIsOneRun = true;
  Instant mFirstEventAt;
  Instant mStallAt;
};

} // namespace bulrushfold

#endif
