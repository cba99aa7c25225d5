#ifndef BULRUSHFOLD_ROUTER_PLAINSESSION_H
#define BULRUSHFOLD_ROUTER_PLAINSESSION_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "Router/AnswerWriter.h"
#include "Router/PlainCall.h"
#include "Router/RouterServices.h"
#include "Router/WakeTimer.h"

namespace bulrushfold {

/** Performs the actions of one PlainCall; exists until the call has ended. */
class PlainSession
  : private PlainCallDelegate
  , public std::enable_shared_from_this<PlainSession>
{
public:
  PlainSession(RouterServices& aServices, RoutedRequestPointer aRequest);
  void Start();

private:
  void RequestEndpoint(const PlainDemand& aDemand) override;
  void WithdrawRequest() override;
  void Send(const EndpointChoice& aChoice, Instant aDeadline) override;
  SendOutcome CancelSend(SendResult aReason) override;
  bool IsCrashSuspect() override;
  void Deliver(const EndpointAnswer& aAnswer) override;
  void Refuse(const Refusal& aRefusal) override;
  void WakeAt(Instant aTime) override { mTimer.WakeAt(aTime); }

  void HandleReply(HttpCallReply aReply);
  /** Tells the crash guard what the reply shows about the request. */
  void RecordEvidence(SendOutcome aOutcome, const HttpCallReply& aReply);
  void HandleCallerDisconnected();
  void HandleStopEnd();
  void HandleGrant(const PlainGrant& aGrant);
  /** aResult: empty when it says nothing about the endpoint. */
  void FinishSend(std::optional<SendResult> aResult,
                  const std::optional<ReportedLoad>& aLoad);
  void Close();

  RouterServices& mServices;
  RoutedRequestPointer mRequest;
  AnswerWriter mAnswerWriter;
  PlainCall mCall;
  WakeTimer mTimer;
  std::unique_ptr<HttpCall> mSend;
  /** Number of the demand that has no answer yet; 0: none. */
  std::uint64_t mDemandNumber = 0;
  /** Number of the last demand that was granted. */
  std::uint64_t mGrantNumber = 0;
  /** Number of the demand that the send in progress was granted. */
  std::uint64_t mSendNumber = 0;
  /** The last send. */
  SentRun mRun;
  sigc::connection mStopConnection;
  /** Keeps the session alive until the call has ended. */
  std::shared_ptr<PlainSession> mSelf;
};

} // namespace bulrushfold

#endif
