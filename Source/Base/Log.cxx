#include "Base/Log.h"

#include <easylogging++.h>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

INITIALIZE_EASYLOGGINGPP

namespace bulrushfold {

namespace {
bool
NeedsQuotes(std::string_view aValue)
{
  if (aValue.empty()) {
    return true;
  }
  for (const char c : aValue) {
    if (c <= ' ' || c == '"' || c == '\\' || c == '=' || c == '\x7f') {
      return true;
    }
  }
  return false;
}

std::string
QuoteValue(std::string_view aValue)
{
  const absl::string_view value(aValue.data(), aValue.size());
  if (!NeedsQuotes(aValue)) {
    return std::string(aValue);
  }
  return absl::StrCat("\"", absl::CEscape(value), "\"");
}
} // namespace

void
ConfigureLog(LogLevel aLevel)
{
  el::Configurations config;
  config.setToDefault();
  config.setGlobally(el::ConfigurationType::ToFile, "false");
  config.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  config.setGlobally(el::ConfigurationType::Format,
                     "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
  const auto disable = [&config](el::Level aDisabled) {
    config.set(aDisabled, el::ConfigurationType::Enabled, "false");
  };
  if (aLevel > LogLevel::Debug) {
    disable(el::Level::Debug);
  }
  if (aLevel > LogLevel::Info) {
    disable(el::Level::Info);
  }
  if (aLevel > LogLevel::Warning) {
    disable(el::Level::Warning);
  }
  el::Loggers::reconfigureAllLoggers(config);
}

std::string
FormatLogEvent(std::string_view aEvent, std::initializer_list<LogField> aFields)
{
  std::string line = absl::StrCat("event=", std::string(aEvent));
  for (const auto& it : aFields) {
    absl::StrAppend(&line, " ", it.mKey, "=", QuoteValue(it.mValue));
  }
  return line;
}

void
LogEvent(LogLevel aLevel,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields)
{
  const std::string line = FormatLogEvent(aEvent, aFields);
  switch (aLevel) {
    case LogLevel::Debug:
      LOG(DEBUG) << line;
      break;
    case LogLevel::Info:
      LOG(INFO) << line;
      break;
    case LogLevel::Warning:
      LOG(WARNING) << line;
      break;
    case LogLevel::Error:
      LOG(ERROR) << line;
      break;
  }
}

} // namespace bulrushfold
