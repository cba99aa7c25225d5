#ifndef BULRUSHFOLD_DAEMON_LOADCONTROLLER_H
#define BULRUSHFOLD_DAEMON_LOADCONTROLLER_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Cluster/Configuration.h"
#include "Daemon/EngineClient.h"
#include "Daemon/RoutingController.h"
#include "Net/EventLoop.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/**
 * Polls the load reports and cache events of the engines. No further call is
 * started while a call of the same kind is pending at the engine.
 */
class LoadController
{
public:
  LoadController(EventLoop& aLoop,
                 EngineClient& aEngines,
                 const Configuration& aConfiguration,
                 RoutingController& aRouting,
                 const RoutingSettings& aSettings);

  void Start();
  /** Incarnation in the last report of aEndpoint; empty before the first. */
  std::string Incarnation(const std::string& aEndpoint) const;

  /** Last report of aEndpoint; empty before the first. */
  std::optional<LoadReport> LastReport(const std::string& aEndpoint) const;

private:
  struct PolledEngine
  {
    EngineClient::Call mLoadCall;
    EngineClient::Call mEventsCall;
    std::string mIncarnation;
    std::optional<LoadReport> mReport;
    std::uint64_t mNextEvent = 0;
    bool mIsLoadPending = false;
    bool mAreEventsPending = false;
  };
  void Poll();
  void PollLoad(const Endpoint& aEndpoint, PolledEngine& aEngine);
  void PollEvents(const Endpoint& aEndpoint, PolledEngine& aEngine);
  void HandleLoad(const std::string& aName,
                  const StepResult<EngineLoad>& aResult);

  EventLoop& mLoop;
  EngineClient& mEngines;
  const Configuration& mConfiguration;
  RoutingController& mRouting;
  Duration mInterval;
  std::map<std::string, PolledEngine> mPolledEngines;
  EventHandle mTimer;
};

} // namespace bulrushfold

#endif
