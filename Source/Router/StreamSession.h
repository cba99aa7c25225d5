#ifndef BULRUSHFOLD_ROUTER_STREAMSESSION_H
#define BULRUSHFOLD_ROUTER_STREAMSESSION_H

#include <memory>
#include <string>
#include <string_view>

#include "Router/CallerSide.h"
#include "Router/RouterServices.h"
#include "Router/StreamCall.h"
#include "Router/StreamDispatcher.h"
#include "Router/WakeTimer.h"

namespace bulrushfold {

/** Carries out the orders of one StreamCall; lives until the call is over. */
class StreamSession
  : private StreamCallPort
  , private DispatchedStream
  , public std::enable_shared_from_this<StreamSession>
{
public:
  StreamSession(RouterServices& aServices,
                RoutedRequestPointer aRequest,
                StreamTerms aParameters);
  void Start();

private:
  bool Admits(const StreamDemand& aDemand) override;
  void RequestPlacement(StreamDemand aDemand) override;
  void WithdrawPlacement() override;
  void ReleasePrefill(Duration aTook) override;
  void NoteStarted() override;
  void ReleaseDecode() override;
  void NoteAnswer(std::uint64_t aEvents, Duration aTook) override;
  void NoteDecodeFull(const std::string& aEndpoint,
                      std::uint64_t aTokens) override;
  void NoteBroken(const std::string& aEndpoint) override;
  void NoteMoved(const std::string& aEndpoint) override;
  bool IsUsable(const std::string& aEndpoint) const override;
  void Reserve(const std::string& aEndpoint, std::uint64_t aTokens) override;
  void Prefill(const std::string& aEndpoint, Instant aDeadline) override;
  void Decode(const DecodeOrder& aOrder, Instant aDeadline) override;
  void CancelSend(SendResult aReason) override;
  void Move(const std::string& aEndpoint, const std::string& aTarget) override;
  void DropCache(const KvCache& aCache) override;
  void DropReservation(const std::string& aEndpoint,
                       const std::string& aReservation) override;
  void StartAnswer(int aStatus, const HttpHeaders& aHeaders) override;
  void SendAnswer(std::string_view aData) override;
  void EndAnswer() override;
  void BreakAnswer(RefusalReason aReason) override;
  void Deliver(const EndpointAnswer& aAnswer) override;
  void Refuse(const Refusal& aRefusal) override;
  void WakeAt(Instant aTime) override { mTimer.WakeAt(aTime); }

  /** The prompt of a returning caller may be kept, and is not known here. */
  bool MustAskForPrompt() const;
  void StartCall();
  void HandlePlacement(const StreamPlacement* aPlacement) override;
  void HandleMove(const std::string& aTarget) override;
  void HandleMoveAnswer(const HttpCallReply& aReply,
                        const std::string& aSource,
                        Instant aSentAt);
  void HandleReserved(const HttpCallReply& aReply);
  void HandlePrefilled(const HttpCallReply& aReply);
  void HandleDecodeHead(int aStatus, const HttpHeaders& aHeaders);
  void HandleDecodeEnd(const HttpCallReply& aReply);
  void HandleCallerGone();
  /** Sends a call whose answer is of no interest. */
  void SendAside(HttpCallRequest aRequest);
  void BeginSend(std::string_view aStep,
                 const std::string& aEndpoint,
                 HttpCallRequest aRequest,
                 HttpCallHooks aHooks);
  /** Judges the end of a send, and notes it unless it went well. */
  SendEnd EndSend(const HttpCallReply& aReply);
  void NoteSendEnd(SendResult aResult, std::string_view aEnd, int aStatus);
  void Close();

  RouterServices& mServices;
  RoutedRequestPointer mRequest;
  std::uint64_t mNumber;
  EngineProfile mProfile;
  CallerSide mCaller;
  StreamCall mCall;
  WakeTimer mTimer;
  std::unique_ptr<HttpCall> mSend;
  std::unique_ptr<HttpCall> mMoveCall;
  /** Step and endpoint of the send in progress or the last one. */
  std::string mStep;
  std::string mEndpoint;
  Instant mSentAt;
  SendEnd mHeadEnd = SendEnd::Unknown;
  bool mIsPaused = false;
  /** Keeps the session alive until the request is over. */
  std::shared_ptr<StreamSession> mSelf;
};

} // namespace bulrushfold

#endif
