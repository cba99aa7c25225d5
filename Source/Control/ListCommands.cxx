#include "Control/ListCommands.h"

#include <ostream>

#include "Outcome/TextTable.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

std::string
FormatPresets(const Json& aJson)
{
  TextTable table({ "PRESET", "IN FORCE" });
  for (const auto& [name, preset] : aJson.at("presets").items()) {
    table.Add({ name, aJson.at("in_force") == name ? "yes" : "no" });
  }
  return table.Format();
}

std::string
FormatMembers(const Json& aObject)
{
  TextTable table({ "KEY", "VALUE" });
  for (const auto& [key, value] : aObject.items()) {
    table.Add({ key, CellOf(value) });
  }
  return table.Format();
}

std::string
LoadOf(const Json& aEndpoint)
{
  const Json load = ObjectAt(aEndpoint, "load");
  return load.empty() ? "-"
                      : absl::StrCat(CellAt(load, "running"),
                                     "/",
                                     CellAt(load, "slots"),
                                     " +",
                                     CellAt(load, "queued"));
}

std::string
FormatEndpoints(const Json& aJson, const std::string& aFailureDomain)
{
  TextTable table({ "FAILURE DOMAIN",
                    "ENDPOINT",
                    "ADDRESS",
                    "KIND",
                    "ROLE",
                    "SERVES",
                    "STATE",
                    "LOAD" });
  for (const auto& it : aJson.at("endpoints")) {
    const std::string domain = CellAt(it, "failure_domain");
    if (!aFailureDomain.empty() && domain != aFailureDomain) {
      continue;
    }
    const bool isService = CellAt(it, "kind") == "service";
    table.Add({ domain,
                CellAt(it, "name"),
                CellAt(it, "address"),
                CellAt(it, "kind"),
                isService ? "-" : CellAt(it, "role"),
                CellAt(it, isService ? "service" : "models"),
                CellAt(it, "state"),
                LoadOf(it) });
  }
  return table.Format();
}

std::string
FormatWorkspaces(const Json& aJson)
{
  TextTable table({ "WORKSPACE",
                    "CLASS",
                    "SHARE",
                    "REQUESTS/S",
                    "BURST",
                    "CONCURRENT",
                    "MODELS" });
  for (const auto& [name, it] : aJson.at("workspaces").items()) {
    table.Add({ name,
                CellAt(it, "class"),
                CellAt(it, "share"),
                CellAt(it, "requests_per_s"),
                CellAt(it, "burst"),
                CellAt(it, "max_concurrent"),
                CellAt(it, "models") });
  }
  return table.Format();
}

std::string
FormatStatus(const Json& aJson)
{
  std::string text = ToPrintable(absl::StrCat("preset in force: ",
                                              CellAt(aJson, "preset"),
                                              " (version ",
                                              CellAt(aJson, "preset_version"),
                                              ")"));
  absl::StrAppend(&text,
                  "\nstore: ",
                  ToPrintable(CellAt(ObjectAt(aJson, "store"), "state")),
                  "\nanswered by: ",
                  ToPrintable(CellAt(aJson, "daemon")),
                  ", open requests ",
                  ToPrintable(CellAt(aJson, "open_requests")),
                  ", bookings waiting ",
                  ToPrintable(CellAt(aJson, "bookings_waiting")),
                  "\n\n");
  TextTable table({ "DAEMON", "FAILURE DOMAIN", "REGION", "STATE", "READY" });
  for (const auto& it : aJson.at("daemons")) {
    table.Add({ CellAt(it, "name"),
                CellAt(it, "failure_domain"),
                CellAt(it, "region"),
                CellAt(it, "state"),
                CellAt(it, "ready") });
  }
  return text + table.Format();
}

std::string
FormatAudit(const Json& aJson)
{
  TextTable table({ "TIME (MS)",
                    "OPERATOR",
                    "ACTION",
                    "NAME",
                    "KEY",
                    "VERSION",
                    "STATE",
                    "CHANGE ID" });
  for (const auto& it : aJson.at("entries")) {
    table.Add({ CellAt(it, "time_ms"),
                CellAt(it, "operator"),
                CellAt(it, "action"),
                CellAt(it, "name"),
                CellAt(it, "key"),
                CellAt(it, "version"),
                CellAt(it, "state"),
                CellAt(it, "change_id") });
  }
  return table.Format();
}

} // namespace

ExitCode
ListPresets(CommandContext& aContext)
{
  return ShowAnswer(aContext, "/admin/v1/presets", FormatPresets);
}

ExitCode
ShowPreset(CommandContext& aContext, const std::string& aName)
{
  const auto answer = aContext.mAdmin.Read("/admin/v1/presets");
  if (!answer.ok()) {
    return ReportError(aContext.mErrors, answer.status());
  }
  const Json presets = ObjectAt(*answer, "presets");
  if (!presets.contains(aName)) {
    return ReportError(
      aContext.mErrors,
      absl::NotFoundError(absl::StrCat("preset \"", aName, "\" not found")));
  }
  aContext.mOut << (aContext.mFormat == OutputFormat::Json
                      ? FormatJson(presets[aName]) + "\n"
                      : FormatMembers(presets[aName]));
  return ExitCode::Ok;
}

ExitCode
ListEndpoints(CommandContext& aContext, const std::string& aFailureDomain)
{
  return ShowAnswer(
    aContext, "/admin/v1/endpoints", [&aFailureDomain](const Json& aJson) {
      return FormatEndpoints(aJson, aFailureDomain);
    });
}

ExitCode
ListWorkspaces(CommandContext& aContext)
{
  return ShowAnswer(aContext, "/admin/v1/workspaces", FormatWorkspaces);
}

ExitCode
ShowStatus(CommandContext& aContext)
{
  return ShowAnswer(aContext, "/admin/v1/status", FormatStatus);
}

ExitCode
ListAudit(CommandContext& aContext, int aLimit)
{
  return ShowAnswer(
    aContext, absl::StrCat("/admin/v1/audit?limit=", aLimit), FormatAudit);
}

} // namespace bulrushfold
