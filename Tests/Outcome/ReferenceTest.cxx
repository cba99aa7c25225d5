#include <fstream>
#include <sstream>
#include <string>

#include <doctest/doctest.h>

#include "Outcome/Cause.h"

namespace bulrushfold {

// Guards against a reference page that lacks a cause or explains it otherwise
// than the program does.
TEST_CASE("docs/reference.md explains every cause as the program does")
{
  std::ifstream file(BULRUSHFOLD_REFERENCE);
  std::ostringstream text;
  text << file.rdbuf();
  for (const auto& it : CauseInfos()) {
    CAPTURE(it.mName);
    CHECK(text.str().find("| `" + std::string(it.mName) + "` |") !=
          std::string::npos);
    CHECK(text.str().find("| " + std::string(it.mExplanation) + " | " +
                          std::string(it.mSuggestedAction) + " |") !=
          std::string::npos);
  }
}

} // namespace bulrushfold
