#include "Routing/RouteTable.h"

#include <utility>

#include "absl/strings/ascii.h"

namespace bulrushfold {

namespace {
std::string
NormalizeHost(std::string_view aHost)
{
  return absl::AsciiStrToLower(
    absl::string_view(aHost.data(), std::min(aHost.find(':'), aHost.size())));
}
} // namespace

RouteTable::RouteTable(RoutingConfig aConfig)
  : mConfig(std::move(aConfig))
{
  for (const auto& it : mConfig.mRoutes) {
    mHosts[NormalizeHost(it.mHost)][it.mPathPrefix] = &it;
  }
  for (const auto& it : mConfig.mWorkspaces) {
    AddKeys(it);
  }
}

void
RouteTable::AddKeys(const Workspace& aWorkspace)
{
  for (const auto& key : aWorkspace.mKeys) {
    const auto [it, isNew] = mWorkspaces.try_emplace(key, &aWorkspace);
    if (isNew || it->second == &aWorkspace) {
      continue;
    }
    if (it->second != nullptr) {
      mKeyConflicts.insert(it->second->mName);
    }
    mKeyConflicts.insert(aWorkspace.mName);
    it->second = nullptr;
  }
}

const Workspace*
RouteTable::FindWorkspace(const std::string& aKey) const
{
  const auto it = mWorkspaces.find(aKey);
  return it == mWorkspaces.end() ? nullptr : it->second;
}

const Route*
RouteTable::Find(std::string_view aHost, std::string_view aPath) const
{
  const auto host = mHosts.find(NormalizeHost(aHost));
  if (host == mHosts.end()) {
    return nullptr;
  }
  std::string prefix(aPath.substr(0, aPath.find('?')));
  while (true) {
    const auto slash = prefix.rfind('/');
    if (slash == std::string::npos) {
      return nullptr;
    }
    prefix.resize(slash + 1);
    if (const auto it = host->second.find(prefix); it != host->second.end()) {
      return it->second;
    }
    prefix.pop_back();
  }
}

const ServiceProfile*
RouteTable::FindService(const std::string& aName) const
{
  const auto it = mConfig.mServices.find(aName);
  return it == mConfig.mServices.end() ? nullptr : &it->second;
}

std::string
DrawService(const Route& aRoute, Random& aRandom)
{
  double total = 0;
  for (const auto& it : aRoute.mServices) {
    total += it.mWeight;
  }
  double remaining = aRandom.UniformReal() * total;
  for (const auto& it : aRoute.mServices) {
    remaining -= it.mWeight;
    if (it.mWeight > 0 && remaining < 0) {
      return it.mService;
    }
  }
  return std::string();
}

} // namespace bulrushfold
