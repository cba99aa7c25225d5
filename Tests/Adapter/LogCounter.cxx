#include "LogCounter.h"

#include <easylogging++.h>

namespace bulrushfold {

namespace {
constexpr const char* kCallbackId = "LogCounter";

class CountingCallback : public el::LogDispatchCallback
{
public:
  std::string mText;
  int mCount = 0;

protected:
  void handle(const el::LogDispatchData* aData) override
  {
    if (aData->logMessage()->message().find(mText) != std::string::npos) {
      ++mCount;
    }
  }
};

CountingCallback&
Callback()
{
  return *el::Helpers::logDispatchCallback<CountingCallback>(kCallbackId);
}
} // namespace

LogCounter::LogCounter(const std::string& aText)
{
  el::Helpers::installLogDispatchCallback<CountingCallback>(kCallbackId);
  Callback().mText = aText;
}

LogCounter::~LogCounter()
{
  el::Helpers::uninstallLogDispatchCallback<CountingCallback>(kCallbackId);
}

int
LogCounter::Count() const
{
  return Callback().mCount;
}

} // namespace bulrushfold
