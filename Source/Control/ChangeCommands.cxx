#include "Control/ChangeCommands.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

constexpr const char* kPresetsTarget = "/admin/v1/presets";
constexpr const char* kEndpointsTarget = "/admin/v1/endpoints";
constexpr const char* kWorkspacesTarget = "/admin/v1/workspaces";

/** Stores the KEY=VALUE items of aValues in aPreset. */
absl::Status
ApplyValues(const std::vector<std::string>& aValues, Json& aPreset)
{
  for (const auto& it : aValues) {
    const std::pair<std::string, std::string> parts =
      absl::StrSplit(it, absl::MaxSplits('=', 1));
    const Json value = Json::parse(parts.second, nullptr, false);
    if (parts.first.empty() || !value.is_number()) {
      return absl::InvalidArgumentError(
        absl::StrCat("--set: expected KEY=NUMBER, found \"", it, "\""));
    }
    aPreset[parts.first] = value;
  }
  return absl::OkStatus();
}

/** Version of the object that contains the endpoints of a failure domain. */
std::uint64_t
EndpointVersion(const Json& aAnswer, const std::string& aFailureDomain)
{
  return VersionOf(
    ObjectAt(ObjectAt(aAnswer, "objects"), aFailureDomain.c_str()));
}

std::string
EndpointTarget(const std::string& aFailureDomain, const std::string& aName)
{
  return absl::StrCat(kEndpointsTarget,
                      "/",
                      EncodePathSegment(aFailureDomain),
                      "/",
                      EncodePathSegment(aName));
}

Json
MakeEndpoint(const EndpointArguments& aArguments)
{
  Json endpoint{ { "address", aArguments.mAddress },
                 { "kind", aArguments.mKind },
                 { "checks_fencing", aArguments.mChecksFencing },
                 { "state", "live" } };
  if (aArguments.mKind == "service") {
    endpoint["service"] = aArguments.mService;
  } else {
    endpoint["role"] = aArguments.mRole;
    endpoint["models"] = aArguments.mModels;
  }
  if (!aArguments.mLink.empty()) {
    endpoint["link"] = aArguments.mLink;
    endpoint["link_bytes_per_s"] = aArguments.mLinkBytesPerSecond;
  }
  return endpoint;
}

template<typename Value>
void
SetIfGiven(Json& aObject, const char* aKey, const std::optional<Value>& aValue)
{
  if (aValue) {
    aObject[aKey] = *aValue;
  }
}

std::vector<std::string>
ChangedDigests(const Json& aWorkspace, const WorkspaceArguments& aArguments)
{
  std::vector<std::string> digests;
  if (aWorkspace.contains("token_sha256")) {
    digests = aWorkspace["token_sha256"].get<std::vector<std::string>>();
  }
  const auto remove = [&digests](const std::string& aDigest) {
    digests.erase(std::remove(digests.begin(), digests.end(), aDigest),
                  digests.end());
  };
  for (const auto& it : aArguments.mRemovedDigests) {
    remove(it);
  }
  for (const auto& it : aArguments.mAddedDigests) {
    remove(it);
    digests.push_back(it);
  }
  return digests;
}

Json
ChangedWorkspace(Json aWorkspace, const WorkspaceArguments& aArguments)
{
  SetIfGiven(aWorkspace, "share", aArguments.mShare);
  SetIfGiven(aWorkspace, "requests_per_s", aArguments.mRequestsPerSecond);
  SetIfGiven(aWorkspace, "burst", aArguments.mBurst);
  SetIfGiven(aWorkspace, "max_concurrent", aArguments.mMaxConcurrent);
  SetIfGiven(aWorkspace, "class", aArguments.mClass);
  if (!aArguments.mModels.empty()) {
    aWorkspace["models"] = aArguments.mModels;
  }
  aWorkspace["token_sha256"] = ChangedDigests(aWorkspace, aArguments);
  return aWorkspace;
}

ExitCode
PutPreset(CommandContext& aContext,
          const PresetArguments& aArguments,
          const Json& aAnswer)
{
  const Json presets = ObjectAt(aAnswer, "presets");
  if (presets.contains(aArguments.mName) && !aArguments.mReplaces) {
    return ReportError(aContext.mErrors,
                       absl::AbortedError(absl::StrCat(
                         "preset \"",
                         aArguments.mName,
                         "\" exists already; --replace replaces it")));
  }
  if (!aArguments.mFrom.empty() && !presets.contains(aArguments.mFrom)) {
    return ReportError(aContext.mErrors,
                       absl::NotFoundError(absl::StrCat(
                         "preset \"", aArguments.mFrom, "\" not found")));
  }
  Json preset =
    aArguments.mFrom.empty() ? Json::object() : presets[aArguments.mFrom];
  if (const auto status = ApplyValues(aArguments.mValues, preset);
      !status.ok()) {
    ReportError(aContext.mErrors, status);
    return ExitCode::Usage;
  }
  return MakeChange(
    aContext,
    { HttpMethod::Put,
      absl::StrCat(kPresetsTarget, "/", EncodePathSegment(aArguments.mName)),
      FormatJson(preset),
      VersionOf(aAnswer) });
}

} // namespace

ExitCode
CreatePreset(CommandContext& aContext, const PresetArguments& aArguments)
{
  const auto answer = aContext.mAdmin.Read(kPresetsTarget);
  return answer.ok() ? PutPreset(aContext, aArguments, *answer)
                     : ReportError(aContext.mErrors, answer.status());
}

ExitCode
UsePreset(CommandContext& aContext, const std::string& aName)
{
  const auto answer = aContext.mAdmin.Read(kPresetsTarget);
  if (!answer.ok()) {
    return ReportError(aContext.mErrors, answer.status());
  }
  return MakeChange(
    aContext,
    { HttpMethod::Post,
      absl::StrCat(
        kPresetsTarget, "/", EncodePathSegment(aName), "/put-in-force"),
      "",
      VersionOf(*answer) });
}

ExitCode
AddEndpoint(CommandContext& aContext, const EndpointArguments& aArguments)
{
  const auto answer = aContext.mAdmin.Read(kEndpointsTarget);
  if (!answer.ok()) {
    return ReportError(aContext.mErrors, answer.status());
  }
  return MakeChange(
    aContext,
    { HttpMethod::Put,
      EndpointTarget(aArguments.mFailureDomain, aArguments.mName),
      FormatJson(MakeEndpoint(aArguments)),
      EndpointVersion(*answer, aArguments.mFailureDomain) });
}

ExitCode
DrainEndpoint(CommandContext& aContext,
              const std::string& aFailureDomain,
              const std::string& aName)
{
  const auto answer = aContext.mAdmin.Read(kEndpointsTarget);
  if (!answer.ok()) {
    return ReportError(aContext.mErrors, answer.status());
  }
  return MakeChange(aContext,
                    { HttpMethod::Post,
                      EndpointTarget(aFailureDomain, aName) + "/drain",
                      "",
                      EndpointVersion(*answer, aFailureDomain) });
}

ExitCode
SetWorkspace(CommandContext& aContext, const WorkspaceArguments& aArguments)
{
  const auto answer = aContext.mAdmin.Read(kWorkspacesTarget);
  if (!answer.ok()) {
    return ReportError(aContext.mErrors, answer.status());
  }
  const Json workspaces = ObjectAt(*answer, "workspaces");
  const bool isNew = !workspaces.contains(aArguments.mName);
  const Json old = isNew ? Json::object() : workspaces[aArguments.mName];
  // A change that is based on an answer without digests would remove them.
  if (!isNew && !old.contains("token_sha256")) {
    return ReportError(aContext.mErrors,
                       absl::PermissionDeniedError(
                         "the token may not see the workspace's digests"));
  }
  return MakeChange(
    aContext,
    { HttpMethod::Put,
      absl::StrCat(kWorkspacesTarget, "/", EncodePathSegment(aArguments.mName)),
      FormatJson(ChangedWorkspace(old, aArguments)),
      VersionOf(*answer) });
}

} // namespace bulrushfold
