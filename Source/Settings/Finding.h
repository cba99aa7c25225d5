#ifndef BULRUSHFOLD_SETTINGS_FINDING_H
#define BULRUSHFOLD_SETTINGS_FINDING_H

#include <string>
#include <vector>

namespace bulrushfold {

/** One problem in a settings file. */
struct Finding
{
  std::string mFile;
  /** 0 when the problem belongs to no line, such as a missing key. */
  int mLine = 0;
  /** "section.key", or empty for a syntax error. */
  std::string mKey;
  std::string mExpected;
  std::string mFound;
};

using Findings = std::vector<Finding>;

/** Formats aFinding as "FILE:LINE: KEY: expected X, found Y". */
std::string FormatFinding(const Finding& aFinding);

} // namespace bulrushfold

#endif
