#ifndef BULRUSHFOLD_CONTROL_CHANGECOMMANDS_H
#define BULRUSHFOLD_CONTROL_CHANGECOMMANDS_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Control/ControlCommand.h"

namespace bulrushfold {

/** Arguments of "preset create". */
struct PresetArguments
{
  std::string mName;
  /** Preset whose values are copied; empty for the defaults. */
  std::string mFrom;
  /** KEY=VALUE; values are JSON numbers. */
  std::vector<std::string> mValues;
  /** Replaces an existing preset of that name. */
  bool mReplaces = false;
};

/** Arguments of "endpoint add". */
struct EndpointArguments
{
  std::string mFailureDomain;
  std::string mName;
  std::string mAddress;
  std::string mKind = "engine";
  std::string mRole = "both";
  std::vector<std::string> mModels;
  std::string mService;
  std::string mLink;
  double mLinkBytesPerSecond = 0;
  bool mChecksFencing = false;
};

/** Arguments of "workspace set"; members without a value stay unchanged. */
struct WorkspaceArguments
{
  std::string mName;
  std::optional<double> mShare;
  std::optional<double> mRequestsPerSecond;
  std::optional<double> mBurst;
  std::optional<std::uint64_t> mMaxConcurrent;
  std::optional<std::string> mClass;
  std::vector<std::string> mModels;
  std::vector<std::string> mAddedDigests;
  std::vector<std::string> mRemovedDigests;
};

/**
 * Commands that change the configuration. Each command reads the current state,
 * bases the change on its version and waits until the change is in force.
 */
ExitCode CreatePreset(CommandContext& aContext,
                      const PresetArguments& aArguments);
ExitCode UsePreset(CommandContext& aContext, const std::string& aName);
ExitCode AddEndpoint(CommandContext& aContext,
                     const EndpointArguments& aArguments);
ExitCode DrainEndpoint(CommandContext& aContext,
                       const std::string& aFailureDomain,
                       const std::string& aName);
ExitCode SetWorkspace(CommandContext& aContext,
                      const WorkspaceArguments& aArguments);

} // namespace bulrushfold

#endif
