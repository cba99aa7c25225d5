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
  double left = aRandom.UniformReal() * total;
  for (const auto& it : aRoute.mServices) {
    left -= it.mWeight;
    if (it.mWeight > 0 && left < 0) {
      return it.mService;
    }
  }
  return std::string();
}

} // namespace bulrushfold
