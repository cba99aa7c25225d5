#include "Control/ControlCommand.h"

#include <ostream>

#include "Outcome/TextTable.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

void
WriteSpread(CommandContext& aContext,
            const AcceptedChange& aChange,
            const ChangeSpread& aSpread)
{
  if (aContext.mForm == OutputForm::Json) {
    aContext.mOut << FormatJson(
                       { { "change_id", aChange.mChangeId },
                         { "key", aChange.mKey },
                         { "version", aChange.mVersion },
                         { "in_force_everywhere", aSpread.mIsEverywhere },
                         { "daemons", aSpread.mDaemons },
                         { "missing", aSpread.mMissing } })
                  << "\n";
    return;
  }
  const std::string change = absl::StrCat(
    ToPrintable(aChange.mKey), " version ", aChange.mVersion, ": ");
  if (aSpread.mIsEverywhere) {
    aContext.mOut << change << "in force at all " << aSpread.mDaemons
                  << " daemons\n";
  } else {
    aContext.mOut << change << "accepted, not in force at "
                  << ToPrintable(absl::StrJoin(aSpread.mMissing, ", ")) << "\n";
  }
}

} // namespace

ExitCode
ReportError(std::ostream& aErrors, const absl::Status& aStatus)
{
  aErrors << "bulrushfoldctl: " << ToPrintable(std::string(aStatus.message()))
          << "\n";
  return ExitCodeOf(aStatus);
}

ExitCode
ShowAnswer(CommandContext& aContext,
           const std::string& aTarget,
           const std::function<std::string(const Json&)>& aFormat)
{
  const auto answer = aContext.mAdmin.Read(aTarget);
  if (!answer.ok()) {
    return ReportError(aContext.mErrors, answer.status());
  }
  if (aContext.mForm == OutputForm::Json) {
    aContext.mOut << FormatJson(*answer) << "\n";
    return ExitCode::Ok;
  }
  try {
    aContext.mOut << aFormat(*answer);
  } catch (const Json::exception& e) {
    return ReportError(
      aContext.mErrors,
      absl::InternalError(absl::StrCat(
        aTarget, ": answer does not follow the interface: ", e.what())));
  }
  return ExitCode::Ok;
}

ExitCode
MakeChange(CommandContext& aContext, const AdminChangeRequest& aChange)
{
  const auto accepted = aContext.mAdmin.Change(aChange);
  if (!accepted.ok()) {
    return ReportError(aContext.mErrors, accepted.status());
  }
  const auto spread = aContext.mAdmin.WaitInForce(*accepted);
  if (!spread.ok()) {
    WriteSpread(
      aContext, *accepted, { false, 0, { "any daemon, as far as is known" } });
    ReportError(aContext.mErrors, spread.status());
    return ExitCode::NotInForce;
  }
  WriteSpread(aContext, *accepted, *spread);
  return spread->mIsEverywhere ? ExitCode::Ok : ExitCode::NotInForce;
}

std::string
CellOf(const Json& aValue)
{
  if (aValue.is_null()) {
    return "-";
  }
  if (aValue.is_string()) {
    return aValue.get<std::string>();
  }
  if (aValue.is_array()) {
    std::vector<std::string> cells;
    for (const auto& it : aValue) {
      cells.push_back(CellOf(it));
    }
    return cells.empty() ? "-" : absl::StrJoin(cells, ",");
  }
  return FormatJson(aValue);
}

std::string
CellAt(const Json& aObject, const char* aName)
{
  const bool isThere = aObject.is_object() && aObject.contains(aName);
  return isThere ? CellOf(aObject[aName]) : "-";
}

Json
ObjectAt(const Json& aObject, const char* aName)
{
  const bool isThere = aObject.is_object() && aObject.contains(aName) &&
                       aObject[aName].is_object();
  return isThere ? aObject[aName] : Json::object();
}

std::uint64_t
VersionOf(const Json& aObject)
{
  const bool isThere = aObject.is_object() && aObject.contains("version") &&
                       aObject["version"].is_number_unsigned();
  return isThere ? aObject["version"].get<std::uint64_t>() : 0;
}

std::string
FormatJson(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace bulrushfold
