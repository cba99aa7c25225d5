#ifndef BULRUSHFOLD_SETTINGS_SETTINGSREADER_H
#define BULRUSHFOLD_SETTINGS_SETTINGSREADER_H

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "Settings/Finding.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** A settings key: its place, unit, default and how its value is stored. */
struct SettingKey
{
  std::string mSection;
  std::string mKey;
  /** What a valid value looks like, with its unit. */
  std::string mExpected;
  /** Empty when the key must be given. */
  std::string mDefault;
  std::string mHelp;
  bool mRequired = false;
  /** Stores the value; false when it is not valid. */
  std::function<bool(const std::string&, Settings&)> mStore;
};

/** Every key that a daemon's settings file may contain. */
const std::vector<SettingKey>& SettingKeys();

/** Settings and all problems found while reading them. */
struct SettingsResult
{
  Settings mSettings;
  Findings mFindings;
};

/**
 * Reads settings from aText. Syntax errors, unknown keys, repeated keys,
 * invalid values and missing keys are all reported, not only the first one.
 */
SettingsResult ReadSettings(const std::string& aFile, std::string_view aText);

/** Like ReadSettings, from the file at aPath. */
SettingsResult ReadSettingsFile(const std::string& aPath);

/** A settings file that documents every key with its unit and default. */
std::string MakeSampleSettings();

} // namespace bulrushfold

#endif
