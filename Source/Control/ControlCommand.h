#ifndef BULRUSHFOLD_CONTROL_CONTROLCOMMAND_H
#define BULRUSHFOLD_CONTROL_CONTROLCOMMAND_H

#include <functional>
#include <iosfwd>
#include <string>

#include <nlohmann/json.hpp>

#include "Control/AdminClient.h"
#include "Control/ExitCode.h"

namespace bulrushfold {

/** Form of a command's output. */
enum class OutputForm
{
  /** For people. */
  Table,
  /** For scripts: one JSON document, whose members are stable. */
  Json,
};

/** What a command works with. */
struct CommandContext
{
  AdminClient& mAdmin;
  std::ostream& mOut;
  std::ostream& mErrors;
  OutputForm mForm = OutputForm::Table;
};

/** Writes "bulrushfoldctl: MESSAGE" and returns the exit code of aStatus. */
ExitCode ReportError(std::ostream& aErrors, const absl::Status& aStatus);

/**
 * Reads aTarget and writes the answer: unchanged as JSON, or in the form that
 * aFormat makes of it.
 */
ExitCode ShowAnswer(
  CommandContext& aContext,
  const std::string& aTarget,
  const std::function<std::string(const nlohmann::json&)>& aFormat);

/**
 * Sends aChange and waits until it is in force at every live daemon. Says where
 * it is not when the wait is over. A wait of zero asks once.
 */
ExitCode MakeChange(CommandContext& aContext,
                    const AdminChangeRequest& aChange);

/** Text of a JSON value in a table cell: texts bare, missing values "-". */
std::string CellOf(const nlohmann::json& aValue);

/** CellOf member aName of aObject; "-" when there is none. */
std::string CellAt(const nlohmann::json& aObject, const char* aName);

/** Member aName of aObject, or an empty object. */
nlohmann::json ObjectAt(const nlohmann::json& aObject, const char* aName);

/** Member "version" of aObject; 0 when there is none. */
std::uint64_t VersionOf(const nlohmann::json& aObject);

/** aJson as text for output, with invalid UTF-8 replaced. */
std::string FormatJson(const nlohmann::json& aJson);

} // namespace bulrushfold

#endif
