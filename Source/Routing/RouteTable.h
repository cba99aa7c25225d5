#ifndef BULRUSHFOLD_ROUTING_ROUTETABLE_H
#define BULRUSHFOLD_ROUTING_ROUTETABLE_H

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "Base/Random.h"
#include "Routing/RoutingConfig.h"

namespace bulrushfold {

/**
 * The routes of one version of the configuration. Requests keep the table
 * that they were matched with, so that one request is handled by one version.
 */
class RouteTable
{
public:
  explicit RouteTable(RoutingConfig aConfig);

  /**
   * The route of aHost with the longest prefix that begins aPath; null when
   * there is none. aHost may carry a port, which is ignored.
   */
  const Route* Find(std::string_view aHost, std::string_view aPath) const;
  const ServiceProfile* FindService(const std::string& aName) const;
  const RoutingConfig& Config() const { return mConfig; }

private:
  using PrefixMap = std::unordered_map<std::string, const Route*>;

  RoutingConfig mConfig;
  std::unordered_map<std::string, PrefixMap> mHosts;
};

/** A service of aRoute, drawn by weight; empty when no weight is positive. */
std::string DrawService(const Route& aRoute, Random& aRandom);

} // namespace bulrushfold

#endif
