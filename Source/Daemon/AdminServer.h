#ifndef BULRUSHFOLD_DAEMON_ADMINSERVER_H
#define BULRUSHFOLD_DAEMON_ADMINSERVER_H

#include <functional>
#include <memory>
#include <string>

#include "Cluster/Configuration.h"
#include "Daemon/AdminChanges.h"
#include "Daemon/ClusterController.h"
#include "Daemon/LoadController.h"
#include "Daemon/OutcomeController.h"
#include "Net/HttpServer.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** State of this daemon, as the status resource shows it. */
struct DaemonStatus
{
  bool mIsReady = false;
  std::size_t mOpenRequests = 0;
  std::size_t mBookingsWaiting = 0;
  bool mIsStoreUp = true;
  WallTime mLastStoreAnswer;
};

/** The administration API of docs/admin-api.md. */
class AdminServer
{
public:
  using StatusHook = std::function<DaemonStatus()>;

  AdminServer(EventLoop& aLoop,
              const Settings& aSettings,
              const std::string& aIncarnation,
              ClusterController& aCluster,
              const Configuration& aConfiguration,
              AdminChanges& aChanges,
              OutcomeController& aOutcomes,
              const LoadController& aLoads,
              StatusHook aStatus);

  absl::Status Listen();

private:
  enum class Role
  {
    None,
    Viewer,
    Operator,
  };

  void Handle(std::shared_ptr<HttpExchange> aExchange);
  Role RoleOf(const std::string& aDigest) const;
  void HandleRead(std::shared_ptr<HttpExchange> aExchange,
                  const std::vector<std::string>& aPath,
                  Role aRole);
  void HandleChange(std::shared_ptr<HttpExchange> aExchange,
                    const std::vector<std::string>& aPath,
                    const std::string& aDigest);
  void ShowPresets(HttpExchange& aExchange) const;
  void ShowEndpoints(HttpExchange& aExchange) const;
  void ShowWorkspaces(HttpExchange& aExchange, Role aRole) const;
  void ShowStatus(HttpExchange& aExchange) const;
  void ShowCoverage(HttpExchange& aExchange,
                    const std::vector<std::string>& aPath);
  void Explain(std::shared_ptr<HttpExchange> aExchange,
               const std::string& aRequestId);
  void MakeReport(std::shared_ptr<HttpExchange> aExchange);

  const Settings& mSettings;
  std::string mIncarnation;
  ClusterController& mCluster;
  const Configuration& mConfiguration;
  AdminChanges& mChanges;
  OutcomeController& mOutcomes;
  const LoadController& mLoads;
  StatusHook mStatus;
  HttpServer mServer;
};

} // namespace bulrushfold

#endif
