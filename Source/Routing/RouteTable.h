#ifndef BULRUSHFOLD_ROUTING_ROUTETABLE_H
#define BULRUSHFOLD_ROUTING_ROUTETABLE_H

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "Base/Random.h"
#include "Routing/RoutingConfig.h"

namespace bulrushfold {

/**
 * The routes of one version of the configuration. A request refers to the table
 * in which its route was found, so that one version applies to all its steps.
 */
class RouteTable
{
public:
  explicit RouteTable(RoutingConfig aConfig);

  /**
   * The route of aHost with the longest path prefix that matches aPath; null
   * when there is none. A port in aHost is ignored.
   */
  const Route* Find(std::string_view aHost, std::string_view aPath) const;
  const ServiceProfile* FindService(const std::string& aName) const;
  bool HasWorkspaces() const { return !mConfig.mWorkspaces.empty(); }
  /** The workspace that holds aKey; null when there is none, or when several
   * hold it. */
  const Workspace* FindWorkspace(const std::string& aKey) const;
  /** Names of the workspaces that share a key with another one, in order. */
  const std::set<std::string>& KeyConflicts() const { return mKeyConflicts; }
  const RoutingConfig& Config() const { return mConfig; }

private:
  void AddKeys(const Workspace& aWorkspace);

  using PrefixMap = std::unordered_map<std::string, const Route*>;

  RoutingConfig mConfig;
  std::unordered_map<std::string, PrefixMap> mHosts;
  /** Workspaces by key; null for a key that several hold. */
  std::unordered_map<std::string, const Workspace*> mWorkspaces;
  std::set<std::string> mKeyConflicts;
};

/** A random service of aRoute, chosen by weight; empty when no weight is
 * positive. */
std::string DrawService(const Route& aRoute, Random& aRandom);

} // namespace bulrushfold

#endif
