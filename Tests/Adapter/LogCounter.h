#ifndef BULRUSHFOLD_TESTS_ADAPTER_LOGCOUNTER_H
#define BULRUSHFOLD_TESTS_ADAPTER_LOGCOUNTER_H

#include <string>

namespace bulrushfold {

/** Counts the log lines that contain a text. One can exist at a time. */
class LogCounter
{
public:
  explicit LogCounter(const std::string& aText);
  LogCounter(const LogCounter&) = delete;
  LogCounter& operator=(const LogCounter&) = delete;
  ~LogCounter();
  int Count() const;
};

} // namespace bulrushfold

#endif
