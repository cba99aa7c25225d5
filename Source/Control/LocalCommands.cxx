#include "Control/LocalCommands.h"

#include <filesystem>
#include <fstream>
#include <istream>
#include <ostream>
#include <system_error>

#include "Base/Secret.h"
#include "Outcome/TextTable.h"
#include "Settings/SettingsReader.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

/** First line of aIn without leading and trailing white space. */
std::string
FirstLine(std::istream& aIn)
{
  std::string line;
  std::getline(aIn, line);
  return std::string(absl::StripAsciiWhitespace(line));
}

Json
FindingToJson(const Finding& aFinding)
{
  return { { "file", aFinding.mFile },
           { "line", aFinding.mLine },
           { "key", aFinding.mKey },
           { "expected", aFinding.mExpected },
           { "found", aFinding.mFound } };
}

} // namespace

ExitCode
CheckConfig(std::ostream& aOut, const std::string& aFile, OutputFormat aFormat)
{
  const Findings findings = ReadSettingsFile(aFile).mFindings;
  if (aFormat == OutputFormat::Json) {
    Json json = Json::array();
    for (const auto& it : findings) {
      json.push_back(FindingToJson(it));
    }
    aOut << FormatJson({ { "findings", json } }) << "\n";
  } else {
    for (const auto& it : findings) {
      aOut << ToPrintable(FormatFinding(it)) << "\n";
    }
    aOut << ToPrintable(aFile) << ": " << findings.size() << " findings\n";
  }
  return findings.empty() ? ExitCode::Ok : ExitCode::Findings;
}

ExitCode
WriteSampleConfig(std::ostream& aOut)
{
  aOut << MakeSampleSettings();
  return ExitCode::Ok;
}

ExitCode
HashToken(std::istream& aIn, std::ostream& aOut, std::ostream& aErrors)
{
  const std::string token = FirstLine(aIn);
  if (token.empty()) {
    aErrors << "bulrushfoldctl: standard input: expected a token, found an "
               "empty line\n";
    return ExitCode::Usage;
  }
  aOut << Sha256Hex(token) << "\n";
  return ExitCode::Ok;
}

absl::StatusOr<std::string>
ReadTokenFile(const std::string& aPath)
{
  namespace fs = std::filesystem;
  std::error_code ec;
  const auto permissions = fs::status(aPath, ec).permissions();
  if (ec) {
    return absl::InvalidArgumentError(absl::StrCat(aPath, ": ", ec.message()));
  }
  const auto others = fs::perms::group_all | fs::perms::others_all;
  if ((permissions & others) != fs::perms::none) {
    return absl::InvalidArgumentError(absl::StrCat(
      aPath, ": other users can access the file; expected mode 0600 or 0400"));
  }
  std::ifstream file(aPath);
  const std::string token = FirstLine(file);
  if (token.empty()) {
    return absl::InvalidArgumentError(
      absl::StrCat(aPath, ": expected a token in the first line"));
  }
  return token;
}

} // namespace bulrushfold
