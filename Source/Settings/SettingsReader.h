#ifndef BULRUSHFOLD_SETTINGS_SETTINGSREADER_H
#define BULRUSHFOLD_SETTINGS_SETTINGSREADER_H

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "Settings/Finding.h"
#include "Settings/Settings.h"

namespace bulrushfold {

/** A settings key with its section, unit, default and parser. */
struct SettingKey
{
  std::string mSection;
  std::string mKey;
  /** Description of a valid value, with its unit. */
  std::string mExpected;
  /** Empty when the key is required or has no default. */
  std::string mDefault;
  /** Description; one line of the sample file. The line must be shorter than
   * 200 bytes, because the inih library splits longer lines. */
  std::string mHelp;
  bool mRequired = false;
  /** Parses a value into the settings; false when the value is not valid. */
  std::function<bool(const std::string&, Settings&)> mParse;
};

/** All keys that a daemon's settings file may contain. */
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

/** Makes a settings file that documents all keys with units and defaults. */
std::string MakeSampleSettings();

} // namespace bulrushfold

#endif
