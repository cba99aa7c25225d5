#ifndef BULRUSHFOLD_CONTROL_COMMANDLINE_H
#define BULRUSHFOLD_CONTROL_COMMANDLINE_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "Control/ChangeCommands.h"
#include "Control/ControlCommand.h"
#include "Control/ControlProgram.h"

namespace bulrushfold {

/** Values of all options, and the action of the command that was given. */
struct ControlArguments
{
  std::vector<std::string> mDaemons;
  std::string mTokenFile;
  OutputFormat mFormat = OutputFormat::Table;
  double mWaitSeconds = 10;
  double mTimeoutSeconds = 5;

  std::string mName;
  std::string mFailureDomain;
  PresetArguments mPreset;
  EndpointArguments mEndpoint;
  WorkspaceArguments mWorkspace;
  std::string mRequestId;
  std::string mSince = "1h";
  std::string mHtmlFile;
  std::string mFile;
  int mLimit = 20;

  /** Action of a command that calls daemons. */
  std::function<ExitCode(CommandContext&)> mRemote;
  /** Action of a command that does not call daemons. */
  std::function<ExitCode()> mLocal;
};

/** The command line of bulrushfoldctl. */
class CommandLine
{
public:
  /** Both arguments must outlive this object. */
  CommandLine(ControlArguments& aParsed,
              const ControlEnvironment& aEnvironment);

  /** Parses the arguments. Returns an exit code if no command is to be run, for
   * example after --help. */
  std::optional<ExitCode> Parse(const std::vector<std::string>& aArguments);

private:
  using Action = std::function<ExitCode(CommandContext&)>;

  CLI::App* AddGroup(const std::string& aName, const std::string& aHelp);
  CLI::App* AddRemote(CLI::App* aParent,
                      const std::string& aName,
                      const std::string& aHelp,
                      Action aAction);
  CLI::App* AddLocal(CLI::App* aParent,
                     const std::string& aName,
                     const std::string& aHelp,
                     std::function<ExitCode()> aAction);
  void AddGlobalOptions();
  void AddPresetCommands();
  void AddPresetCreate(CLI::App* aGroup);
  void AddEndpointCommands();
  void AddEndpointAdd(CLI::App* aGroup);
  void AddWorkspaceCommands();
  void AddObservationCommands();
  void AddReport();
  void AddLocalCommands();

  std::unique_ptr<CLI::App> mApp;
  ControlArguments& mParsed;
  const ControlEnvironment& mEnvironment;
};

} // namespace bulrushfold

#endif
