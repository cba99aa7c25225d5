#include "Control/CommandLine.h"

#include <ostream>
#include <utility>

#include "Control/ListCommands.h"
#include "Control/LocalCommands.h"
#include "Control/ReportCommands.h"

namespace bulrushfold {

namespace {

constexpr const char* kDescription =
  "Operates bulrushfold daemons through their administration API.";

constexpr const char* kFooter = R"(Examples:
  bulrushfoldctl --daemon 10.0.0.1:8002,10.0.0.2:8002 status
  bulrushfoldctl preset create night --from normal --set slot_share=0.8
  bulrushfoldctl preset use night
  bulrushfoldctl endpoint drain suva e7
  bulrushfoldctl explain 01890a5d-ac96-774b-bcce-b302099a8057
  bulrushfoldctl report --since 1h --html report.html
  bulrushfoldctl config check /etc/bulrushfold.ini

Environment:
  BULRUSHFOLD_DAEMONS     addresses, when --daemon is not given
  BULRUSHFOLD_TOKEN_FILE  file with the token, when --token-file is not given
  BULRUSHFOLD_TOKEN       the token itself, when there is no file

Exit codes:
  0 done                        6 not found
  1 unexpected answer or file   7 conflict with another change
  2 wrong arguments             8 refused as invalid
  3 config check: findings      9 accepted, not in force everywhere
  4 no daemon answered         10 not known whether it took effect
  5 not allowed
)";

} // namespace

CommandLine::CommandLine(ControlArguments& aParsed,
                         const ControlEnvironment& aEnvironment)
  : mApp(std::make_unique<CLI::App>(kDescription, "bulrushfoldctl"))
  , mParsed(aParsed)
  , mEnvironment(aEnvironment)
{
  mApp->footer(kFooter);
  mApp->require_subcommand(1);
  AddGlobalOptions();
  AddPresetCommands();
  AddEndpointCommands();
  AddWorkspaceCommands();
  AddObservationCommands();
  AddReport();
  AddLocalCommands();
}

std::optional<ExitCode>
CommandLine::Parse(const std::vector<std::string>& aArguments)
{
  try {
    // CLI11 expects the arguments in reverse order.
    std::vector<std::string> reversed(aArguments.rbegin(), aArguments.rend());
    mApp->parse(reversed);
  } catch (const CLI::ParseError& e) {
    const int code = mApp->exit(e, mEnvironment.mOut, mEnvironment.mErrors);
    return code == 0 ? ExitCode::Ok : ExitCode::Usage;
  }
  return std::nullopt;
}

void
CommandLine::AddGlobalOptions()
{
  mApp
    ->add_option("--daemon",
                 mParsed.mDaemons,
                 "Administration addresses IP:PORT, asked in this order")
    ->allow_extra_args(false)
    ->delimiter(',');
  mApp->add_option(
    "--token-file", mParsed.mTokenFile, "File whose first line is the token");
  mApp
    ->add_option_function<std::string>(
      "--output",
      [this](const std::string& aFormat) {
        mParsed.mFormat =
          aFormat == "json" ? OutputFormat::Json : OutputFormat::Table;
      },
      "Form of the output")
    ->check(CLI::IsMember({ "table", "json" }));
  mApp
    ->add_option("--wait",
                 mParsed.mWaitSeconds,
                 "Seconds to wait until a change is in force everywhere")
    ->check(CLI::Range(0.0, 3600.0));
  mApp
    ->add_option(
      "--timeout", mParsed.mTimeoutSeconds, "Seconds to wait for one answer")
    ->check(CLI::Range(0.1, 600.0));
  mApp->fallthrough();
}

CLI::App*
CommandLine::AddGroup(const std::string& aName, const std::string& aHelp)
{
  CLI::App* group = mApp->add_subcommand(aName, aHelp);
  group->require_subcommand(1);
  group->fallthrough();
  return group;
}

CLI::App*
CommandLine::AddRemote(CLI::App* aParent,
                       const std::string& aName,
                       const std::string& aHelp,
                       Action aAction)
{
  CLI::App* command = aParent->add_subcommand(aName, aHelp);
  command->fallthrough();
  command->callback(
    [this, action = std::move(aAction)] { mParsed.mRemote = action; });
  return command;
}

CLI::App*
CommandLine::AddLocal(CLI::App* aParent,
                      const std::string& aName,
                      const std::string& aHelp,
                      std::function<ExitCode()> aAction)
{
  CLI::App* command = aParent->add_subcommand(aName, aHelp);
  command->fallthrough();
  command->callback(
    [this, action = std::move(aAction)] { mParsed.mLocal = action; });
  return command;
}

void
CommandLine::AddPresetCommands()
{
  ControlArguments& p = mParsed;
  CLI::App* group = AddGroup("preset", "Named sets of router settings");
  AddRemote(group, "list", "List presets", ListPresets);
  CLI::App* show =
    AddRemote(group, "show", "Show one preset", [&p](CommandContext& aIt) {
      return ShowPreset(aIt, p.mName);
    });
  show->add_option("NAME", p.mName, "Preset")->required();
  CLI::App* use =
    AddRemote(group, "use", "Put a preset in force", [&p](CommandContext& aIt) {
      return UsePreset(aIt, p.mName);
    });
  use->add_option("NAME", p.mName, "Preset")->required();
  AddPresetCreate(group);
}

void
CommandLine::AddPresetCreate(CLI::App* aGroup)
{
  ControlArguments& p = mParsed;
  CLI::App* create =
    AddRemote(aGroup, "create", "Create a preset", [&p](CommandContext& aIt) {
      return CreatePreset(aIt, p.mPreset);
    });
  create->add_option("NAME", p.mPreset.mName, "New preset")->required();
  create->add_option("--from", p.mPreset.mFrom, "Preset to start from");
  create->add_option("--set", p.mPreset.mValues, "KEY=NUMBER, repeatable")
    ->allow_extra_args(false);
  create->add_flag(
    "--replace", p.mPreset.mReplaces, "Replace a preset of that name");
}

void
CommandLine::AddEndpointCommands()
{
  ControlArguments& p = mParsed;
  CLI::App* group = AddGroup("endpoint", "Model engines and plain services");
  CLI::App* list =
    AddRemote(group, "list", "List endpoints", [&p](CommandContext& aIt) {
      return ListEndpoints(aIt, p.mFailureDomain);
    });
  list->add_option(
    "--failure-domain", p.mFailureDomain, "List only endpoints of this domain");
  CLI::App* drain = AddRemote(
    group, "drain", "Stop new work to an endpoint", [&p](CommandContext& aIt) {
      return DrainEndpoint(aIt, p.mFailureDomain, p.mName);
    });
  drain->add_option("FAILURE_DOMAIN", p.mFailureDomain, "Failure domain")
    ->required();
  drain->add_option("NAME", p.mName, "Endpoint")->required();
  AddEndpointAdd(group);
}

void
CommandLine::AddEndpointAdd(CLI::App* aGroup)
{
  EndpointArguments& e = mParsed.mEndpoint;
  CLI::App* add = AddRemote(
    aGroup, "add", "Add or replace an endpoint", [&e](CommandContext& aIt) {
      return AddEndpoint(aIt, e);
    });
  add->add_option("FAILURE_DOMAIN", e.mFailureDomain, "Failure domain")
    ->required();
  add->add_option("NAME", e.mName, "Endpoint")->required();
  add->add_option("--address", e.mAddress, "IP:PORT")->required();
  add->add_option("--kind", e.mKind, "engine or service")
    ->check(CLI::IsMember({ "engine", "service" }));
  add->add_option("--role", e.mRole, "prefill, decode or both")
    ->check(CLI::IsMember({ "prefill", "decode", "both" }));
  add->add_option("--models", e.mModels, "Models of an engine")
    ->allow_extra_args(false)
    ->delimiter(',');
  add->add_option("--service", e.mService, "Name of the plain service");
  add->add_option(
    "--link", e.mLink, "Link that the transfers of the endpoint share");
  add
    ->add_option(
      "--link-bytes-per-s", e.mLinkBytesPerSecond, "Rate of the link")
    ->check(CLI::NonNegativeNumber);
  add->add_flag("--checks-fencing",
                e.mChecksFencing,
                "The endpoint refuses calls with an old fencing number");
}

void
CommandLine::AddWorkspaceCommands()
{
  WorkspaceArguments& w = mParsed.mWorkspace;
  CLI::App* group = AddGroup("workspace", "Tenants and their limits");
  AddRemote(group, "list", "List workspaces", ListWorkspaces);
  CLI::App* set =
    AddRemote(group,
              "set",
              "Add a workspace or change its limits",
              [&w](CommandContext& aIt) { return SetWorkspace(aIt, w); });
  set->add_option("NAME", w.mName, "Workspace")->required();
  set->add_option("--share", w.mShare, "Weight in the sharing of capacity");
  set->add_option("--requests-per-s", w.mRequestsPerSecond, "Rate limit");
  set->add_option("--burst", w.mBurst, "Requests above the rate limit");
  set->add_option("--max-concurrent", w.mMaxConcurrent, "Requests in progress");
  set->add_option("--class", w.mClass, "interactive or patient")
    ->check(CLI::IsMember({ "interactive", "patient" }));
  set->add_option("--models", w.mModels, "Models that the workspace may use")
    ->allow_extra_args(false)
    ->delimiter(',');
  set
    ->add_option("--add-token-sha256",
                 w.mAddedDigests,
                 "Digest of a token, see token hash")
    ->allow_extra_args(false);
  set->add_option("--remove-token-sha256", w.mRemovedDigests, "Digest")
    ->allow_extra_args(false);
}

void
CommandLine::AddObservationCommands()
{
  ControlArguments& p = mParsed;
  AddRemote(mApp.get(), "status", "State of all daemons", ShowStatus);
  CLI::App* explain = AddRemote(
    mApp.get(), "explain", "Cause of one request", [&p](CommandContext& aIt) {
      return ExplainRequest(aIt, p.mRequestId);
    });
  explain->add_option("REQUEST-ID", p.mRequestId, "Value of Request-Id")
    ->required();
  CLI::App* audit =
    AddRemote(mApp.get(), "audit", "Latest changes", [&p](CommandContext& aIt) {
      return ListAudit(aIt, p.mLimit);
    });
  audit->add_option("--limit", p.mLimit, "Number of changes")
    ->check(CLI::Range(1, 1000));
}

void
CommandLine::AddReport()
{
  ControlArguments& p = mParsed;
  CLI::App* report =
    AddRemote(mApp.get(),
              "report",
              "Causes, compared with the time before",
              [&p](CommandContext& aIt) {
                return ShowReport(
                  aIt, ParseDurationSeconds(p.mSince).value_or(0), p.mHtmlFile);
              });
  report->add_option("--since", p.mSince, "Time, for example 15m; at most 1h")
    ->check([](const std::string& aText) {
      return ParseDurationSeconds(aText) ? std::string()
                                         : "expected 1s to 1h, found " + aText;
    });
  report->add_option("--html", p.mHtmlFile, "Also write a page to this file");
}

void
CommandLine::AddLocalCommands()
{
  ControlArguments& p = mParsed;
  const ControlEnvironment& s = mEnvironment;
  CLI::App* config = AddGroup("config", "Settings files; needs no daemon");
  CLI::App* check =
    AddLocal(config, "check", "List all problems of a settings file", [&p, &s] {
      return CheckConfig(s.mOut, p.mFile, p.mFormat);
    });
  check->add_option("FILE", p.mFile, "Settings file")->required();
  AddLocal(config, "sample", "Print a documented settings file", [&s] {
    return WriteSampleConfig(s.mOut);
  });
  CLI::App* token = AddGroup("token", "Tokens; needs no daemon");
  AddLocal(token,
           "hash",
           "Read a token from standard input and print its SHA-256",
           [&s] { return HashToken(s.mIn, s.mOut, s.mErrors); });
}

} // namespace bulrushfold
