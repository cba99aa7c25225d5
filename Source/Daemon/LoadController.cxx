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
  const auto it = mSources.find(aEndpoint);
  return it == mSources.end() ? "" : it->second.mIncarnation;
}

std::optional<LoadReport>
LoadController::LastReport(const std::string& aEndpoint) const
{
  const auto it = mSources.find(aEndpoint);
  return it == mSources.end() ? std::nullopt : it->second.mReport;
}

void
LoadController::Poll()
{
  const auto& endpoints = mConfiguration.Endpoints();
  for (auto it = mSources.begin(); it != mSources.end();) {
    it = endpoints.count(it->first) == 0 ? mSources.erase(it) : std::next(it);
  }
  for (const auto& [name, endpoint] : endpoints) {
    if (endpoint.mKind != EndpointKind::Engine) {
      continue;
    }
    Source& source = mSources[name];
    PollLoad(endpoint, source);
    if (endpoint.CanPrefill()) {
      PollEvents(endpoint, source);
    }
  }
}

void
LoadController::PollLoad(const Endpoint& aEndpoint, Source& aSource)
{
  if (std::exchange(aSource.mIsLoadPending, true)) {
    return;
  }
  aSource.mLoadCall = mEngines.Load(
    aEndpoint.mAddress,
    [this, name = aEndpoint.mName](const StepResult<EngineLoad>& aResult) {
      TakeLoad(name, aResult);
    });
}

void
LoadController::TakeLoad(const std::string& aName,
                         const StepResult<EngineLoad>& aResult)
{
  Source& source = mSources[aName];
  source.mIsLoadPending = false;
  if (!aResult.mIsOk) {
    return;
  }
  const EngineLoad& load = aResult.mValue;
  if (source.mIncarnation != load.mIncarnation) {
    source.mIncarnation = load.mIncarnation;
    source.mNextEvent = 0;
  }
  LoadReport report;
  report.mRunning = load.mRunning;
  report.mQueued = load.mQueued;
  report.mSlots = load.mSlots;
  report.mPiecesTotal = load.mPiecesTotal;
  report.mPiecesUsed = load.mPiecesUsed;
  report.mAge = load.mAge;
  source.mReport = report;
  mRouting.OnLoadReport(aName, report);
}

void
LoadController::PollEvents(const Endpoint& aEndpoint, Source& aSource)
{
  if (std::exchange(aSource.mAreEventsPending, true)) {
    return;
  }
  aSource.mEventsCall = mEngines.Events(
    aEndpoint.mAddress,
    aSource.mNextEvent,
    [this, name = aEndpoint.mName](const StepResult<EngineEvents>& aResult) {
      Source& source = mSources[name];
      source.mAreEventsPending = false;
      if (aResult.mIsOk) {
        source.mNextEvent = aResult.mValue.mNext;
        mRouting.OnCacheEvents(name, aResult.mValue.mEvents);
      }
    });
}

} // namespace bulrushfold
