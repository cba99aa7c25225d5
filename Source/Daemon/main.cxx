#include <csignal>
#include <iostream>

#include <CLI/CLI.hpp>

#include "Base/Log.h"
#include "Daemon/Daemon.h"
#include "Settings/SettingsReader.h"

namespace {
constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 3;
} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app{ "bulrushfold router daemon" };
  std::string path;
  bool checkOnly = false;
  app.add_option("--config", path, "Settings file")->required();
  app.add_flag("--check", checkOnly, "Check the settings file and exit");
  CLI11_PARSE(app, aCount, aArguments);

  const auto settings = bulrushfold::ReadSettingsFile(path);
  for (const auto& it : settings.mFindings) {
    std::cerr << bulrushfold::FormatFinding(it) << '\n';
  }
  if (!settings.mFindings.empty()) {
    return kExitBadSettings;
  }
  if (checkOnly) {
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  bulrushfold::ConfigureLog(settings.mSettings.mDaemon.mLogLevel);
  bulrushfold::Daemon daemon(settings.mSettings);
  if (const auto status = daemon.Start(); !status.ok()) {
    std::cerr << status.ToString() << '\n';
    return kExitCannotStart;
  }
  daemon.Run();
  return 0;
}
