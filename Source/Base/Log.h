#ifndef BULRUSHFOLD_BASE_LOG_H
#define BULRUSHFOLD_BASE_LOG_H

#include <initializer_list>
#include <string>
#include <string_view>

#include "Base/LogWriter.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

/** Severity of a log event. */
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/** One key=value pair of a log event. */
struct LogField
{
  LogField(std::string_view aKey, std::string_view aValue)
    : mKey(aKey)
    , mValue(aValue)
  {
  }
  LogField(std::string_view aKey, const char* aValue)
    : mKey(aKey)
    , mValue(aValue)
  {
  }
  LogField(std::string_view aKey, const std::string& aValue)
    : mKey(aKey)
    , mValue(aValue)
  {
  }
  template<typename Number>
  LogField(std::string_view aKey, Number aValue)
    : mKey(aKey)
    , mValue(absl::StrCat(aValue))
  {
  }

  std::string mKey;
  std::string mValue;
};

/**
 * Prepares the logging library: one line per event on standard output, events
 * below aLevel dropped. Called once by each program's main function. Lines
 * beyond LogBounds are left out; FlushLog reports their number.
 */
void ConfigureLog(LogLevel aLevel);

/**
 * Writes lines that the reader of standard output did not accept before, and
 * an event with the number of lines left out since the last call, if any.
 */
void FlushLog();

/** Lines left out since the start of the process. */
LogDrops CountLogDrops();

/**
 * Writes one event as a line of key=value pairs. Values with spaces, quotes or
 * control characters are quoted and escaped, so that an event stays one line.
 */
void LogEvent(LogLevel aLevel,
              std::string_view aEvent,
              std::initializer_list<LogField> aFields);

/** The line that LogEvent writes, without the time and level. */
std::string FormatLogEvent(std::string_view aEvent,
                           std::initializer_list<LogField> aFields);

} // namespace bulrushfold

#endif
