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

/** Dependencies that all model sessions of a daemon share. */
struct ModelSessionDependencies
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
 * Executes the steps of one ModelCall: calls to engines, events of the policy,
 * delivery to the caller and timers. Exists until the request is finished.
 */
class ModelSession
  : public RoutedRequest
  , public std::enable_shared_from_this<ModelSession>
{
public:
  ModelSession(ModelSessionDependencies& aDependencies,
               RequestPointer aRequest);
  void Start();

  void OnQueued() override;
  void OnReserving() override;
  void OnStartPrefill(const StartPrefillAction& aAction) override;
  void OnStartTransfer(const StartTransferAction& aAction) override;
  void OnStartDecode(const StartDecodeAction& aAction) override;
  void OnCancelled(const CancelAction& aAction) override;
  void OnRejected(const RejectAction& aAction) override;

private:
  void ExecuteSteps(const ModelCallSteps& aSteps);
  void Execute(const PrefillStep& aStep);
  void Execute(const TransferStep& aStep);
  void Execute(const DecodeStep& aStep);
  void Execute(const ProbeStep& aStep);
  void Execute(const AbortCallStep& aStep);
  void Execute(const DeliverStep& aStep);
  void Execute(const CrashStep& aStep);
  void Execute(const PrefillDoneStep& aStep);
  void Execute(const TransferDoneStep& aStep);
  void Execute(const FirstTokenStep& aStep);
  void Execute(const DecodeFinishedStep& aStep);
  void Execute(const ReportFailureStep& aStep);
  void ReportFailure(const ReportFailureStep& aStep);
  void RefuseAsSuspect();
  void Execute(const RequestCancelledStep& aStep);
  void Execute(const EndRequestStep& aStep);

  ModelRequest MakeModelRequest() const;
  void FinishAnswer(const EndRequestStep& aStep);
  Problem MakeProblem(const EndRequestStep& aStep) const;
  const Endpoint* FindEndpoint(const std::string& aName) const;
  AttemptId MakeAttemptId(std::uint32_t aAttempt) const;
  ProbeResult EvaluateStatus(const StepResult<EngineStatus>& aResult,
                             const std::string& aEndpoint) const;
  /** Records the fault in the timeline and passes the failure to mCall. */
  void HandleFailure(std::uint32_t aAttempt, StepFailure aFailure);
  /** Calls HandleFailure in a later iteration of the event loop. */
  void DeferFailure(std::uint32_t aAttempt);

  ModelSessionDependencies& mDependencies;
  RequestPointer mRequest;
  ModelCall mCall;
  EngineClient::Call mEngineCall;
  EventHandle mDeadlineTimer;
  EventHandle mDelayTimer;
  int mPriority = 0;
  /** An endpoint died in the current step. */
  bool mHasEndpointCrashed = false;
  bool mIsRefusedAsSuspect = false;
  RejectAction mRejection;
  /** Keeps the session alive until the request is finished. */
  std::shared_ptr<ModelSession> mSelf;
};

/** Runs model requests; passes others to the next filter. */
class ModelFilter : public Filter
{
public:
  explicit ModelFilter(ModelSessionDependencies& aDependencies)
    : mDependencies(aDependencies)
  {
  }
  void Handle(const RequestPointer& aRequest, const Next& aNext) override;

private:
  ModelSessionDependencies& mDependencies;
};

} // namespace bulrushfold

#endif
