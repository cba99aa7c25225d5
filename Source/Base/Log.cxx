#include "Base/Log.h"

#include <easylogging++.h>

#include <unistd.h>

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

LogWriter&
StandardOutput()
{
  static const SystemClock sClock;
  static LogWriter sWriter(STDOUT_FILENO, sClock, LogLimits{});
  return sWriter;
}

/** Passes the lines of the logging library to the LogWriter. */
class LogDispatch : public el::LogDispatchCallback
{
protected:
  void handle(const el::LogDispatchData* aData) override
  {
    const el::LogMessage& message = *aData->logMessage();
    const el::Level level = message.level();
    StandardOutput().Write(
      message.logger()->logBuilder()->build(&message, false),
      level == el::Level::Warning || level == el::Level::Error);
  }
};
} // namespace

void
ConfigureLog(LogLevel aLevel)
{
  el::Configurations config;
  config.setToDefault();
  config.setGlobally(el::ConfigurationType::ToFile, "false");
  config.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
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
  el::Helpers::installLogDispatchCallback<LogDispatch>("LogDispatch");
}

void
FlushLog()
{
  LogWriter& writer = StandardOutput();
  writer.Flush();
  if (writer.CheckNewDrops()) {
    LogEvent(LogLevel::Warning,
             "log_lines_left_out",
             { { "ordinary_total", writer.Drops().mOrdinary },
               { "urgent_total", writer.Drops().mUrgent } });
  }
}

LogDrops
CountLogDrops()
{
  return StandardOutput().Drops();
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
