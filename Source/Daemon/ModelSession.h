#ifndef BULRUSHFOLD_DAEMON_MODELSESSION_H
#define BULRUSHFOLD_DAEMON_MODELSESSION_H

#include <memory>
#include <string>

#include "Base/Clock.h"
#include "Cluster/Configuration.h"
#include "Daemon/EngineClient.h"
#include "Daemon/FilterChain.h"
#include "Daemon/LoadController.h"
#include "Daemon/RoutingController.h"
#include "Daemon/SuspectFilter.h"
#include "Net/EventLoop.h"
#include "Serving/ModelCall.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** What all model sessions of a daemon share. */
struct ModelSessionServices
{
  EventLoop& mLoop;
  const Clock& mClock;
  const Configuration& mConfiguration;
  EngineClient& mEngines;
  RoutingController& mRouting;
  const LoadController& mLoads;
  ClusterController& mCluster;
  /** Set before the first request. */
  SuspectGate* mSuspects = nullptr;
  LimitSettings mLimits;
  /** "DAEMON/INCARNATION". */
  std::string mOwner;
};

/**
 * Carries out the steps of one ModelCall: calls to engines, events of the
 * policy, delivery to the caller, timers. Lives until the request is over.
 */
class ModelSession
  : public RoutedRequest
  , public std::enable_shared_from_this<ModelSession>
{
public:
  ModelSession(ModelSessionServices& aServices, RequestPointer aRequest);
  void Start();

  void OnQueued() override;
  void OnReserving() override;
  void OnStartPrefill(const StartPrefillAction& aAction) override;
  void OnStartTransfer(const StartTransferAction& aAction) override;
  void OnStartDecode(const StartDecodeAction& aAction) override;
  void OnCancelled(const CancelAction& aAction) override;
  void OnRejected(const RejectAction& aAction) override;

private:
  void Run(const ModelCallSteps& aSteps);
  void Do(const PrefillStep& aStep);
  void Do(const TransferStep& aStep);
  void Do(const DecodeStep& aStep);
  void Do(const ProbeStep& aStep);
  void Do(const AbortCallStep& aStep);
  void Do(const DeliverStep& aStep);
  void Do(const CrashStep& aStep);
  void Do(const PrefillDoneStep& aStep);
  void Do(const TransferDoneStep& aStep);
  void Do(const FirstTokenStep& aStep);
  void Do(const DecodeFinishedStep& aStep);
  void Do(const ReportFailureStep& aStep);
  void PassFailure(const ReportFailureStep& aStep);
  void RefuseAsSuspect();
  void Do(const RequestCancelledStep& aStep);
  void Do(const EndRequestStep& aStep);

  ModelRequest MakeModelRequest() const;
  void AnswerWhole(const EndRequestStep& aStep);
  Problem MakeProblem(const EndRequestStep& aStep) const;
  const Endpoint* FindEndpoint(const std::string& aName) const;
  AttemptId MakeId(std::uint32_t aAttempt) const;
  ProbeResult JudgeStatus(const StepResult<EngineStatus>& aResult,
                          const std::string& aEndpoint) const;
  /** Notes the fault in the timeline and passes it to the call. */
  void Fail(std::uint32_t aAttempt, StepFailure aFailure);
  /** Like Fail, in a later turn of the loop. */
  void FailLater(std::uint32_t aAttempt);

  ModelSessionServices& mServices;
  RequestPointer mRequest;
  ModelCall mCall;
  EngineClient::Call mEngineCall;
  EventHandle mDeadlineTimer;
  EventHandle mDelayTimer;
  int mPriority = 0;
  /** An endpoint died during the current step. */
  bool mHasCrashed = false;
  bool mIsRefusedAsSuspect = false;
  RejectAction mRejection;
  /** Keeps the session alive until the request is over. */
  std::shared_ptr<ModelSession> mSelf;
};

/** Runs model requests; passes others on. */
class ModelFilter : public Filter
{
public:
  explicit ModelFilter(ModelSessionServices& aServices)
    : mServices(aServices)
  {
  }
  void Handle(const RequestPointer& aRequest, const Next& aNext) override;

private:
  ModelSessionServices& mServices;
};

} // namespace bulrushfold

#endif
