#include "Cluster/Configuration.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

bool
Endpoint::Serves(std::string_view aModel) const
{
  return std::find(mModels.begin(), mModels.end(), aModel) != mModels.end();
}

const ServiceCall*
Service::FindCall(std::string_view aPath) const
{
  const ServiceCall* best = nullptr;
  for (const auto& it : mCalls) {
    const bool matches = aPath.substr(0, it.mPath.size()) == it.mPath;
    if (matches && (best == nullptr || it.mPath.size() > best->mPath.size())) {
      best = &it;
    }
  }
  return best;
}

absl::Status
Configuration::Apply(const std::string& aKey, const std::string& aBody)
{
  if (aKey == kPresetsKey) {
    auto presets = ParsePresets(aBody);
    if (!presets.ok()) {
      return presets.status();
    }
    mPresets = *std::move(presets);
    return absl::OkStatus();
  }
  if (aKey == kWorkspacesKey) {
    auto workspaces = ParseWorkspaces(aBody);
    if (!workspaces.ok()) {
      return workspaces.status();
    }
    mWorkspaces = *std::move(workspaces);
    mWorkspaceByToken.clear();
    for (const auto& [name, workspace] : mWorkspaces) {
      for (const auto& digest : workspace.mTokenDigests) {
        mWorkspaceByToken[digest] = name;
      }
    }
    return absl::OkStatus();
  }
  if (aKey == kServicesKey) {
    auto services = ParseServices(aBody);
    if (!services.ok()) {
      return services.status();
    }
    mServices = *std::move(services);
    return absl::OkStatus();
  }
  const absl::string_view prefix(kEndpointsPrefix.data(),
                                 kEndpointsPrefix.size());
  if (absl::StartsWith(aKey, prefix)) {
    const std::string failureDomain = aKey.substr(prefix.size());
    auto endpoints = ParseEndpoints(aBody, failureDomain);
    if (!endpoints.ok()) {
      return endpoints.status();
    }
    ReplaceEndpoints(failureDomain, *std::move(endpoints));
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(
    absl::StrCat("no configuration object has the key ", aKey));
}

void
Configuration::ReplaceEndpoints(const std::string& aFailureDomain,
                                std::map<std::string, Endpoint> aEndpoints)
{
  for (auto it = mEndpoints.begin(); it != mEndpoints.end();) {
    it = it->second.mFailureDomain == aFailureDomain ? mEndpoints.erase(it)
                                                     : std::next(it);
  }
  mEndpoints.merge(aEndpoints);
}

const Preset&
Configuration::PresetInForce() const
{
  const auto it = mPresets.mPresets.find(mPresets.mInForce);
  return it == mPresets.mPresets.end() ? mDefaultPreset : it->second;
}

const Workspace*
Configuration::FindWorkspaceByToken(const std::string& aDigest) const
{
  const auto it = mWorkspaceByToken.find(aDigest);
  return it == mWorkspaceByToken.end() ? nullptr : &mWorkspaces.at(it->second);
}

const Service*
Configuration::FindService(const std::string& aName) const
{
  const auto it = mServices.find(aName);
  return it == mServices.end() ? nullptr : &it->second;
}

} // namespace bulrushfold
