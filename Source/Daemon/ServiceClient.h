#ifndef BULRUSHFOLD_DAEMON_SERVICECLIENT_H
#define BULRUSHFOLD_DAEMON_SERVICECLIENT_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Cluster/Configuration.h"
#include "Net/HttpClient.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** One call of a plain service at one endpoint. */
struct ServiceCallRequest
{
  HttpMethod mMethod = HttpMethod::Post;
  /** Path and query relative to the service. */
  std::string mTarget;
  std::string mContentType;
  std::string mBody;
  std::string mKey;
  /** Number of the attempt, sent to endpoints that check fencing numbers. */
  std::optional<std::uint64_t> mFencing;
  std::string mTraceparent;
};

/** Selects endpoints of plain services and calls them. */
class ServiceClient
{
public:
  using Hook = std::function<void(HttpCallReply)>;
  using Call = std::unique_ptr<HttpCall>;

  ServiceClient(HttpClient& aClient,
                const Configuration& aConfiguration,
                const RoutingSettings& aSettings);

  /**
   * The live endpoint of aService with the fewest calls in progress from this
   * daemon, except those in aExcluded; null if there is none.
   */
  const Endpoint* SelectEndpoint(
    const std::string& aService,
    const std::vector<std::string>& aExcluded) const;
  /**
   * Calls aEndpoint on a new connection, so that ConnectFailed means that no
   * byte was sent.
   */
  Call Send(const Endpoint& aEndpoint,
            const ServiceCallRequest& aRequest,
            Hook aHook);

private:
  HttpClient& mClient;
  const Configuration& mConfiguration;
  RoutingSettings mSettings;
  std::shared_ptr<std::map<std::string, int>> mInFlight =
    std::make_shared<std::map<std::string, int>>();
};

} // namespace bulrushfold

#endif
