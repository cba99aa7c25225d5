#ifndef BULRUSHFOLD_DAEMON_MODELSESSION_H
#define BULRUSHFOLD_DAEMON_MODELSESSION_H

#include <memory>
#include <string>

#include "Base/Clock.h"
#include "Cluster/Configuration.h"
#include "Daemon/CancelController.h"
#include "Daemon/EngineClient.h"
#include "Daemon/FilterChain.h"
#include "Daemon/PairSource.h"
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
  CancelController& mCancels;
  PairSource& mPairs;
  LimitSettings mLimits;
  /** "DAEMON/INCARNATION". */
  std::string mOwner;
  std::uint32_t mMaxAttempts = 4;
};

/**
 * Carries out the actions of one ModelCall: calls to engines, delivery to the
 * caller, timers. Lives until the request is over.
 */
class ModelSession : public std::enable_shared_from_this<ModelSession>
{
public:
  ModelSession(ModelSessionServices& aServices, RequestPointer aRequest);
  void Start();

private:
  void Run(const ModelCallActions& aActions);
  void Do(const SelectPairAction& aAction);
  void Do(const PrefillAction& aAction);
  void Do(const TransferAction& aAction);
  void Do(const DecodeAction& aAction);
  void Do(const ProbeAction& aAction);
  void Do(const CancelAction& aAction);
  void Do(const DeliverAction& aAction);
  void Do(const CrashAction& aAction);
  void Do(const FinishAction& aAction);
  /** Notes the fault in the timeline and passes it to the call. */
  ModelCallActions Fail(std::uint32_t aAttempt, StepFailure aFailure);
  void FinishComplete(const FinishAction& aAction);
  Problem MakeProblem(const FinishAction& aAction) const;
  const Endpoint* FindEndpoint(const std::string& aName) const;
  AttemptId MakeId(std::uint32_t aAttempt) const;
  int Priority() const;
  ProbeResult JudgeStatus(const StepResult<EngineStatus>& aResult,
                          std::uint32_t aAttempt) const;

  ModelSessionServices& mServices;
  RequestPointer mRequest;
  ModelCall mCall;
  EngineClient::Call mEngineCall;
  EventHandle mDeadlineTimer;
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
