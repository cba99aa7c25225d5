#ifndef BULRUSHFOLD_ROUTER_STREAMSESSION_H
#define BULRUSHFOLD_ROUTER_STREAMSESSION_H

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "Router/AnswerWriter.h"
#include "Router/RouterServices.h"
#include "Router/StreamCall.h"
#include "Router/StreamPlacer.h"
#include "Router/WakeTimer.h"

namespace bulrushfold {

/** Performs the actions of one StreamCall; exists until the call has ended. */
class StreamSession
  : private StreamCallDelegate
  , private DispatchedStream
  , public std::enable_shared_from_this<StreamSession>
{
public:
  StreamSession(RouterServices& aServices,
                RoutedRequestPointer aRequest,
                StreamParameters aParameters);
  void Start();

private:
  /** A placement of the stream, and its current or last send. */
  struct Attempt
  {
    /** Identifies the placement. */
    std::uint64_t mNumber = 0;
    std::unique_ptr<HttpCall> mSend;
    std::string mStep;
    /** The last send. */
    SentRun mRun;
    SendOutcome mHeadOutcome = SendOutcome::Unknown;
    /** When the head of the decode engine's answer arrived; zero before. */
    Instant mAnswerStartedAt;
    /** The answer of the decode engine states its end. */
    bool mIsAnswerFramed = false;
  };

  bool Admits(const StreamDemand& aDemand) override;
  void RequestPlacement(StreamDemand aDemand) override;
  void WithdrawPlacement() override;
  void ReleasePrefill(Duration aDuration) override;
  void ReportDecodeStarted() override;
  void ReleaseDecode() override;
  void ReportAnswer(std::uint64_t aEvents, Duration aDuration) override;
  void ReportDecodeFull(const std::string& aEndpoint,
                        std::uint64_t aTokens) override;
  void ReportInterruptedRun(const std::string& aEndpoint) override;
  void ReportMoved(const std::string& aEndpoint) override;
  bool IsUsable(const std::string& aEndpoint) const override;
  std::string SoftwareOf(const std::string& aEndpoint) const override;
  bool CanReceive(const std::string& aEndpoint) const override;
  bool IsPromptRefused() override;
  void Reserve(const std::string& aEndpoint, std::uint64_t aTokens) override;
  void Prefill(const std::string& aEndpoint, Instant aDeadline) override;
  void Decode(const DecodeParameters& aParameters, Instant aDeadline) override;
  void CancelSend(SendResult aReason) override;
  void ReportSilence(std::optional<RefusalReason> aKeptFor) override;
  void SetRunAside() override;
  void ReturnToRun() override;
  void SetRunAsideReading(bool aIsReading) override;
  void CancelRunAside() override;
  void Move(const std::string& aEndpoint, const std::string& aTarget) override;
  void DropCache(const KvCache& aCache) override;
  void DropReservation(const std::string& aEndpoint,
                       const std::string& aReservation) override;
  void StartAnswer(int aStatus, const HttpHeaders& aHeaders) override;
  void SendAnswer(std::string_view aData) override;
  bool IsReadPaused() const override { return mIsReadPaused; }
  void EndAnswer() override;
  void AbortAnswer(RefusalReason aReason) override;
  void Deliver(const EndpointAnswer& aAnswer) override;
  void Refuse(const Refusal& aRefusal) override;
  void WakeAt(Instant aTime) override { mTimer.WakeAt(aTime); }

  void ReportVersion(const std::string& aSoftware, bool aHasBegun) override;
  Instant ResumableUntil() const
  {
    return mRequest->mParameters.mArrival + mRequest->ResumableTime();
  }
  /** Finds out at which version the stream may go on. */
  void ResolveVersion();
  void HandleVersion(const VersionDecision& aDecision,
                     const StreamOriginExchange::QuestionCounts& aCounts);
  /** Starts the call once it is known which engines cache the prompt. */
  void FindCachedPrompt();
  /** True when this daemon knows no engine that has the prompt of the resumed
   * stream in its cache. */
  bool NeedsCachedPromptQuery() const;
  void StartCall();
  void HandleUnservable(Duration aRetryAfter) override;
  void HandleOverload() override;
  void HandleOverQuota(Duration aRetryAfter) override;
  void HandlePlacement(const StreamPlacement* aPlacement) override;
  void HandleMove(const std::string& aTarget) override;
  void HandleMoveAnswer(const HttpCallReply& aReply,
                        const std::string& aSource,
                        Instant aSentAt);
  MoveAnswer ReadMoveAnswer(const HttpCallReply& aReply,
                            const std::string& aSource) const;
  void HandleReserved(const HttpCallReply& aReply);
  /** False when aReply is a repeated answer to an earlier call, recognized by
   * its request id or by aHandle, the handle or reservation that it grants. */
  bool IsOwnGrant(const HttpCallReply& aReply,
                  std::string_view aStep,
                  const std::string& aHandle);
  void HandlePrefilled(const HttpCallReply& aReply);
  void HandleDecodeHead(std::uint64_t aNumber,
                        int aStatus,
                        const HttpHeaders& aHeaders);
  void HandleDecodeEnd(std::uint64_t aNumber, const HttpCallReply& aReply);
  /** The decode engine of the attempt aNumber is heard from. False when the
   * attempt is not the present one, and is over. */
  bool OnDecodeHeard(std::uint64_t aNumber);
  /** The answer was passed on as a whole. */
  void RecordWholeAnswer();
  /** The connection was lost while the decode engine ran the stream. */
  void RecordLostRun();
  /** What a loss of the present run is evidence against. */
  RequestKeys LostKeys() const;
  /** The caller has received what was buffered for it. */
  void ResumeReading();
  void HandleCallerDisconnected();
  void HandleStopEnd();
  /** Sends a call without waiting for its answer; failures are only logged. */
  void SendDetached(const EndpointRecord& aEndpoint, HttpCallRequest aRequest);
  void StartSend(std::string_view aStep,
                 const EndpointRecord& aEndpoint,
                 HttpCallRequest aRequest,
                 HttpCallHooks aHooks);
  /** Determines the outcome of the send that aReply ends, and finishes it. */
  SendOutcome HandleSendReply(const HttpCallReply& aReply);
  void FinishSend(SendResult aResult, std::string_view aOutcome, int aStatus);
  /** Reports to health and placement how a send to aEndpoint went. */
  void RecordHealth(const std::string& aEndpoint, SendResult aResult);
  void Close();

  RouterServices& mServices;
  RoutedRequestPointer mRequest;
  EngineProfile mProfile;
  AnswerWriter mAnswerWriter;
  StreamCall mCall;
  WakeTimer mTimer;
  Attempt mAttempt;
  /** The run that is kept while mAttempt prepares its replacement. */
  std::optional<Attempt> mRunAside;
  std::unique_ptr<HttpCall> mMoveCall;
  sigc::connection mStopConnection;
  /** Engines to which the request was sent, for a prefill or a decode. */
  std::set<std::string> mSentTo;
  bool mIsReadPaused = false;
  /** Keeps the session alive until the call has ended. */
  std::shared_ptr<StreamSession> mSelf;
};

} // namespace bulrushfold

#endif
