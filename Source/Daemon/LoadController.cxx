#include "Daemon/LoadController.h"

#include <utility>

namespace bulrushfold {

LoadController::LoadController(EventLoop& aLoop,
                               EngineClient& aEngines,
                               const Configuration& aConfiguration,
                               RoutingController& aRouting,
                               const RoutingSettings& aSettings)
  : mLoop(aLoop)
  , mEngines(aEngines)
  , mConfiguration(aConfiguration)
  , mRouting(aRouting)
  , mInterval(aSettings.mLoadPollInterval)
{
}

void
LoadController::Start()
{
  mTimer = mLoop.Every(mInterval, [this] { Poll(); });
}

std::string
LoadController::Incarnation(const std::string& aEndpoint) const
{
  const auto it = mPolledEngines.find(aEndpoint);
  return it == mPolledEngines.end() ? "" : it->second.mIncarnation;
}

std::optional<LoadReport>
LoadController::LastReport(const std::string& aEndpoint) const
{
  const auto it = mPolledEngines.find(aEndpoint);
  return it == mPolledEngines.end() ? std::nullopt : it->second.mReport;
}

void
LoadController::Poll()
{
  const auto& endpoints = mConfiguration.Endpoints();
  for (auto it = mPolledEngines.begin(); it != mPolledEngines.end();) {
    it = endpoints.count(it->first) == 0 ? mPolledEngines.erase(it)
                                         : std::next(it);
  }
  for (const auto& [name, endpoint] : endpoints) {
    if (endpoint.mKind != EndpointKind::Engine) {
      continue;
    }
    PolledEngine& engine = mPolledEngines[name];
    PollLoad(endpoint, engine);
    if (endpoint.CanPrefill()) {
      PollEvents(endpoint, engine);
    }
  }
}

void
LoadController::PollLoad(const Endpoint& aEndpoint, PolledEngine& aEngine)
{
  if (std::exchange(aEngine.mIsLoadPending, true)) {
    return;
  }
  aEngine.mLoadCall = mEngines.Load(
    aEndpoint.mAddress,
    [this, name = aEndpoint.mName](const StepResult<EngineLoad>& aResult) {
      HandleLoad(name, aResult);
    });
}

void
LoadController::HandleLoad(const std::string& aName,
                           const StepResult<EngineLoad>& aResult)
{
  PolledEngine& engine = mPolledEngines[aName];
  engine.mIsLoadPending = false;
  if (!aResult.mIsOk) {
    return;
  }
  const EngineLoad& load = aResult.mValue;
  if (engine.mIncarnation != load.mIncarnation) {
    engine.mIncarnation = load.mIncarnation;
    engine.mNextEvent = 0;
  }
  LoadReport report;
  report.mRunning = load.mRunning;
  report.mQueued = load.mQueued;
  report.mSlots = load.mSlots;
  report.mPiecesTotal = load.mPiecesTotal;
  report.mPiecesUsed = load.mPiecesUsed;
  report.mAge = load.mAge;
  engine.mReport = report;
  mRouting.OnLoadReport(aName, report);
}

void
LoadController::PollEvents(const Endpoint& aEndpoint, PolledEngine& aEngine)
{
  if (std::exchange(aEngine.mAreEventsPending, true)) {
    return;
  }
  aEngine.mEventsCall = mEngines.Events(
    aEndpoint.mAddress,
    aEngine.mNextEvent,
    [this, name = aEndpoint.mName](const StepResult<EngineEvents>& aResult) {
      PolledEngine& engine = mPolledEngines[name];
      engine.mAreEventsPending = false;
      if (aResult.mIsOk) {
        engine.mNextEvent = aResult.mValue.mNext;
        mRouting.OnCacheEvents(name, aResult.mValue.mEvents);
      }
    });
}

} // namespace bulrushfold
