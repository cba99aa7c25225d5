#include "Platform/StoreEraTracker.h"

#include "Base/Log.h"

namespace bulrushfold {

void
StoreEraTracker::Learn(StoreEra aEra)
{
  if (aEra <= mNewest) {
    return;
  }
  if (mNewest > 0) {
    LogEvent(LogLevel::Warning,
             "store_restored",
             { { "former_era", mNewest }, { "era", aEra } });
  }
  mNewest = aEra;
}

void
StoreEraTracker::LogIgnored(std::string_view aReason)
{
  if (mLoggedReasons.insert(aReason).second) {
    LogEvent(LogLevel::Warning,
             "store_era_ignored",
             { { "reason", aReason }, { "era", mNewest } });
  }
}

std::optional<StoreEra>
StoreEraTracker::OnAnswer(const StatedEra& aStated, StoreEra aNewestAtStart)
{
  if (aStated.mIsUnreadable) {
    LogIgnored("unreadable");
    return mNewest;
  }
  if (!aStated.mEra) {
    if (mNewest > 0) {
      LogIgnored("missing");
    }
    return mNewest;
  }
  if (*aStated.mEra < aNewestAtStart) {
    LogIgnored("falls");
    return mNewest;
  }
  if (*aStated.mEra < mNewest) {
    return std::nullopt;
  }
  Learn(*aStated.mEra);
  return mNewest;
}

} // namespace bulrushfold
