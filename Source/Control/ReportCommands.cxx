#include "Control/ReportCommands.h"

#include <fstream>
#include <ostream>

#include "Outcome/Report.h"
#include "Outcome/TextTable.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

std::string
FormatSummary(const Json& aJson)
{
  TextTable table({ "", "" });
  for (const char* it : { "request_id",
                          "trace_id",
                          "state",
                          "status",
                          "cause",
                          "explanation",
                          "action",
                          "hop",
                          "workspace",
                          "target",
                          "daemon",
                          "start_ms",
                          "total_ms",
                          "first_token_ms",
                          "tokens",
                          "attempts",
                          "preset",
                          "preset_version" }) {
    if (aJson.contains(it)) {
      table.Add({ it, CellAt(aJson, it) });
    }
  }
  if (const Json blamed = ObjectAt(aJson, "blamed"); !blamed.empty()) {
    table.Add({ "endpoint",
                absl::StrCat(CellAt(blamed, "name"),
                             " (",
                             CellAt(blamed, "failure_domain"),
                             ")") });
  }
  std::string text = table.Format();
  // The first line is the header, which is empty.
  return text.substr(text.find('\n') + 1);
}

std::string
FormatHopTimes(const Json& aJson)
{
  const Json times = ObjectAt(aJson, "hop_ms");
  if (times.empty()) {
    return "";
  }
  TextTable table({ "HOP", "MS" });
  for (const auto& [hop, time] : times.items()) {
    table.Add({ hop, CellOf(time) });
  }
  return "\n" + table.Format();
}

std::string
FormatSpanTable(const Json& aJson)
{
  if (!aJson.contains("spans") || !aJson["spans"].is_array()) {
    return "";
  }
  TextTable table(
    { "SPAN", "START (MS)", "LENGTH (MS)", "ENDPOINT", "ATTEMPT", "FAULT" });
  for (const auto& it : aJson["spans"]) {
    table.Add({ CellAt(it, "name"),
                CellAt(it, "start_ms"),
                CellAt(it, "length_ms"),
                CellAt(it, "endpoint"),
                CellAt(it, "attempt"),
                CellAt(it, "fault") });
  }
  return "\n" + table.Format();
}

std::string
FormatExplain(const Json& aJson)
{
  return FormatSummary(aJson) + FormatHopTimes(aJson) + FormatSpanTable(aJson);
}

absl::Status
WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream file(aPath, std::ios::binary | std::ios::trunc);
  file << aText;
  file.close();
  return file ? absl::OkStatus()
              : absl::InternalError(
                  absl::StrCat(aPath, ": the file could not be written"));
}

} // namespace

ExitCode
ExplainRequest(CommandContext& aContext, const std::string& aRequestId)
{
  return ShowAnswer(aContext,
                    "/admin/v1/explain/" + EncodePathSegment(aRequestId),
                    FormatExplain);
}

ExitCode
ShowReport(CommandContext& aContext,
           std::uint64_t aSinceSeconds,
           const std::string& aHtmlFile)
{
  const auto answer = aContext.mAdmin.Read(
    absl::StrCat("/admin/v1/report?since_s=", aSinceSeconds));
  if (!answer.ok()) {
    return ReportError(aContext.mErrors, answer.status());
  }
  const std::string json = FormatJson(*answer);
  const auto report = ParseReportJson(json);
  if (!report.ok()) {
    ReportError(aContext.mErrors, report.status());
    return ExitCode::Failed;
  }
  if (!aHtmlFile.empty()) {
    if (const auto status = WriteFile(aHtmlFile, FormatReportHtml(*report));
        !status.ok()) {
      return ReportError(aContext.mErrors, status);
    }
  }
  aContext.mOut << (aContext.mFormat == OutputFormat::Json
                      ? json + "\n"
                      : FormatReportTable(*report));
  return ExitCode::Ok;
}

std::optional<std::uint64_t>
ParseDurationSeconds(const std::string& aText)
{
  constexpr std::uint64_t kMaxSeconds = 3600;
  if (aText.size() < 2) {
    return std::nullopt;
  }
  const char unit = aText.back();
  const std::uint64_t seconds = unit == 's'   ? 1
                                : unit == 'm' ? 60
                                : unit == 'h' ? 3600
                                              : 0;
  std::uint64_t n = 0;
  const std::string digits = aText.substr(0, aText.size() - 1);
  if (seconds == 0 || !absl::SimpleAtoi(digits, &n) || n == 0 ||
      n > kMaxSeconds / seconds) {
    return std::nullopt;
  }
  return n * seconds;
}

} // namespace bulrushfold
