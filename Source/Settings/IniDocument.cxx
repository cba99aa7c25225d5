#include "Settings/IniDocument.h"

// Debian builds the inih library with line numbers, but its header declares
// handlers with a line number only if this is set.
#define INI_HANDLER_LINENO 1
#include <ini.h>

#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace bulrushfold {

namespace {
int
CollectEntry(void* aUser,
             const char* aSection,
             const char* aKey,
             const char* aValue,
             int aLine)
{
  auto* entries = static_cast<std::vector<IniEntry>*>(aUser);
  entries->push_back({ aSection, aKey, aValue, aLine });
  return 1;
}
} // namespace

IniDocument
ParseIni(const std::string& aFile, std::string_view aText)
{
  IniDocument document;
  std::vector<std::string> lines =
    absl::StrSplit(absl::string_view(aText.data(), aText.size()), '\n');
  // The library reports only the first invalid line, so each invalid line is
  // cleared and the text parsed again until no invalid line remains.
  for (;;) {
    document.mEntries.clear();
    const std::string text = absl::StrJoin(lines, "\n");
    const int line =
      ini_parse_string(text.c_str(), CollectEntry, &document.mEntries);
    if (line <= 0 || static_cast<std::size_t>(line) > lines.size() ||
        lines[line - 1].empty()) {
      return document;
    }
    document.mFindings.push_back(
      { aFile, line, "", "[section] or key = value", lines[line - 1] });
    lines[line - 1].clear();
  }
}

} // namespace bulrushfold
