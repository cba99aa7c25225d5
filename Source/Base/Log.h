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
 * Configures the logging library: each event of aLevel or above is one line on
 * standard output. Called once by each program's main function. Lines beyond
 * LogLimits are dropped; FlushLog reports their number.
 */
void ConfigureLog(LogLevel aLevel);

/**
 * Writes the lines that are buffered because the reader of standard output did
 * not accept them before. If lines were dropped since the last call, logs an
 * event with the numbers of lines dropped since the start of the process.
 */
void FlushLog();

/** Numbers of lines dropped since the start of the process. */
LogDrops CountLogDrops();

/**
 * Writes one event as a line of key=value pairs. Values with spaces, quotes or
 * control characters are quoted and escaped, so that each event is one line.
 */
void LogEvent(LogLevel aLevel,
              std::string_view aEvent,
              std::initializer_list<LogField> aFields);

/** Line that LogEvent writes, without time and level. */
std::string FormatLogEvent(std::string_view aEvent,
                           std::initializer_list<LogField> aFields);

} // namespace bulrushfold

#endif
