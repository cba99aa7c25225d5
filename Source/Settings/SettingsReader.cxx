#include "Settings/SettingsReader.h"

#include <fstream>
#include <map>
#include <sstream>
#include <utility>

#include "Settings/IniDocument.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

using KeyName = std::pair<std::string, std::string>;

std::string
FullName(const KeyName& aName)
{
  return absl::StrCat(aName.first, ".", aName.second);
}

} // namespace

SettingsResult
ReadSettings(const std::string& aFile, std::string_view aText)
{
  SettingsResult result;
  IniDocument document = ParseIni(aFile, aText);
  result.mFindings = std::move(document.mFindings);
  std::map<KeyName, const SettingKey*> keys;
  for (const auto& it : SettingKeys()) {
    keys[{ it.mSection, it.mKey }] = &it;
    if (!it.mRequired && !it.mDefault.empty()) {
      it.mParse(it.mDefault, result.mSettings);
    }
  }
  std::map<KeyName, int> firstLines;
  for (const auto& it : document.mEntries) {
    const KeyName name{ it.mSection, it.mKey };
    const auto key = keys.find(name);
    if (key == keys.end()) {
      result.mFindings.push_back(
        { aFile, it.mLine, FullName(name), "a known key", it.mKey });
      continue;
    }
    if (const auto [first, isNew] = firstLines.try_emplace(name, it.mLine);
        !isNew) {
      result.mFindings.push_back(
        { aFile,
          it.mLine,
          FullName(name),
          absl::StrCat("one value (the first is on line ", first->second, ")"),
          it.mValue });
      continue;
    }
    if (!key->second->mParse(it.mValue, result.mSettings)) {
      result.mFindings.push_back(
        { aFile, it.mLine, FullName(name), key->second->mExpected, it.mValue });
    }
  }
  for (const auto& [name, key] : keys) {
    if (key->mRequired && firstLines.count(name) == 0) {
      result.mFindings.push_back(
        { aFile, 0, FullName(name), key->mExpected, "" });
    }
  }
  return result;
}

SettingsResult
ReadSettingsFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    SettingsResult result;
    result.mFindings.push_back({ aPath, 0, "", "a readable file", "" });
    return result;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ReadSettings(aPath, text.str());
}

std::string
MakeSampleSettings()
{
  std::string text;
  std::string section;
  for (const auto& it : SettingKeys()) {
    if (it.mSection != section) {
      section = it.mSection;
      absl::StrAppend(&text, "\n[", section, "]\n");
    }
    absl::StrAppend(&text,
                    "; ",
                    it.mHelp,
                    "\n; Value: ",
                    it.mExpected,
                    ".",
                    it.mRequired ? " Required.\n" : "\n");
    absl::StrAppend(&text,
                    it.mRequired || it.mDefault.empty() ? ";" : "",
                    it.mKey,
                    " = ",
                    it.mDefault,
                    "\n");
  }
  return text.substr(1);
}

} // namespace bulrushfold
