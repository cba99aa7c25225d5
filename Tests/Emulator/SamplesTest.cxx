#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include <doctest/doctest.h>

#include "Cluster/Configuration.h"
#include "Settings/SettingsReader.h"

namespace bulrushfold {

namespace {

namespace fs = std::filesystem;

const fs::path kSamples = fs::path(BULRUSHFOLD_SOURCE_DIR) / "docs/samples";

std::string
ReadFile(const fs::path& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/** Applies all configuration objects of a sample deployment. */
Configuration
ReadConfiguration(const fs::path& aDeployment)
{
  Configuration configuration;
  for (const auto& it : fs::recursive_directory_iterator(aDeployment)) {
    if (it.path().extension() != ".json" || it.path().stem() == "vms") {
      continue;
    }
    fs::path key = fs::relative(it.path(), aDeployment);
    key.replace_extension();
    const absl::Status status =
      configuration.Apply(key.string(), ReadFile(it.path()));
    INFO(key.string(), ": ", status.ToString());
    CHECK(status.ok());
  }
  return configuration;
}

} // namespace

// Guards against sample files that the programs do not accept.
TEST_CASE("the sample deployments are valid and have the documented sizes")
{
  const std::pair<std::string, std::size_t> deployments[] = {
    { "tiefgrund", 10 }, { "vatu", 8 }
  };
  for (const auto& [name, runners] : deployments) {
    std::set<std::string> daemons;
    for (const auto& it : fs::directory_iterator(kSamples / name)) {
      if (it.path().extension() != ".ini") {
        continue;
      }
      const SettingsResult result = ReadSettingsFile(it.path().string());
      CHECK(result.mFindings.empty());
      CHECK(result.mSettings.mDaemon.mName == it.path().stem().string());
      daemons.insert(result.mSettings.mDaemon.mName);
    }
    CHECK(daemons.size() == 6);
    const Configuration configuration = ReadConfiguration(kSamples / name);
    std::size_t engines = 0;
    std::size_t services = 0;
    for (const auto& [endpoint, it] : configuration.Endpoints()) {
      ++(it.mKind == EndpointKind::Engine ? engines : services);
      const bool isKnown = it.mKind == EndpointKind::Engine ||
                           configuration.FindService(it.mService) != nullptr;
      CHECK(isKnown);
    }
    CHECK(engines == runners);
    CHECK(services == 3);
    CHECK(configuration.Workspaces().size() == 2);
  }
}

} // namespace bulrushfold
