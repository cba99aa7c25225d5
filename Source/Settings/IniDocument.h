#ifndef BULRUSHFOLD_SETTINGS_INIDOCUMENT_H
#define BULRUSHFOLD_SETTINGS_INIDOCUMENT_H

#include <string>
#include <string_view>
#include <vector>

#include "Settings/Finding.h"

namespace bulrushfold {

/** One "key = value" line of an INI file. */
struct IniEntry
{
  std::string mSection;
  std::string mKey;
  std::string mValue;
  int mLine = 0;
};

/** Entries of an INI file in file order, and all syntax errors. */
struct IniDocument
{
  std::vector<IniEntry> mEntries;
  Findings mFindings;
};

/** Parses aText; aFile is the name of the file in findings. */
IniDocument ParseIni(const std::string& aFile, std::string_view aText);

} // namespace bulrushfold

#endif
